//! The platform's store (PROTOCOL.md, section "The platform's metadata store"), as far as the system reads it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::Record;

/// One item, or its removal.
#[derive(Clone)]
struct Event {
    key: String,
    /// `None`: the item was removed.
    value: Option<String>,
    rev: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
    is_silent: bool,
}

/// Clones share the items.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddrV4, record: Record) -> Self {
        let state = State {
            rev: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record,
        };
        let listener = TcpListener::bind(address).unwrap_or_else(|error| {
            eprintln!("store at {address}: {error}");
            std::process::exit(2);
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                // A broken connection ends its thread.
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.to_owned()));
    }

    fn write(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.rev += 1;
        let event = Event {
            key: key.to_owned(),
            value,
            rev: state.rev,
        };
        match event.value {
            Some(_) => state.items.insert(key.to_owned(), event.clone()),
            None => state.items.remove(key),
        };
        state.history.push(event);
        self.record
            .line(format!("store: {key} written, revision {}", state.rev));
        changed.notify_all();
    }

    /// While it is silent, the store takes calls and never answers them; such a connection returns nothing further. Watches
    /// that were waiting before are answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
        self.record.line(format!("store: silent {is_silent}"));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let peer = stream.peer_addr().ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).ok()? == 0 {
                return None;
            }
            let mut header = String::new();
            while reader.read_line(&mut header).ok()? > 2 {
                header.clear();
            }
            let target = request.split(' ').nth(1)?.to_owned();
            if self.state.0.lock().unwrap().is_silent {
                self.record.line(format!(
                    "store: call of {} stays unanswered: {target}",
                    peer.ip()
                ));
                loop {
                    thread::sleep(Duration::from_secs(3600));
                }
            }
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let body = match path {
                "/v1/kv-range" => self.range(parameter(query, "after").unwrap_or_default()),
                "/v1/kv-watch" => {
                    let after = parameter(query, "after")?.parse().ok()?;
                    let wait = parameter(query, "wait-ms")?.parse().ok()?;
                    self.watch(after, Duration::from_millis(wait))
                }
                _ => {
                    writer
                        .write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")
                        .ok()?;
                    continue;
                }
            };
            thread::sleep(Duration::from_millis(4));
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn range(&self, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items: Vec<String> = state
            .items
            .values()
            .filter(|item| item.key.as_str() > after)
            .map(Event::json)
            .collect();
        format!(
            r#"{{"items":[{}],"has-more":false,"current-rev":{}}}"#,
            items.join(","),
            state.rev
        )
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let (state, changed) = &*self.state;
        let deadline = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|event| event.rev > after)
                .map(Event::json)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"current-rev":{}}}"#,
                    events.join(","),
                    state.rev
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl Event {
    fn json(&self) -> String {
        match &self.value {
            Some(value) => format!(
                r#"{{"key":"{}","value":"{}","rev":{},"created-rev":{},"lease":0}}"#,
                self.key,
                base64(value.as_bytes()),
                self.rev,
                self.rev
            ),
            None => format!(
                r#"{{"key":"{}","rev":{},"deleted":true}}"#,
                self.key, self.rev
            ),
        }
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * position)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
