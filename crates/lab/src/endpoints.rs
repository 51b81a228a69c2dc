//! Simulated targets and callers, which follow the contract in docs/frame.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use wire::frame::{Frame, Kind, Refusal};

use crate::shard_network::{Endpoint, Message, Payload, ShardNetwork};

/// A simulated target that follows the contract in docs/frame.md.
#[derive(Debug, Clone, Default)]
pub struct SimulatedTarget {
    /// Service of the target.
    pub service: String,
    /// Name within the service.
    pub name: String,
    /// Open flows.
    pub flows: BTreeSet<u64>,
    /// Flows whose frames the target ignores. It ignores all flows if `is_dead`.
    pub ignored_flows: BTreeSet<u64>,
    /// Whether the target ignores all frames.
    pub is_dead: bool,
    /// Code with which the target refuses new flows, if it does.
    pub open_refusal: Option<Refusal>,
}

/// The caller's side of one flow, which follows the contract in docs/frame.md.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    /// Service of the flow.
    pub service: String,
    /// Failure domain of the caller.
    pub domain: String,
    /// Whether the caller echoes tokens.
    pub echo: bool,
    /// Target that sent the first `Opened`.
    pub target: Option<String>,
    /// Newest token received.
    pub token: Vec<u8>,
    /// Refusal that ended the flow.
    pub refusal: Option<Refusal>,
    /// Data frames sent.
    pub data_frames_sent: u64,
    /// Data frames received from the flow's target.
    pub data_frames_received: u64,
    /// All frames received, if the network keeps them.
    pub received_frames: Vec<Frame>,
}

impl ShardNetwork {
    pub(crate) fn start_targets(&mut self) {
        for (service, declared) in &self.document.services {
            for (name, target) in &declared.targets {
                let known = self.targets.entry(target.address).or_default();
                // Another service or name at the same address means a new process.
                if known.name != name.as_str() || known.service != service.as_str() {
                    *known = SimulatedTarget {
                        service: service.to_string(),
                        name: name.to_string(),
                        ..SimulatedTarget::default()
                    };
                }
            }
        }
    }

    /// Opens a flow through instance `via`.
    pub fn open_flow(&mut self, flow: u64, caller: Caller, via: usize) {
        self.callers.insert(flow, caller);
        self.send_from_caller(flow, Kind::Open, &[], via);
    }

    /// Sends a data frame with a payload on a flow.
    pub fn send_data(&mut self, flow: u64, via: usize) {
        self.send_from_caller(flow, Kind::Data, b"payload", via);
    }

    /// Sends a keep-alive, an empty data frame, on a flow.
    pub fn send_keep_alive(&mut self, flow: u64, via: usize) {
        self.send_from_caller(flow, Kind::Data, &[], via);
    }

    /// Sends a frame of any kind from the caller of a flow.
    pub fn send_from_caller(&mut self, flow: u64, kind: Kind, body: &[u8], via: usize) {
        let Some(caller) = self.callers.get_mut(&flow) else {
            return;
        };
        if kind == Kind::Data {
            caller.data_frames_sent += 1;
        }
        let frame = Frame {
            service: caller.service.clone(),
            domain: caller.domain.clone(),
            echo: caller.echo,
            token: if caller.echo {
                caller.token.clone()
            } else {
                Vec::new()
            },
            source: "127.2.0.1:9".to_owned(),
            flow,
            body: body.to_vec(),
            ..Frame::new(kind)
        };
        self.counts.caller_frames += 1;
        self.send(
            Endpoint::Caller,
            Endpoint::Instance(via),
            Payload::Frame(frame),
        );
    }

    pub(crate) fn deliver_to_target(&mut self, address: SocketAddr, message: Message) {
        let Payload::Frame(frame) = message.payload else {
            return;
        };
        let Some(target) = self.targets.get_mut(&address) else {
            return;
        };
        if frame.service != target.service {
            self.counts.wrong_service_frames += 1;
            return;
        }
        if target.is_dead || target.ignored_flows.contains(&frame.flow) {
            return;
        }
        let has_flow = target.flows.contains(&frame.flow);
        let mut answer = Frame {
            target: target.name.clone(),
            token: Vec::new(),
            ..frame.clone()
        };
        match frame.kind() {
            Kind::Open => match target.open_refusal {
                Some(code) => answer = Frame::refusal_for(&answer, code),
                None => {
                    target.flows.insert(frame.flow);
                    answer.kind = Kind::Opened.into();
                }
            },
            Kind::Data if !has_flow => {
                self.counts.misrouted_frames += 1;
                answer = Frame::refusal_for(&answer, Refusal::FlowLost);
            }
            Kind::Close => {
                target.flows.remove(&frame.flow);
            }
            Kind::Data => {}
            _ => return,
        }
        self.send(
            Endpoint::Target(address),
            message.from,
            Payload::Frame(answer),
        );
    }

    pub(crate) fn deliver_to_caller(&mut self, message: Message) {
        let Payload::Frame(frame) = message.payload else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&frame.flow) else {
            return;
        };
        match frame.kind() {
            Kind::Opened if caller.target.is_none() => {
                caller.target = Some(frame.target.clone());
                caller.token.clone_from(&frame.token);
            }
            Kind::Opened | Kind::Data if caller.target.as_ref() == Some(&frame.target) => {
                if frame.kind() == Kind::Data {
                    caller.data_frames_received += 1;
                }
                if !frame.token.is_empty() {
                    caller.token.clone_from(&frame.token);
                }
            }
            Kind::Refuse => caller.refusal = Some(frame.refusal()),
            _ => {}
        }
        if self.keeps_received_frames {
            caller.received_frames.push(frame);
        }
    }
}
