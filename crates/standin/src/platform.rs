//! The configuration service: read-only values with watches, a call limit and injected faults.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, Response, StatusCode, header};
use axum::response::Json;
use axum::routing::{get, post};
use ids::hash_of;
use serde::{Deserialize, Serialize};

/// Calls per second over all clients, as stated by the platform. Calls above it are refused.
pub const MAX_CALLS_PER_SECOND: u64 = 2_000;

/// Interval at which a watch polls its value.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum time that a watch is kept waiting.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Behaviour of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Returns the current values.
    #[default]
    Normal,
    /// Returns status 503.
    Down,
    /// Delays every response.
    Slow,
    /// Returns the values that were last read before the mode was set.
    Stale,
}

/// Query of `POST /control`.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ControlQuery {
    mode: Mode,
    #[serde(default)]
    delay_ms: u64,
}

/// Number of calls since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// All calls; a watch counts once.
    pub total: u64,
    /// Calls refused for exceeding the budget.
    pub refused: u64,
    /// Maximum number of calls in one second.
    pub peak: u64,
}

/// Rate limit of the calls, counted in windows of one second.
#[derive(Debug)]
pub struct CallBudget {
    counts: CallCounts,
    window_started_at: Instant,
    calls_in_window: u64,
}

impl CallBudget {
    /// Creates a budget whose first window starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: CallCounts::default(),
            window_started_at: now,
            calls_in_window: 0,
        }
    }

    /// Counts a call at `now` and returns whether it is within the budget of its window.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if now - self.window_started_at >= Duration::from_secs(1) {
            self.window_started_at = now;
            self.calls_in_window = 0;
        }
        self.calls_in_window += 1;
        self.counts.total += 1;
        self.counts.peak = self.counts.peak.max(self.calls_in_window);
        let is_within = self.calls_in_window <= MAX_CALLS_PER_SECOND;
        self.counts.refused += u64::from(!is_within);
        is_within
    }

    /// Returns the call counts so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }
}

#[derive(Debug)]
struct PlatformState {
    mode: Mode,
    delay: Duration,
    last_values: HashMap<String, Vec<u8>>,
    budget: CallBudget,
}

/// Configuration service that serves the files of a directory as values.
#[derive(Debug, Clone)]
pub struct Platform {
    directory: PathBuf,
    state: Arc<Mutex<PlatformState>>,
}

impl Platform {
    /// Creates a service for the values below `directory`.
    pub fn new(directory: PathBuf) -> Self {
        let state = PlatformState {
            mode: Mode::Normal,
            delay: Duration::ZERO,
            last_values: HashMap::new(),
            budget: CallBudget::new(Instant::now()),
        };
        Self {
            directory,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the HTTP routes.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/{*key}", get(get_value))
            .route("/control", post(set_mode))
            .route("/calls", get(read_counts))
            .with_state(self)
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut PlatformState) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn read_value(&self, key: &str) -> Option<Vec<u8>> {
        if key
            .split('/')
            .any(|segment| segment.is_empty() || segment == "..")
        {
            return None;
        }
        // In stale mode, the value last read in another mode is returned. A key that was never read
        // has no such value, and its current one is returned.
        let newest = std::fs::read(self.directory.join(key)).ok();
        self.with_state(|state| match (state.mode, newest) {
            (Mode::Stale, newest) => match state.last_values.get(key) {
                Some(value) => Some(value.clone()),
                None => newest,
            },
            (_, Some(newest)) => {
                state.last_values.insert(key.to_owned(), newest.clone());
                Some(newest)
            }
            (_, None) => None,
        })
    }
}

fn empty_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}

fn requested_wait(headers: &HeaderMap) -> Duration {
    let seconds = headers
        .get("prefer")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|item| item.trim().strip_prefix("wait="))
        })
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    Duration::from_secs(seconds).min(MAX_WATCH_WAIT)
}

async fn get_value(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Response<Body> {
    if !platform.with_state(|state| state.budget.try_take(Instant::now())) {
        return empty_response(StatusCode::TOO_MANY_REQUESTS);
    }
    let known_etag = headers
        .get(header::IF_NONE_MATCH)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let deadline = Instant::now() + requested_wait(&headers);
    loop {
        let (mode, delay) = platform.with_state(|state| (state.mode, state.delay));
        if mode == Mode::Down {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        if mode == Mode::Slow {
            tokio::time::sleep(delay).await;
        }
        let value = platform.read_value(&key);
        let etag = value
            .as_ref()
            .map(|bytes| format!("\"{:016x}\"", hash_of(0, bytes)));
        if etag.is_some() && etag == known_etag {
            if Instant::now() >= deadline {
                return empty_response(StatusCode::NOT_MODIFIED);
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
            continue;
        }
        let (Some(bytes), Some(etag)) = (value, etag) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        return Response::builder()
            .header(header::ETAG, etag)
            .body(Body::from(bytes))
            .unwrap_or_else(|_| empty_response(StatusCode::INTERNAL_SERVER_ERROR));
    }
}

async fn set_mode(State(platform): State<Platform>, Query(query): Query<ControlQuery>) {
    platform.with_state(|state| {
        state.mode = query.mode;
        state.delay = Duration::from_millis(query.delay_ms);
    });
}

async fn read_counts(State(platform): State<Platform>) -> Json<CallCounts> {
    Json(platform.with_state(|state| state.budget.counts()))
}
