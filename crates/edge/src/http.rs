//! HTTP endpoints for readiness, metrics and status.

use std::net::SocketAddr;

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use steer::status::Status;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::metrics::Metrics;
use crate::view_reader::LoopEvent;
use crate::{Error, Result};

/// Serves the readiness check: 200 while routers should send packets to the instance, 503
/// otherwise.
pub async fn serve_readiness(address: SocketAddr, path: &str, readiness: Readiness) -> Result<()> {
    let router = Router::new()
        .route(path, get(get_ready))
        .with_state(readiness);
    serve(address, router).await
}

/// State shared by the endpoints for operators.
#[derive(Debug, Clone)]
pub struct OperatorState {
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Name of the instance.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Whether the instance is ready.
    pub readiness: Readiness,
    /// Event queue of the packet loop, which answers status queries.
    pub events: flume::Sender<LoopEvent>,
}

/// Serves the metrics and the status.
pub async fn serve_operators(address: SocketAddr, state: OperatorState) -> Result<()> {
    let router = Router::new()
        .route("/metrics", get(get_metrics))
        .route("/status", get(get_status))
        .with_state(state);
    serve(address, router).await
}

async fn serve(address: SocketAddr, router: Router) -> Result<()> {
    let step = format!("serving HTTP at {address}");
    let listener = TcpListener::bind(address)
        .await
        .map_err(Error::io(step.as_str()))?;
    axum::serve(listener, router).await.map_err(Error::io(step))
}

/// Inputs of the readiness check.
#[derive(Debug, Clone)]
pub struct Readiness {
    /// Whether the view holds a configuration and targets.
    pub has_usable_view: watch::Receiver<bool>,
    /// Whether the instance is stopping.
    pub is_stopping: watch::Receiver<bool>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        *self.has_usable_view.borrow() && !*self.is_stopping.borrow()
    }
}

async fn get_ready(State(readiness): State<Readiness>) -> Response {
    if readiness.is_ready() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

async fn get_metrics(State(state): State<OperatorState>) -> Response {
    match state.metrics.to_text() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn get_status(State(state): State<OperatorState>) -> Response {
    let (reply, response) = oneshot::channel();
    let queued = state.events.send(LoopEvent::StatusQuery(reply));
    let (Ok(()), Ok((core_status, view_age_ms))) = (queued, response.await) else {
        let reason = "the packet loop does not answer\n";
        return (StatusCode::SERVICE_UNAVAILABLE, reason).into_response();
    };
    Json(Status {
        is_ready: state.readiness.is_ready(),
        instance: state.instance,
        domain: state.domain,
        view_age_ms,
        beliefs: core_status,
    })
    .into_response()
}
