//! Asks instances of other failure domains for the load of their domains.
//!
//! Only the root of a domain asks, while its core has a use for the answers, and passes them down
//! with its totals. See [spill-over](../../../docs/design/spill-over.md).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hashbrown::HashMap;
use ids::Millis;
use slog::{Logger, debug};
use steer::RemoteLoad;
use steer::remote_loads::MAX_SUMMARY_AGE;
use tokio::sync::oneshot;
use tonic::Status;
use tonic::transport::Channel;
use wire::steering::relay_client::RelayClient;
use wire::steering::{DomainLoad, ReadLoadsReply, ReadLoadsRequest};

use crate::peer;
use crate::relay::lock;
use crate::view_reader::LoopEvent;

/// Interval at which other failure domains are asked.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a call. The next one is due by then.
const CALL_TIMEOUT: Duration = ASK_INTERVAL;

/// Timeout for the packet loop to return the load of the own failure domain.
const SUMMARY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of entries of an answer that are used, one for each service of a domain.
const MAX_ENTRIES: usize = 64;

/// What is known of another failure domain.
#[derive(Debug, Default)]
struct Domain {
    /// Position of the instance to ask among those that are known.
    position: usize,
    /// Connection to an instance that has answered.
    client: Option<(SocketAddr, RelayClient<Channel>)>,
    /// Entries that have not been passed down yet, and when they arrived.
    answer: Option<(Instant, Vec<DomainLoad>)>,
    is_being_asked: bool,
}

/// The other failure domains. Clones share their state.
#[derive(Debug, Clone)]
pub struct RemoteLoads {
    domains: Arc<Mutex<HashMap<String, Domain>>>,
    asked_at: Arc<Mutex<Option<Instant>>>,
    log: Logger,
}

impl RemoteLoads {
    /// Creates a state without any domain.
    pub fn new(log: Logger) -> Self {
        Self {
            domains: Arc::default(),
            asked_at: Arc::default(),
            log,
        }
    }

    /// Returns whether the last round was at least an interval ago.
    pub fn is_due(&self, now: Instant) -> bool {
        lock(&self.asked_at).is_none_or(|at| now.duration_since(at) >= ASK_INTERVAL)
    }

    /// Asks one of the known instances of each domain, if a round is due. Returns at once; the answers
    /// arrive later.
    pub fn ask(&self, now: Instant, known: Vec<(impl ToString, Vec<SocketAddr>)>) {
        if !self.is_due(now) {
            return;
        }
        *lock(&self.asked_at) = Some(now);
        let known = known.into_iter();
        let known: Vec<_> = known
            .map(|(domain, addresses)| (domain.to_string(), addresses))
            .collect();
        let mut domains = lock(&self.domains);
        domains.retain(|name, _| known.iter().any(|(known_name, _)| known_name == name));
        for (name, addresses) in known {
            let domain = domains.entry(name.clone()).or_default();
            let address = addresses.get(domain.position % addresses.len().max(1));
            let Some(address) = address.filter(|_| !domain.is_being_asked) else {
                continue;
            };
            domain.is_being_asked = true;
            let client = domain.client.take().filter(|(known, _)| known == address);
            let call = self.clone().ask_domain(name, *address, client);
            tokio::spawn(call);
        }
    }

    async fn ask_domain(
        self,
        name: String,
        address: SocketAddr,
        client: Option<(SocketAddr, RelayClient<Channel>)>,
    ) {
        let call = tokio::time::timeout(CALL_TIMEOUT, read_loads(address, client)).await;
        let result = match call {
            Ok(result) => result,
            Err(_) => Err("no answer within the call timeout".to_owned()),
        };
        let mut domains = lock(&self.domains);
        let Some(domain) = domains.get_mut(&name) else {
            return;
        };
        domain.is_being_asked = false;
        let result = result.and_then(|(client, mut loads)| {
            // A peer only knows the load of its own domain. If it has got no totals lately, another
            // instance of the domain may have.
            loads.retain(|load| load.domain == name && load.age_ms <= MAX_SUMMARY_AGE.0);
            loads.truncate(MAX_ENTRIES);
            match loads.is_empty() {
                true => Err("no recent load of the domain".to_owned()),
                false => Ok((client, loads)),
            }
        });
        match result {
            Ok((client, loads)) => {
                domain.client = Some((address, client));
                domain.answer = Some((Instant::now(), loads));
            }
            Err(reason) => {
                domain.position = domain.position.wrapping_add(1);
                debug!(self.log, "loads not read"; "step" => "loads", "peer" => %address,
                    "domain" => name, "reason" => reason);
            }
        }
    }

    /// Returns the entries that have arrived since the last call, with their present age.
    pub fn take(&self, now: Instant) -> Vec<DomainLoad> {
        let mut entries = Vec::new();
        for domain in lock(&self.domains).values_mut() {
            let Some((arrived_at, loads)) = domain.answer.take() else {
                continue;
            };
            let waited_ms = now.duration_since(arrived_at).as_millis() as u64;
            entries.extend(loads.into_iter().map(|load| DomainLoad {
                age_ms: load.age_ms.saturating_add(waited_ms),
                ..load
            }));
        }
        entries
    }
}

async fn read_loads(
    address: SocketAddr,
    client: Option<(SocketAddr, RelayClient<Channel>)>,
) -> Result<(RelayClient<Channel>, Vec<DomainLoad>), String> {
    let mut client = match client {
        Some((_, client)) => client,
        None => peer::connect(address)
            .await
            .map_err(|error| error.to_string())?,
    };
    let reply = client
        .read_loads(ReadLoadsRequest {})
        .await
        .map_err(|status| status.to_string())?;
    Ok((client, reply.into_inner().loads))
}

/// Returns the load of the own failure domain, as the packet loop knows it.
pub(crate) async fn query_summary(
    events: &flume::Sender<LoopEvent>,
) -> Result<ReadLoadsReply, Status> {
    let (reply, summary) = oneshot::channel();
    // The queue is unbounded and closes only when the process ends.
    let _ = events.send(LoopEvent::SummaryQuery(reply));
    let Ok(Ok(loads)) = tokio::time::timeout(SUMMARY_TIMEOUT, summary).await else {
        return Err(Status::unavailable("the packet loop does not answer"));
    };
    if loads.is_empty() {
        return Err(Status::unavailable("no loads of the failure domain"));
    }
    Ok(ReadLoadsReply {
        loads: loads.iter().map(encode).collect(),
    })
}

/// Encodes a summary.
pub fn encode(load: &RemoteLoad) -> DomainLoad {
    DomainLoad {
        domain: load.domain.to_string(),
        service: load.service.to_string(),
        slots: load.slots,
        pending: load.pending,
        slowness_milli: load.slowness_milli,
        is_short: load.is_short,
        age_ms: load.age.0,
    }
}

/// Decodes a summary.
pub fn decode(load: &DomainLoad) -> RemoteLoad {
    RemoteLoad {
        domain: load.domain.as_str().into(),
        service: load.service.as_str().into(),
        slots: load.slots,
        pending: load.pending,
        slowness_milli: load.slowness_milli,
        is_short: load.is_short,
        age: Millis(load.age_ms),
    }
}
