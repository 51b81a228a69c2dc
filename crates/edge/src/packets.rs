//! The packet loop: receives packets, asks the steering core for a verdict and sends them on.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use ids::{Micros, Millis};
use platform::packet;
use slog::{Logger, info, warn};
use steer::{Destination, Evidence, Steer, Verdict};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::recorder::{NoteRecorder, to_milli};
use crate::relay::RelayService;
use crate::view_reader::LoopEvent;

/// Maximum number of packets received before other events are handled.
const MAX_BATCH_PACKETS: usize = 64;

/// Interval between sweeps of the flow table.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reports of the load to peers while requests wait at a target. A target
/// processes several requests in this time.
const BUSY_LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reports of the load to peers while no request waits.
const IDLE_LOAD_INTERVAL: Duration = Duration::from_millis(400);

/// Size of a packet with its prefix. The extra byte makes an oversized datagram detectable.
const BUFFER_BYTES: usize = packet::PREFIX_BYTES + packet::MAX_PACKET_BYTES + 1;

/// Steers all packets of one socket.
#[derive(Debug)]
pub struct PacketLoop {
    socket: UdpSocket,
    steer: Steer,
    relay: RelayService,
    /// Evidence to publish to peers at the end of this iteration.
    pending_evidence: Vec<Evidence>,
    recorder: NoteRecorder,
    metrics: Metrics,
    log: Logger,
    clock: Clock,
    view_confirmed_at: Instant,
    last_received_at: Instant,
    has_usable_view: watch::Sender<bool>,
    buffer: [u8; BUFFER_BYTES],
}

impl PacketLoop {
    /// Creates a loop for a bound socket.
    pub fn new(
        socket: UdpSocket,
        steer: Steer,
        relay: RelayService,
        metrics: Metrics,
        clock: Clock,
        log: Logger,
        has_usable_view: watch::Sender<bool>,
    ) -> Self {
        Self {
            socket,
            steer,
            relay,
            pending_evidence: Vec::new(),
            recorder: NoteRecorder::new(log.clone(), metrics.clone()),
            metrics,
            log,
            clock,
            view_confirmed_at: Instant::now(),
            last_received_at: Instant::now(),
            has_usable_view,
            buffer: [0; BUFFER_BYTES],
        }
    }

    /// Runs until `stop` completes. Packets that arrive before the first view stay in the socket
    /// buffer.
    pub async fn run(
        &mut self,
        events: &flume::Receiver<LoopEvent>,
        stop: impl Future<Output = ()>,
    ) {
        tokio::pin!(stop);
        let mut sweep_at = Instant::now() + SWEEP_INTERVAL;
        let mut loads_at = Instant::now() + IDLE_LOAD_INTERVAL;
        loop {
            let due = self
                .steer
                .next_timer_at()
                .map(|due| self.clock.instant(due));
            let next_round_at = sweep_at.min(loads_at);
            let wake_at = due.map_or(next_round_at, |due| due.min(next_round_at));
            let is_usable = self.steer.view().is_usable();
            tokio::select! {
                biased;
                readable = self.socket.readable(), if is_usable => match readable {
                    Ok(()) => self.receive(),
                    Err(error) => warn!(self.log, "waiting for packets"; "reason" => %error),
                },
                Ok(event) = events.recv_async() => self.handle_event(event),
                () = tokio::time::sleep_until(wake_at.into()) => {
                    self.on_timer();
                    if Instant::now() >= sweep_at {
                        self.sweep();
                        sweep_at = Instant::now() + SWEEP_INTERVAL;
                    }
                    if Instant::now() >= loads_at {
                        self.publish_loads();
                        if self.steer.needs_remote_loads(self.clock.now()) {
                            self.relay.ask_remote_loads();
                        }
                        loads_at = Instant::now() + self.load_interval();
                    }
                }
                () = &mut stop => return,
            }
            self.report_notes();
        }
    }

    /// Returns when packets were last received.
    pub fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    fn publish_loads(&mut self) {
        let loads = self.steer.take_own_loads();
        let callers = self.steer.take_own_callers(self.clock.now());
        self.relay.publish_loads(&loads, &callers);
    }

    fn load_interval(&self) -> Duration {
        if self.steer.has_queued_requests() {
            BUSY_LOAD_INTERVAL
        } else {
            IDLE_LOAD_INTERVAL
        }
    }

    fn receive(&mut self) {
        self.last_received_at = Instant::now();
        for _ in 0..MAX_BATCH_PACKETS {
            let payload = &mut self.buffer[packet::PREFIX_BYTES..];
            let length = match self.socket.try_recv(payload) {
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The error was caused by an earlier send to a closed port, not by a received
                // packet.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => continue,
                Err(error) => {
                    warn!(self.log, "receiving"; "reason" => %error);
                    return;
                }
            };
            self.steer_packet(length);
        }
    }

    fn steer_packet(&mut self, length: usize) {
        let end = packet::PREFIX_BYTES + length;
        let bytes = &mut self.buffer[packet::PREFIX_BYTES..end];
        let Some(segment) = packet::decode(bytes) else {
            self.metrics
                .packets_dropped
                .with_label_values(&["malformed"])
                .inc();
            return;
        };
        let now = self.clock.now();
        match self.steer.on_segment(now, &segment, bytes) {
            Verdict::Forward { to, token } => {
                if let Some(token) = token {
                    packet::set_token(bytes, token);
                }
                self.buffer[..packet::PREFIX_BYTES].copy_from_slice(&packet::target_prefix(to.id));
                self.send(end, to);
            }
            Verdict::Reset(_) => {
                let reset = packet::encode_reset(segment.flow, segment.ack);
                self.send_reset(&reset, segment.flow.caller);
            }
            Verdict::Drop(_) => {}
        }
    }

