//! Stand-in for the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    Busy,
    /// Takes calls and never answers them, not even after its return.
    Silent,
}

#[derive(Debug)]
struct Data {
    revision: u64,
    oldest: u64,
    items: BTreeMap<String, Value>,
    history: Vec<Value>,
    mode: Mode,
    calls: usize,
    page_items: usize,
}

#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<Mutex<Data>>,
    changed: Arc<Notify>,
}

impl Store {
    pub async fn start(address: SocketAddr) -> Self {
        let store = Self {
            address,
            data: Arc::new(Mutex::new(Data {
                revision: 1,
                oldest: 0,
                items: BTreeMap::new(),
                history: Vec::new(),
                mode: Mode::Up,
                calls: 0,
                page_items: 3,
            })),
            changed: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.unwrap();
        let router = Router::new()
            .route("/v1/kv-range", get(range))
            .route("/v1/kv-watch", get(watch))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        store
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    pub fn put_bytes(&self, key: &str, bytes: &[u8]) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let item = json!({
            "key": key,
            "value": STANDARD.encode(bytes),
            "rev": data.revision,
            "created-rev": data.revision,
            "lease": 0,
        });
        data.items.insert(key.to_owned(), item.clone());
        data.history.push(item);
        drop(data);
        self.changed.notify_waiters();
    }

    pub fn delete(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.items.remove(key);
        let event = json!({"key": key, "rev": data.revision, "deleted": true});
        data.history.push(event);
        drop(data);
        self.changed.notify_waiters();
    }

    /// Drops the history, so that watches have to read again.
    pub fn compact(&self) {
        let mut data = self.data.lock().unwrap();
        data.history.clear();
        data.oldest = data.revision;
        drop(data);
        self.changed.notify_waiters();
    }

    pub fn set(&self, mode: Mode) {
        self.data.lock().unwrap().mode = mode;
        self.changed.notify_waiters();
    }

    pub fn calls(&self) -> usize {
        self.data.lock().unwrap().calls
    }

    /// Counts a call and tells how it is treated.
    fn admit(&self) -> Mode {
        let mut data = self.data.lock().unwrap();
        data.calls += 1;
        data.mode
    }
}

async fn refuse(mode: Mode) -> Response {
    if mode == Mode::Silent {
        std::future::pending::<()>().await;
    }
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

async fn range(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let mode = store.admit();
    if mode != Mode::Up {
        return refuse(mode).await;
    }
    let data = store.data.lock().unwrap();
    let after = query.get("after").cloned().unwrap_or_default();
    let prefix = query.get("prefix").cloned().unwrap_or_default();
    let rest: Vec<&Value> = data
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .map(|(_, item)| item)
        .collect();
    let page: Vec<&&Value> = rest.iter().take(data.page_items).collect();
    Json(json!({
        "items": page,
        "has-more": rest.len() > page.len(),
        "current-rev": data.revision,
    }))
    .into_response()
}

async fn watch(
    State(store): State<Store>,
    Query(query): Query<BTreeMap<String, String>>,
) -> Response {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after").unwrap_or(0);
    let mode = store.admit();
    if mode != Mode::Up {
        return refuse(mode).await;
    }
    let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = store.changed.notified();
        {
            let data = store.data.lock().unwrap();
            if data.mode == Mode::Up {
                if after < data.oldest {
                    return StatusCode::GONE.into_response();
                }
                let events: Vec<&Value> = data
                    .history
                    .iter()
                    .filter(|event| event["rev"].as_u64() > Some(after))
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= until {
                    return Json(json!({"events": events, "current-rev": data.revision}))
                        .into_response();
                }
            }
        }
        let _ = tokio::time::timeout_at(until, changed).await;
        let mode = store.data.lock().unwrap().mode;
        if mode != Mode::Up {
            return refuse(mode).await;
        }
    }
}
