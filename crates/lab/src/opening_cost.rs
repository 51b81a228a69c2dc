//! Places a fixed number of flows, to be run under an instruction counter.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

use ids::{Micros, Millis};
use smol_str::SmolStr;
use steer::{
    Change, Document, FlowId, PacketKind, Repeat, Revision, Route, RouteTerms, Segment, Settings,
    Share, Steer, Target, TargetId, Token, Update, Verdict,
};

use crate::{Error, Result};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

const ENTRY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// The present time of all decisions. It does not advance, so that no handshake times out.
const NOW: Micros = Micros(1_000_000);

const SERVICE: &str = "rates";

/// Number of flows per caller address, which is less than there are ports.
const PORTS: u64 = 50_000;

/// Size of a measurement of opening packets.
#[derive(Debug, Clone, Copy)]
pub struct OpeningRun {
    /// Targets of the service, spread evenly over three failure domains.
    pub targets: u64,
    /// Flows that are open at the same time, per target. Each has a pending request, so that above
    /// six the own failure domain is busy and the others are compared as well.
    pub flows_per_target: u64,
    /// Number of opening packets after those that open all flows once.
    pub decisions: u64,
}

/// Opens all flows once and then opens them anew in turn, so that the load stays the same.
///
/// The difference between two runs contains only the additional opening packets, not the setup of
/// the view.
pub fn decide(seed: u64, run: OpeningRun, out: &mut impl Write) -> Result<()> {
    let flows = run.targets * run.flows_per_target;
    let settings = Settings {
        domain: SmolStr::new_static(DOMAINS[0]),
        max_flows: flows as usize,
        ..Settings::default()
    };
    let mut steer = Steer::new(settings, seed).map_err(|_| Error::Unavailable("openings"))?;
    steer.apply_snapshot(NOW, revision(run.targets + 1), updates(run.targets));
    let mut forwarded = 0_u64;
    for number in 0..flows + run.decisions {
        let segment = opening(number % flows, number / flows);
        let verdict = steer.on_segment(NOW, &segment, &[7; 64]);
        forwarded += u64::from(matches!(verdict, Verdict::Forward { .. }));
        let mut notes = steer.take_notes();
        notes.clear();
        steer.return_notes(notes);
    }
    writeln!(
        out,
        "{forwarded} of {} opening packets forwarded",
        flows + run.decisions
    )?;
    Ok(())
}

/// Returns the opening packet of a flow. Each round has another sequence number, which makes it the
/// opening packet of a new flow from the same port.
fn opening(flow: u64, round: u64) -> Segment {
    let address = Ipv4Addr::from_bits(0x6440_0000 + (flow / PORTS) as u32);
    let port = 1_024 + (flow % PORTS) as u16;
    Segment {
        flow: FlowId {
            caller: SocketAddrV4::new(address, port),
            entry: ENTRY,
        },
        kind: PacketKind::Open { retransmissions: 0 },
        token: Token(0),
        seq: round as u32,
        ack: 0,
        data_bytes: 0,
    }
}

fn updates(targets: u64) -> Vec<Update> {
    let document = Change::Document(document());
    let changes = (1..=targets).map(|number| Change::Target(target(number)));
    std::iter::once(document)
        .chain(changes)
        .zip(1..)
        .map(|(change, number)| Update {
            revision: revision(number),
            change,
        })
        .collect()
}

fn revision(number: u64) -> Revision {
    Revision {
        number,
        ..Revision::default()
    }
}

fn document() -> Document {
    Document {
        version: 1,
        routes: vec![Route {
            entry: ENTRY,
            shares: vec![Share {
                service: SmolStr::new_static(SERVICE),
                weight: 1,
            }],
            repeat: Repeat::Never,
            terms: RouteTerms::default(),
        }],
        idle: Millis(15_000),
        services: Vec::new(),
    }
}

fn target(number: u64) -> Target {
    Target {
        id: TargetId(number),
        service: SmolStr::new_static(SERVICE),
        address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + number as u32), 8_000),
        domain: SmolStr::new_static(DOMAINS[number as usize % DOMAINS.len()]),
        slots: 2,
        is_draining: false,
        warmup: Millis(0),
        incarnation: 1,
        sequence: 1,
    }
}
