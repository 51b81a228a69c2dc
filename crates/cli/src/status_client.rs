//! HTTP client that fetches the status of running instances.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::report::{Error, ExitStatus, Result};

/// Outcome of fetching a status of type `T` from one instance.
#[derive(Debug, Serialize)]
pub struct StatusResponse<T> {
    /// HTTP address of the instance.
    pub address: SocketAddr,
    /// The status, if the instance returned one.
    pub status: Option<T>,
    /// Why there is no status.
    pub error: Option<String>,
}

/// Fetches the status of all instances concurrently, with timeout `wait` for each.
pub fn fetch_statuses<T>(addresses: &[SocketAddr], wait: Duration) -> Result<Vec<StatusResponse<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Client(error.to_string()))?;
    runtime.block_on(fetch_each(addresses, wait))
}

async fn fetch_each<T>(addresses: &[SocketAddr], wait: Duration) -> Result<Vec<StatusResponse<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(wait)
        .build()
        .map_err(|error| Error::Client(error.to_string()))?;
    // Concurrent requests, so that several unresponsive instances cost only one timeout in total.
    let requests: Vec<_> = addresses
        .iter()
        .map(|address| tokio::spawn(fetch_status(client.clone(), *address)))
        .collect();
    let mut responses = Vec::new();
    for (task, address) in requests.into_iter().zip(addresses) {
        let outcome = task.await.unwrap_or_else(|error| Err(error.to_string()));
        let (status, error) = match outcome {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error)),
        };
        responses.push(StatusResponse {
            address: *address,
            status,
            error,
        });
    }
    Ok(responses)
}

async fn fetch_status<T: DeserializeOwned>(
    client: reqwest::Client,
    address: SocketAddr,
) -> std::result::Result<T, String> {
    let url = format!("http://{address}/status");
    let response = client.get(url).send().await.map_err(root_cause)?;
    let response = response.error_for_status().map_err(root_cause)?;
    response.json().await.map_err(root_cause)
}

/// Returns the innermost cause of an error, which describes the fault rather than the request.
fn root_cause(error: reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = &error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// Returns a finding for each instance that returned no status.
pub fn unreachable_findings<T>(responses: &[StatusResponse<T>]) -> Vec<String> {
    let unreachable = responses
        .iter()
        .filter(|response| response.status.is_none());
    unreachable
        .map(|response| {
            let error = response.error.as_deref().unwrap_or("no status");
            format!("{} cannot be reached: {error}", response.address)
        })
        .collect()
}

/// Returns the exit status for the responses and findings of a command.
pub fn exit_status<T>(responses: &[StatusResponse<T>], findings: &[String]) -> ExitStatus {
    if responses.iter().any(|response| response.status.is_none()) {
        return ExitStatus::Unreachable;
    }
    if findings.is_empty() {
        return ExitStatus::Success;
    }
    ExitStatus::Findings
}
