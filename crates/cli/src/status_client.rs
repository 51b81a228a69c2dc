//! Asking running instances for their status.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::report::{Code, Error, Result};

/// What an instance answered, as a status `T`.
#[derive(Debug, Serialize)]
pub struct Answer<T> {
    /// Address that was asked.
    pub address: SocketAddr,
    /// The status, when there is one.
    pub status: Option<T>,
    /// Why there is none.
    pub error: Option<String>,
}

/// Asks instances for their status, all at once.
pub fn ask_all<T>(addresses: &[SocketAddr], wait: Duration) -> Result<Vec<Answer<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Client(error.to_string()))?;
    runtime.block_on(ask_each(addresses, wait))
}

async fn ask_each<T>(addresses: &[SocketAddr], wait: Duration) -> Result<Vec<Answer<T>>>
where
    T: DeserializeOwned + Send + 'static,
{
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(wait)
        .build()
        .map_err(|error| Error::Client(error.to_string()))?;
    // All at once, so that instances that do not answer cost one wait and not one each.
    let asked: Vec<_> = addresses
        .iter()
        .map(|address| tokio::spawn(ask(client.clone(), *address)))
        .collect();
    let mut answers = Vec::new();
    for (task, address) in asked.into_iter().zip(addresses) {
        let outcome = task.await.unwrap_or_else(|error| Err(error.to_string()));
        let (status, error) = match outcome {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error)),
        };
        answers.push(Answer {
            address: *address,
            status,
            error,
        });
    }
    Ok(answers)
}

async fn ask<T: DeserializeOwned>(
    client: reqwest::Client,
    address: SocketAddr,
) -> std::result::Result<T, String> {
    let url = format!("http://{address}/status");
    let answer = client.get(url).send().await.map_err(reason)?;
    let answer = answer.error_for_status().map_err(reason)?;
    answer.json().await.map_err(reason)
}

/// Returns the innermost cause, which names the fault and not the request.
fn reason(error: reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = &error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// Returns a finding for each instance that did not answer.
pub fn findings_of_unreached<T>(answers: &[Answer<T>]) -> Vec<String> {
    let unreached = answers.iter().filter(|answer| answer.status.is_none());
    unreached
        .map(|answer| {
            let error = answer.error.as_deref().unwrap_or("no status");
            format!("{} cannot be reached: {error}", answer.address)
        })
        .collect()
}

/// Returns the exit code for answers and findings.
pub fn code<T>(answers: &[Answer<T>], findings: &[String]) -> Code {
    if answers.iter().any(|answer| answer.status.is_none()) {
        return Code::Unreachable;
    }
    if findings.is_empty() {
        return Code::Fine;
    }
    Code::Findings
}
