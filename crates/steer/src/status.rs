//! What an instance believes, for operators.

use std::net::SocketAddrV4;

use ids::{Micros, Millis};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::steer::Steer;

/// The status of a steering instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes packets.
    pub is_ready: bool,
    /// Time since its view was confirmed.
    pub view_age_ms: Millis,
    /// What it believes.
    pub beliefs: CoreStatus,
}

/// What the core believes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreStatus {
    /// Version of the configuration in force.
    pub version: u64,
    /// Revision of the view.
    pub revision: u64,
    /// Flows in the table.
    pub flows: usize,
    /// All targets, in the order of service and identity.
    pub targets: Vec<TargetStatus>,
}

/// What the core believes of one target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Service of the target.
    pub service: SmolStr,
    /// Identity in hexadecimal digits.
    pub id: String,
    /// Failure domain.
    pub domain: SmolStr,
    /// Address.
    pub address: SocketAddrV4,
    /// Whether it takes new flows.
    pub standing: SmolStr,
    /// Whether it is passed over, since it does not answer or stalls requests.
    pub is_avoided: bool,
    /// Requests that callers of the instance wait for.
    pub waiting: u32,
    /// Flows of the instance.
    pub flows: u32,
}

impl Steer {
    /// Returns what the core believes.
    pub fn core_status(&self, now: Micros) -> CoreStatus {
        let mut targets: Vec<TargetStatus> = self
            .view()
            .records()
            .map(|record| TargetStatus {
                service: record.target.service.clone(),
                id: record.target.id.to_string(),
                domain: record.target.domain.clone(),
                address: record.target.address,
                standing: chart::Label::name(record.state).into(),
                is_avoided: record.is_avoided(now),
                waiting: record.waiting,
                flows: record.flows,
            })
            .collect();
        targets.sort_unstable();
        CoreStatus {
            version: self.view().version(),
            revision: self.view().revision(),
            flows: self.flows(),
            targets,
        }
    }
}