    fn send(&self, end: usize, to: Destination) {
        match self
            .socket
            .try_send_to(&self.buffer[..end], to.address.into())
        {
            Ok(_) => self.metrics.packets_forwarded.inc(),
            Err(error) => self.count_unsent(&error),
        }
    }

    fn send_reset(&self, packet: &[u8], caller: std::net::SocketAddrV4) {
        // Callers listen on the same port on which this instance receives packets.
        let port = self.socket.local_addr().map_or(0, |address| address.port());
        let to = std::net::SocketAddrV4::new(*caller.ip(), port);
        if let Err(error) = self.socket.try_send_to(packet, to.into()) {
            self.count_unsent(&error);
        }
    }

    /// Counts a packet that could not be sent. The sender retransmits it like a lost packet.
    fn count_unsent(&self, error: &std::io::Error) {
        let reason = if error.kind() == ErrorKind::WouldBlock {
            "socket-full"
        } else {
            "send-failed"
        };
        self.metrics
            .packets_dropped
            .with_label_values(&[reason])
            .inc();
    }

    fn handle_event(&mut self, event: LoopEvent) {
        let now = self.clock.now();
        match event {
            LoopEvent::Snapshot { revision, updates } => {
                self.steer.apply_snapshot(now, revision, updates)
            }
            LoopEvent::Changes { revision, updates } => {
                self.steer.apply_changes(now, revision, updates)
            }
            LoopEvent::PeerEvidence(evidence) => {
                for item in &evidence {
                    self.steer.on_evidence(now, item);
                }
                return;
            }
            LoopEvent::Members(members) => {
                self.steer.set_members(now, members);
                return;
            }
            LoopEvent::DomainLoads(loads) => {
                self.steer.on_domain_loads(now, &loads);
                return;
            }
            LoopEvent::DomainCallers(totals) => {
                self.steer.on_domain_callers(now, &totals);
                return;
            }
            LoopEvent::RemoteLoads(loads) => {
                self.steer.on_remote_loads(now, &loads);
                return;
            }
            LoopEvent::SummaryQuery(reply) => {
                // The caller may have given up in the meantime.
                let _ = reply.send(self.steer.domain_summary(now));
                return;
            }
            LoopEvent::StatusQuery(reply) => {
                let age = Millis(self.view_confirmed_at.elapsed().as_millis() as u64);
                // The HTTP request may have been cancelled in the meantime.
                let _ = reply.send((self.steer.core_status(now), age));
                return;
            }
        }
        self.view_confirmed_at = Instant::now();
        let is_usable = self.steer.view().is_usable();
        self.has_usable_view
            .send_if_modified(|has_view| std::mem::replace(has_view, is_usable) != is_usable);
    }

    fn on_timer(&mut self) {
        let now = self.clock.now();
        let mut resends = Vec::new();
        self.steer.on_timer(now, |resend| resends.push(resend));
        for mut resend in resends {
            packet::set_token(&mut resend.packet, resend.token);
            let end = packet::PREFIX_BYTES + resend.packet.len();
            self.buffer[..packet::PREFIX_BYTES]
                .copy_from_slice(&packet::target_prefix(resend.to.id));
            self.buffer[packet::PREFIX_BYTES..end].copy_from_slice(&resend.packet);
            self.send(end, resend.to);
        }
    }

    fn sweep(&mut self) {
        let now = self.clock.now();
        self.steer.sweep(now);
        self.metrics.flows.set(self.steer.flow_count() as i64);
        self.metrics
            .targets_cold
            .set(self.steer.cold_count(now) as i64);
        self.metrics.spill_share.reset();
        for (service, share) in self.steer.spill_shares(now) {
            self.metrics
                .spill_share
                .with_label_values(&[service.as_str()])
                .set(to_milli(share));
        }
        self.metrics.work_busiest_over_mean.reset();
        for balance in self.steer.work_balance(now) {
            self.metrics
                .work_busiest_over_mean
                .with_label_values(&[balance.service.as_str()])
                .set(i64::from(balance.busiest_over_mean_milli));
        }
        self.metrics
            .view_revision
            .set(self.steer.view().revision().number as i64);
        self.metrics
            .view_age_ms
            .set(self.view_confirmed_at.elapsed().as_millis() as i64);
        self.report_excess_callers(now);
        self.recorder.record_suppressed();
    }

    fn report_excess_callers(&self, now: Micros) {
        for (service, count) in self.steer.excess_callers() {
            let gauge = self
                .metrics
                .callers_over_share
                .with_label_values(&[service.as_str()]);
            let count = count as i64;
            if gauge.get() != count {
                gauge.set(count);
                info!(self.log, "callers over share"; "service" => %service, "callers" => count,
                    "admitted_share" => self.steer.admitted_share(service, now));
            }
        }
    }

    fn report_notes(&mut self) {
        let now = self.clock.now();
        let mut notes = self.steer.take_notes();
        for note in notes.drain(..) {
            self.pending_evidence.extend(note.evidence());
            self.recorder.record(now, self.steer.view(), note);
        }
        self.steer.return_notes(notes);
        if !self.pending_evidence.is_empty() {
            self.relay.publish_evidence(&self.pending_evidence);
            self.pending_evidence.clear();
        }
    }
}
