//! Readiness and metrics over HTTP.

use std::net::SocketAddr;

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::{Error, Result};

/// Serves readiness: 200 while the instance takes packets, 503 otherwise.
pub async fn serve_ready(
    address: SocketAddr,
    path: &str,
    has_view: watch::Receiver<bool>,
    is_stopping: watch::Receiver<bool>,
) -> Result<()> {
    let router = Router::new()
        .route(path, get(is_ready))
        .with_state(Readiness {
            has_view,
            is_stopping,
        });
    serve(address, router).await
}

/// Serves the metrics.
pub async fn serve_metrics(address: SocketAddr, metrics: Metrics) -> Result<()> {
    let router = Router::new()
        .route("/metrics", get(text))
        .with_state(metrics);
    serve(address, router).await
}

async fn serve(address: SocketAddr, router: Router) -> Result<()> {
    let step = format!("serving HTTP at {address}");
    let listener = TcpListener::bind(address)
        .await
        .map_err(Error::io(step.as_str()))?;
    axum::serve(listener, router).await.map_err(Error::io(step))
}

#[derive(Debug, Clone)]
struct Readiness {
    has_view: watch::Receiver<bool>,
    is_stopping: watch::Receiver<bool>,
}

async fn is_ready(State(state): State<Readiness>) -> Response {
    if *state.has_view.borrow() && !*state.is_stopping.borrow() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

async fn text(State(metrics): State<Metrics>) -> Response {
    match metrics.to_text() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}
