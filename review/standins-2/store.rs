//! The platform's store: `kv-range` and `kv-watch` over HTTP/1.1, with a history of limited age.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Age up to which the store keeps its history.
pub const HISTORY: Duration = Duration::from_secs(20);

/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    key: String,
    value: Option<Vec<u8>>,
    rev: u64,
    written_at: Instant,
}

struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
    /// Revision up to which the history is gone.
    gone: u64,
    /// When the last watch without an event yet arrived, and how long it waits.
    last_watch: Option<(Instant, Duration)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddrV4,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Bandwidth of the link of each caller in bytes a second.
    link: Option<u64>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddrV4, link_mbps: Option<u64>, record: &Record) -> Self {
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| crate::cannot_run(&format!("store: {error}")));
        let state = State {
            rev: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            gone: 0,
            last_watch: None,
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            link: link_mbps.map(|mbps| mbps * 1_000_000 / 8),
            record: record.clone(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.write(key, Some(value.to_vec()));
    }

    pub fn delete(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.rev += 1;
        let size = value.as_ref().map(Vec::len);
        let item = Item {
            key: key.to_owned(),
            value,
            rev: state.rev,
            written_at: Instant::now(),
        };
        match &item.value {
            Some(_) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        state.history.push(item);
        self.record.line(&match size {
            Some(bytes) => format!(
                "store: {key} written, {bytes} bytes, revision {}, acknowledged",
                state.rev
            ),
            None => format!("store: {key} removed, revision {}", state.rev),
        });
        changed.notify_all();
    }

    /// Returns when the last watch that still waits arrived, and how long it waits.
    pub fn last_watch(&self) -> Option<(Instant, Duration)> {
        self.state.0.lock().unwrap().last_watch
    }

    fn serve(&self, stream: TcpStream) {
        let peer = stream.peer_addr().map(|address| address.ip());
        let Ok(IpAddr::V4(caller)) = peer else { return };
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = first.split(' ').nth(1).unwrap_or("/").to_owned();
            let started_at = Instant::now();
            let (status, body) = self.answer(&target);
            std::thread::sleep(ANSWER);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = self
                .send(&mut stream, head.as_bytes())
                .and_then(|()| self.send(&mut stream, body.as_bytes()));
            let outcome = match sent {
                Ok(()) => "answered".to_owned(),
                Err(error) => format!("not taken ({})", error.kind()),
            };
            self.record.line(&format!(
                "store: {caller} {target} -> {status}, {} bytes, {outcome} after {} ms",
                body.len(),
                started_at.elapsed().as_millis()
            ));
            if outcome != "answered" {
                return;
            }
        }
    }

    /// Sends bytes at the bandwidth of the caller's link.
    fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        let Some(bytes_a_second) = self.link else {
            return stream.write_all(bytes);
        };
        let started_at = Instant::now();
        let mut sent = 0;
        for chunk in bytes.chunks(4_096) {
            stream.write_all(chunk)?;
            sent += chunk.len() as u64;
            let due = Duration::from_secs_f64(sent as f64 / bytes_a_second as f64);
            if let Some(pause) = due.checked_sub(started_at.elapsed()) {
                std::thread::sleep(pause);
            }
            // A caller that has given up closes the connection.
            stream.set_nonblocking(true)?;
            let closed = matches!(stream.peek(&mut [0]), Ok(0));
            stream.set_nonblocking(false)?;
            if closed {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode_query(value))
                .unwrap_or_default()
        };
        match path {
            "/v1/kv-range" => self.range(&value("prefix"), &value("after")),
            "/v1/kv-watch" => {
                let after = value("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("wait-ms").parse().unwrap_or(0));
                self.watch(&value("prefix"), after, wait)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let mut bytes = 0;
        let mut items = Vec::new();
        let mut more = false;
        for item in state
            .items
            .values()
            .filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after)
        {
            if !items.is_empty() && (items.len() >= 500 || bytes >= 1 << 20) {
                more = true;
                break;
            }
            bytes += item.value.as_ref().map_or(0, Vec::len);
            items.push(item_json(item));
        }
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{more},\"current-rev\":{}}}",
            items.join(","),
            state.rev
        );
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let (lock, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = lock.lock().unwrap();
        loop {
            let now = Instant::now();
            while state
                .history
                .first()
                .is_some_and(|item| now - item.written_at > HISTORY)
            {
                let item = state.history.remove(0);
                state.gone = item.rev;
            }
            if after < state.gone {
                return ("410 Gone", "{}".to_owned());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|item| item.rev > after && item.key.starts_with(prefix))
                .map(item_json)
                .collect();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"current-rev\":{}}}",
                    events.join(","),
                    state.rev
                );
                return ("200 OK", body);
            }
            state.last_watch = Some((until - wait, wait));
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn item_json(item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"key\":\"{}\",\"value\":\"{}\",\"rev\":{},\"created-rev\":{},\"lease\":0}}",
            item.key,
            base64(value),
            item.rev,
            item.rev
        ),
        None => format!(
            "{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}",
            item.key, item.rev
        ),
    }
}

fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the status of a GET.
pub fn get_status(address: SocketAddrV4, path: &str) -> Option<u16> {
    let limit = Duration::from_millis(400);
    let mut stream = TcpStream::connect_timeout(&address.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    String::from_utf8_lossy(&answer)
        .split(' ')
        .nth(1)?
        .parse()
        .ok()
}
