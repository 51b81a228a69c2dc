//! The status of an instance, for operators.

use std::net::SocketAddrV4;

use ids::{Micros, Millis};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::steer::Steer;
use crate::target_state::TargetState;
use crate::view::TargetRecord;
use crate::work::ServiceBalance;

/// The status of a steering instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether the instance is ready for packets.
    pub is_ready: bool,
    /// Time since the view was last confirmed.
    pub view_age_ms: Millis,
    /// Status of the steering core.
    pub beliefs: CoreStatus,
}

/// Status of the steering core.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreStatus {
    /// Version of the active configuration.
    pub version: u64,
    /// Epoch of the view's revision.
    #[serde(default)]
    pub epoch: u64,
    /// Number of the view's revision.
    pub revision: u64,
    /// Flows in the table.
    pub flows: usize,
    /// Evacuated failure domains, sorted.
    #[serde(default)]
    pub evacuated_domains: Vec<SmolStr>,
    /// Balance of the services in the own failure domain, sorted by service.
    #[serde(default)]
    pub balance: Vec<ServiceBalance>,
    /// All targets, sorted by service and identity.
    pub targets: Vec<TargetStatus>,
}

/// Status of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Service of the target.
    pub service: SmolStr,
    /// Identity in hexadecimal.
    pub id: String,
    /// Failure domain.
    pub domain: SmolStr,
    /// Address.
    pub address: SocketAddrV4,
    /// State of the target, which tells whether it accepts new flows.
    pub standing: SmolStr,
    /// Whether new flows avoid the target because it is unresponsive or stalls requests.
    pub is_avoided: bool,
    /// Number of pending requests on flows of the instance.
    pub waiting: u32,
    /// Number of flows of the instance.
    pub flows: u32,
}

/// State of a target that serves and whose new flows are limited because it is cold.
const COLD: &str = "cold";

impl Steer {
    fn standing(&self, record: &TargetRecord, now: Micros) -> &'static str {
        let is_limited = self.settings.cold_limit.is_some() && record.is_cold(now);
        if is_limited && record.state == TargetState::Serving {
            return COLD;
        }
        chart::Label::name(record.state)
    }

    /// Returns the status of the core.
    pub fn core_status(&self, now: Micros) -> CoreStatus {
        let mut targets: Vec<TargetStatus> = self
            .view()
            .records()
            .map(|record| TargetStatus {
                service: record.target.service.clone(),
                id: record.target.id.to_string(),
                domain: record.target.domain.clone(),
                address: record.target.address,
                standing: self.standing(record, now).into(),
                is_avoided: record.is_avoided(now),
                waiting: record.waiting,
                flows: record.flows,
            })
            .collect();
        targets.sort_unstable();
        CoreStatus {
            version: self.view().version(),
            epoch: self.view().revision().epoch,
            revision: self.view().revision().number,
            flows: self.flow_count(),
            evacuated_domains: self.view().evacuated_domains().to_vec(),
            balance: self.work_balance(now),
            targets,
        }
    }
}
