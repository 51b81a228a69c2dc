//! Readiness, metrics and status over HTTP.

use std::net::SocketAddr;

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use steer::status::Status;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::{Error, Result};

/// Serves readiness: 200 while the instance takes packets, 503 otherwise.
pub async fn serve_ready(address: SocketAddr, path: &str, readiness: Readiness) -> Result<()> {
    let router = Router::new()
        .route(path, get(is_ready))
        .with_state(readiness);
    serve(address, router).await
}

/// What the endpoints for operators read.
#[derive(Debug, Clone)]
pub struct Operators {
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Readiness.
    pub readiness: Readiness,
    /// Queue of the packet loop, which knows the status.
    pub feeds: flume::Sender<Feed>,
}

/// Serves metrics and status.
pub async fn serve_operators(address: SocketAddr, operators: Operators) -> Result<()> {
    let router = Router::new()
        .route("/metrics", get(text))
        .route("/status", get(status))
        .with_state(operators);
    serve(address, router).await
}

async fn serve(address: SocketAddr, router: Router) -> Result<()> {
    let step = format!("serving HTTP at {address}");
    let listener = TcpListener::bind(address)
        .await
        .map_err(Error::io(step.as_str()))?;
    axum::serve(listener, router).await.map_err(Error::io(step))
}

/// What decides on readiness.
#[derive(Debug, Clone)]
pub struct Readiness {
    /// Whether a configuration and targets are known.
    pub has_view: watch::Receiver<bool>,
    /// Whether the instance is stopping.
    pub is_stopping: watch::Receiver<bool>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        *self.has_view.borrow() && !*self.is_stopping.borrow()
    }
}

async fn is_ready(State(state): State<Readiness>) -> Response {
    if state.is_ready() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

async fn text(State(operators): State<Operators>) -> Response {
    match operators.metrics.to_text() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn status(State(operators): State<Operators>) -> Response {
    let (reply, answer) = oneshot::channel();
    let queued = operators.feeds.send(Feed::Status(reply));
    let (Ok(()), Ok((beliefs, view_age_ms))) = (queued, answer.await) else {
        let reason = "the packet loop does not answer\n";
        return (StatusCode::SERVICE_UNAVAILABLE, reason).into_response();
    };
    Json(Status {
        is_ready: operators.readiness.is_ready(),
        instance: operators.instance,
        domain: operators.domain,
        view_age_ms,
        beliefs,
    })
    .into_response()
}
