//! HTTP client of the configuration service (the platform).

use std::net::SocketAddr;
use std::time::Duration;

use balance::event::{PlatformKey, PlatformOutcome};
use ids::Millis;
use reqwest::header::{ETAG, IF_NONE_MATCH};
use reqwest::{Response, StatusCode};

use crate::metrics::Metrics;
use crate::{Error, Result};

/// Maximum size of an accepted value; equals the limit of the platform.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Timeout for connecting, and for a response in addition to the wait time of a watch.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads and watches values of the configuration service.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: reqwest::Client,
    address: SocketAddr,
    metrics: Metrics,
}

impl PlatformClient {
    /// Creates a client. Sends no request yet.
    pub fn new(address: SocketAddr, metrics: Metrics) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(RESPONSE_TIMEOUT)
            .build()
            .map_err(|error| Error::failed("creating the platform client", error))?;
        Ok(Self {
            client,
            address,
            metrics,
        })
    }

    /// Reads a key. The platform waits up to `wait_ms` for a value that differs from `etag`.
    pub async fn read(
        &self,
        key: &PlatformKey,
        etag: Option<String>,
        wait_ms: Millis,
    ) -> PlatformOutcome {
        let outcome = match self.send_request(key, etag, wait_ms).await {
            Ok(outcome) => outcome,
            Err(error) => PlatformOutcome::Failed(format!("reading {}: {error}", key_path(key))),
        };
        let name = match &outcome {
            PlatformOutcome::Value { .. } => "value",
            PlatformOutcome::Unchanged => "unchanged",
            PlatformOutcome::Missing => "missing",
            PlatformOutcome::Failed(_) => "failed",
        };
        self.metrics.platform_calls.with_label_values(&[name]).inc();
        outcome
    }

    async fn send_request(
        &self,
        key: &PlatformKey,
        etag: Option<String>,
        wait_ms: Millis,
    ) -> reqwest::Result<PlatformOutcome> {
        let wait = Duration::from_millis(wait_ms.0);
        let mut request = self
            .client
            .get(format!("http://{}/v1/{}", self.address, key_path(key)))
            .timeout(wait + RESPONSE_TIMEOUT);
        if let Some(etag) = etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        if wait.as_secs() > 0 {
            request = request.header("prefer", format!("wait={}", wait.as_secs()));
        }
        let response = request.send().await?;
        match response.status() {
            StatusCode::OK => read_value(response).await,
            StatusCode::NOT_MODIFIED => Ok(PlatformOutcome::Unchanged),
            StatusCode::NOT_FOUND => Ok(PlatformOutcome::Missing),
            status => Ok(PlatformOutcome::Failed(format!(
                "reading {}: unexpected status {status}",
                key_path(key)
            ))),
        }
    }
}

async fn read_value(mut response: Response) -> reqwest::Result<PlatformOutcome> {
    let etag = response
        .headers()
        .get(ETAG)
        .and_then(|etag| etag.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if bytes.len() + chunk.len() > MAX_VALUE_BYTES {
            return Ok(PlatformOutcome::Failed(format!(
                "reading a value: larger than {MAX_VALUE_BYTES} bytes"
            )));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(PlatformOutcome::Value { bytes, etag })
}

fn key_path(key: &PlatformKey) -> String {
    match key {
        PlatformKey::Root => "root".to_owned(),
        PlatformKey::Part(hash) => format!("part/{hash}"),
        PlatformKey::Instances(group) => format!("instances/{group}"),
    }
}
