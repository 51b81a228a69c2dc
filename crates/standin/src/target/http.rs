//! HTTP endpoints of a target for health, record and control.

use std::time::Instant;

use axum::Router;
use axum::extract::{Query, State as Context};
use axum::response::Json;
use axum::routing::{get, post};
use serde::{Deserialize, Serialize};

use super::state::{Behaviour, Record, SharedTarget};

/// Response of `GET /health`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Health {
    /// Whether the target reports itself as healthy.
    pub healthy: bool,
    /// Whether the target reports itself as draining.
    pub draining: bool,
    /// Requests that run or wait; an older value if a lag is configured.
    pub in_flight: usize,
}

/// Returns the HTTP routes of a target.
pub fn router(shared: SharedTarget) -> Router {
    Router::new()
        .route("/health", get(read_health))
        .route("/record", get(read_record))
        .route("/control", post(set_behaviour))
        .with_state(shared)
}

async fn read_health(Context(shared): Context<SharedTarget>) -> Json<Health> {
    Json(shared.with(|target| {
        Health {
            healthy: target
                .behaviour
                .reported_health
                .unwrap_or(!target.behaviour.is_unresponsive),
            draining: target.behaviour.is_draining,
            in_flight: target.reported_in_flight(Instant::now()),
        }
    }))
}

async fn read_record(Context(shared): Context<SharedTarget>) -> Json<Record> {
    Json(shared.with(|target| target.record.clone()))
}

async fn set_behaviour(Context(shared): Context<SharedTarget>, Query(behaviour): Query<Behaviour>) {
    shared.with(|target| target.behaviour = behaviour);
}
