//! Polls the health and load endpoints of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balance::event::{ControlEvent, HealthReport};
use balance::view::View;
use rand::Rng;
use serde::Deserialize;
use tokio::sync::{Semaphore, watch};
use wire::token::TargetId;

use crate::control::ControlInput;
use crate::{Error, Result};

/// Interval between polls of one target. With a hysteresis of 3 reports, a change takes 3 s to take
/// effect.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of health requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Response body of a target's `GET /health`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct HealthResponse {
    healthy: bool,
    draining: bool,
    in_flight: u32,
}

/// Polls every target of the latest view until the task is aborted.
pub async fn poll_targets(
    view: watch::Receiver<Option<Arc<View>>>,
    control: flume::Sender<ControlInput>,
) -> Result<()> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()
        .map_err(|error| Error::failed("creating the health client", error))?;
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    loop {
        let targets = view
            .borrow()
            .as_ref()
            .map_or_else(Vec::new, health_endpoints);
        for (target, address) in targets {
            let (client, control) = (client.clone(), control.clone());
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return Ok(());
            };
            tokio::spawn(async move {
                let report = fetch_report(&client, target, address).await;
                // If the queue is full, the next report replaces this one.
                let _ = control.try_send(ControlInput::Event(ControlEvent::HealthReport(report)));
                drop(permit);
            });
        }
        // Jitter keeps instances from polling a target simultaneously.
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

fn health_endpoints(view: &Arc<View>) -> Vec<(TargetId, SocketAddr)> {
    let targets = view.targets.iter();
    targets
        .filter_map(|(id, target)| Some((*id, target.declared.health?)))
        .collect()
}

async fn fetch_report(
    client: &reqwest::Client,
    target: TargetId,
    address: SocketAddr,
) -> HealthReport {
    let response = async {
        let response = client.get(format!("http://{address}/health")).send().await;
        response?.json::<HealthResponse>().await
    };
    match response.await {
        Ok(health) => HealthReport {
            target,
            is_healthy: Some(health.healthy),
            is_draining: health.draining,
            in_flight: health.in_flight,
        },
        Err(_) => HealthReport {
            target,
            is_healthy: None,
            is_draining: false,
            in_flight: 0,
        },
    }
}
