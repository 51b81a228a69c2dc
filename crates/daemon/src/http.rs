//! HTTP endpoints for metrics, health, readiness and status.

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use tokio::sync::{oneshot, watch};

use crate::control::ControlInput;
use crate::metrics::Metrics;
use crate::{Error, Result};

/// Shared state of the HTTP endpoints.
#[derive(Debug, Clone)]
pub struct Endpoints {
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Whether the control plane reports the instance as ready.
    pub is_ready: watch::Receiver<bool>,
    /// Whether the instance is stopping.
    pub is_stopping: watch::Receiver<bool>,
    /// Queue of the control plane, which answers status requests.
    pub control: flume::Sender<ControlInput>,
}

impl Endpoints {
    /// Serves requests until the task is aborted.
    pub async fn serve(self, listener: std::net::TcpListener) -> Result<()> {
        let step = "serving HTTP";
        listener.set_nonblocking(true).map_err(Error::io(step))?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(Error::io(step))?;
        let router = Router::new()
            .route("/metrics", get(get_metrics))
            .route("/health", get(|| async { "ok\n" }))
            .route("/ready", get(get_ready))
            .route("/status", get(get_status))
            .with_state(self);
        axum::serve(listener, router).await.map_err(Error::io(step))
    }
}

async fn get_metrics(State(endpoints): State<Endpoints>) -> Response {
    match endpoints.metrics.to_text() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn get_ready(State(endpoints): State<Endpoints>) -> Response {
    if *endpoints.is_stopping.borrow() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n").into_response();
    }
    if !*endpoints.is_ready.borrow() {
        return (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response();
    }
    "ready\n".into_response()
}

async fn get_status(State(endpoints): State<Endpoints>) -> Response {
    let (reply, response) = oneshot::channel();
    let queued = endpoints.control.try_send(ControlInput::ReadStatus(reply));
    match (queued, response.await) {
        (Ok(()), Ok(status)) => Json(status).into_response(),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "control does not answer\n").into_response(),
    }
}
