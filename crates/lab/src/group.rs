//! A simulated group of [`Control`]s that exchange messages in simulated time.
//!
//! It takes the place of the driver: links delay and lose datagrams, the platform answers reads and
//! watches, and peers answer fetches. Frames are not simulated.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

use balance::control::{Control, ControlSettings, Identity};
use balance::event::{
    ControlAction, ControlEvent, ControlLogEvent, HealthReport, PlatformKey, PlatformOutcome,
};
use balance::view::View;
use conf::{Document, packed};
use ids::{ContentHash, Incarnation, Micros, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::peer::{Body, PeerMessage};
use wire::seal::Keys;

use crate::platform::{Platform, Watch, etag_of};
use crate::{Result, fixture};

/// Interval between two ticks of a driver.
pub const TICK_MS: Millis = Millis(50);
/// IPv4 and UDP headers of each datagram.
pub const HEADER_BYTES: usize = 28;

/// Delay and loss of the links between instances.
#[derive(Debug, Clone)]
pub struct Links {
    /// One-way delay.
    pub delay_ms: Millis,
    /// Maximum random delay added to `delay_ms`. It also reorders datagrams.
    pub jitter_ms: Millis,
    /// Fraction of datagrams lost, in thousandths.
    pub loss_permille: u32,
    /// Delay added when an instance fetches a published value from a peer.
    pub value_delay_ms: Millis,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            delay_ms: Millis(5),
            jitter_ms: Millis(1),
            loss_permille: 0,
            value_delay_ms: Millis(0),
        }
    }
}

/// Traffic counters of one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Peer datagrams sent.
    pub sent: u64,
    /// Bytes of peer datagrams sent, with headers.
    pub sent_bytes: u64,
    /// Peer datagrams received.
    pub received: u64,
    /// Bytes of peer datagrams received, with headers.
    pub received_bytes: u64,
    /// Bytes of published values received.
    pub value_bytes: u64,
}

/// One simulated instance.
#[derive(Debug)]
pub struct Instance {
    /// Its control plane; `None` while it is not running.
    pub control: Option<Control>,
    /// View published last.
    pub view: Option<Arc<View>>,
    /// Number of views published.
    pub view_count: u64,
    /// Log events with the times at which they were logged.
    pub log: Vec<(Micros, ControlLogEvent)>,
    /// Readiness reported last.
    pub is_ready: bool,
    /// Traffic since the simulation started.
    pub traffic: Traffic,
    /// Whether fetches from this instance fail.
    pub refuses_fetches: bool,
    /// Identity in the group.
    pub identity: Identity,
    /// Events handled so far, if they are recorded.
    pub recorded_events: Option<Vec<(Micros, ControlEvent)>>,
    paused_until: Option<Micros>,
}

#[derive(Debug)]
enum ScheduledEvent {
    /// Tick of the driver of the process with this incarnation.
    Tick(Incarnation),
    Event(ControlEvent, u64),
    /// A fetch arrives at the peer that should have the value.
    Fetch {
        requester: usize,
        hash: ContentHash,
    },
    WatchTimeout(PlatformKey),
    /// A read arrives at the platform.
    PlatformCall {
        key: PlatformKey,
        etag: Option<String>,
        wait_ms: Millis,
    },
}

/// A simulated group of instances.
#[derive(Debug)]
pub struct Group {
    /// Current time.
    pub now: Micros,
    /// Instances by index, whether they run or not.
    pub instances: Vec<Instance>,
    /// The configuration service.
    pub platform: Platform,
    /// Links between instances.
    pub links: Links,
    settings: ControlSettings,
    /// Blocked links as (sender, receiver).
    blocked_links: Vec<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    sequence: u64,
    random: SmallRng,
    keys: Keys,
}

impl Group {
    /// Creates a group whose instances are all listed at the platform but not started.
    pub fn new(size: usize, settings: ControlSettings, links: Links, seed: u64) -> Self {
        let instances = (0..size).map(Instance::new).collect();
        let mut group = Self {
            now: Micros(0),
            instances,
            platform: Platform::default(),
            links,
            settings,
            blocked_links: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            keys: Keys::new("a key for the laboratory", None),
        };
        group.publish_instances(0..size);
        group
    }

    /// Replaces the published list of instances by the given ones.
    pub fn publish_instances(&mut self, indices: impl IntoIterator<Item = usize>) {
        let mut text = String::new();
        for index in indices {
            let Identity {
                name,
                domain,
                peer_address: peer,
                grpc_address: grpc,
                ..
            } = &self.instances[index].identity;
            text += &format!(
                "[instance.{name}]\ndomain = {domain}\npeer = {peer}\ngrpc = {grpc}\nstate = live\n"
            );
        }
        self.platform.instance_list = text.into_bytes();
        self.wake_watches();
    }

    /// Starts all instances that are not running.
    pub fn start_all(&mut self) {
        (0..self.instances.len()).for_each(|index| self.start(index));
    }

    /// Starts an instance under a new incarnation, unless it is running.
    pub fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.control.is_some() {
            return;
        }
        instance.identity.incarnation = Incarnation(1_000_000 + self.now.0);
        instance.control = Control::new(instance.identity.clone(), self.settings.clone()).ok();
        let tick = ScheduledEvent::Tick(instance.identity.incarnation);
        // Drivers do not tick at the same time.
        let phase = Millis(7 * index as u64 % TICK_MS.0);
        self.schedule(self.now + phase, index, tick);
    }

    /// Stops an instance without notice.
    pub fn kill(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.control = None;
        instance.view = None;
        instance.is_ready = false;
        self.platform
            .watches
            .retain(|watch| watch.instance != index);
    }

    /// Pauses an instance for a time. Events that arrive meanwhile wait until it resumes.
    pub fn pause(&mut self, index: usize, duration: Millis) {
        self.instances[index].paused_until = Some(self.now + duration);
    }

    /// Blocks all links between two sets of instances in both directions.
    pub fn block_links(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.block_link(a, b);
                self.block_link(b, a);
            }
        }
    }

    /// Blocks the link from one instance to another.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.push((from, to));
    }

    /// Unblocks all links.
    pub fn restore_links(&mut self) {
        self.blocked_links.clear();
    }

    /// Delivers an event to an instance at the current time.
    pub fn deliver(&mut self, index: usize, event: ControlEvent) {
        self.schedule(self.now, index, ScheduledEvent::Event(event, 0));
        self.run_for(Millis(0));
    }

    /// Delivers the same health report to an instance several times.
    pub fn report(&mut self, index: usize, report: HealthReport, times: usize) {
        for _ in 0..times {
            self.deliver(index, ControlEvent::HealthReport(report));
        }
    }

    /// Publishes a document as operators do: parts first, then the root. Returns the root hash.
    pub fn publish(&mut self, document: &Document) -> Result<ContentHash> {
        let packed = packed::pack(document, None)?;
        let values = packed.values.into_iter();
        self.platform
            .parts
            .extend(values.map(|(hash, text)| (hash, text.into_bytes())));
        self.set_root(packed.root.into_bytes());
        Ok(packed.root_hash)
    }

    /// Replaces the root at the platform and answers pending watches.
    pub fn set_root(&mut self, root: Vec<u8>) {
        self.platform.root = Some(root);
        self.wake_watches();
    }

    /// Takes the platform down, which fails all pending watches, or brings it back up.
    pub fn set_platform_down(&mut self, is_down: bool) {
        self.platform.is_down = is_down;
        if is_down {
            for watch in std::mem::take(&mut self.platform.watches) {
                self.respond(watch.instance, watch.key, platform_failure());
            }
        }
    }

    /// Advances the time and processes all events that become due.
    pub fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(&Reverse((time, sequence, index))) = self.queue.peek() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(time);
            if let Some(scheduled_event) = self.scheduled.remove(&sequence) {
                self.dispatch(index, scheduled_event);
            }
        }
        self.now = end;
    }

    /// Advances the time until a condition holds and returns the elapsed time, or `None` if the
    /// condition does not hold within the limit.
    pub fn run_until(
        &mut self,
        limit: Millis,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Millis(1));
        }
        None
    }

    /// Returns the version of the active document of an instance, or zero if it has none.
    pub fn version(&self, index: usize) -> u64 {
        let view = self.instances[index].view.as_ref();
        view.map_or(0, |view| view.document.version.0)
    }

    /// Returns the indices of the peers in the current epoch of an instance.
    pub fn epoch(&self, index: usize) -> Vec<usize> {
        let epoch = self.instances[index]
            .view
            .as_ref()
            .and_then(|view| view.current_epoch());
        let is_peer = |instance: &Instance| {
            epoch.is_some_and(|epoch| {
                epoch
                    .peers
                    .iter()
                    .any(|peer| peer.name == instance.identity.name)
            })
        };
        (0..self.instances.len())
            .filter(|&other| is_peer(&self.instances[other]))
            .collect()
    }

    /// Returns whether an instance has a pending watch on the root.
    pub fn is_watching_root(&self, index: usize) -> bool {
        let mut watches = self.platform.watches.iter();
        watches.any(|watch| watch.instance == index && watch.key == PlatformKey::Root)
    }

    /// Returns the number of log entries of an instance that match a predicate.
    pub fn count_log(&self, index: usize, is_counted: impl Fn(&ControlLogEvent) -> bool) -> usize {
        let log = &self.instances[index].log;
        log.iter().filter(|(_, entry)| is_counted(entry)).count()
    }

    fn schedule(&mut self, time: Micros, index: usize, scheduled_event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((time, self.sequence, index)));
        self.scheduled.insert(self.sequence, scheduled_event);
    }

    fn dispatch(&mut self, index: usize, scheduled_event: ScheduledEvent) {
        match scheduled_event {
            ScheduledEvent::PlatformCall { key, etag, wait_ms } => {
                return self.handle_call(index, key, etag, wait_ms);
            }
            ScheduledEvent::WatchTimeout(key) => return self.time_out_watch(index, key),
            ScheduledEvent::Fetch { requester, hash } => {
                return self.handle_fetch(requester, index, hash);
            }
            ScheduledEvent::Tick(_) | ScheduledEvent::Event(..) => {}
        }
        let instance = &mut self.instances[index];
        if let Some(until) = instance.paused_until {
            if until > self.now {
                return self.schedule(until, index, scheduled_event);
            }
            instance.paused_until = None;
        }
        let Some(control) = &mut instance.control else {
            return;
        };
        let event = match scheduled_event {
            ScheduledEvent::Event(event, bytes) => {
                if matches!(event, ControlEvent::PeerMessage(_)) {
                    instance.traffic.received += 1;
                    instance.traffic.received_bytes += bytes;
                }
                event
            }
            // Ticks of an earlier process of this instance are ignored.
            ScheduledEvent::Tick(process) if process != instance.identity.incarnation => return,
            _ => ControlEvent::Tick,
        };
        if let Some(recorded_events) = &mut instance.recorded_events {
            recorded_events.push((self.now, event.clone()));
        }
        let is_tick = matches!(event, ControlEvent::Tick);
        let mut out = Vec::new();
        control.handle(self.now, event, &mut out);
        if is_tick {
            let next = ScheduledEvent::Tick(instance.identity.incarnation);
            self.schedule(self.now + TICK_MS, index, next);
        }
        for action in out {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: ControlAction) {
        match action {
            ControlAction::PublishView(view) => {
                self.instances[index].view_count += 1;
                self.instances[index].view = Some(view);
            }
            ControlAction::Log(entry) => self.instances[index].log.push((self.now, entry)),
            ControlAction::SetReady(is_ready) => self.instances[index].is_ready = is_ready,
            ControlAction::SendToPeer { address, body, .. } => self.send(index, address, body),
            ControlAction::ReadPlatform { key, etag, wait_ms } => {
                if !self.platform.admit_call(self.now) {
                    self.respond(index, key, platform_failure());
                    return;
                }
                let arrival = self.now + self.links.delay_ms;
                self.schedule(
                    arrival,
                    index,
                    ScheduledEvent::PlatformCall { key, etag, wait_ms },
                );
            }
            ControlAction::FetchFromPeer { from, hash, .. } => {
                let responder = self
                    .instances
                    .iter()
                    .position(|instance| instance.identity.name == from);
                if let Some(responder) = responder {
                    let arrival = self.now + self.links.delay_ms;
                    self.schedule(
                        arrival,
                        responder,
                        ScheduledEvent::Fetch {
                            requester: index,
                            hash,
                        },
                    );
                }
            }
        }
    }

    fn send(&mut self, index: usize, address: SocketAddr, body: Body) {
        let instance = &mut self.instances[index];
        let message = PeerMessage {
            from: instance.identity.name.to_string(),
            incarnation: instance.identity.incarnation.0,
            body: Some(body),
        };
        let Ok(datagram) = message.to_datagram(&self.keys) else {
            return;
        };
        let bytes = (datagram.len() + HEADER_BYTES) as u64;
        instance.traffic.sent += 1;
        instance.traffic.sent_bytes += bytes;
        let is_lost = self.random.random_ratio(self.links.loss_permille, 1_000);
        let jitter = self.random.random_range(0..=1_000 * self.links.jitter_ms.0);
        let to = self
            .instances
            .iter()
            .position(|instance| instance.identity.peer_address == address);
        let Some(to) = to.filter(|&to| !is_lost && !self.is_blocked(index, to)) else {
            return;
        };
        let arrival = Micros((self.now + self.links.delay_ms).0 + jitter);
        self.schedule(
            arrival,
            to,
            ScheduledEvent::Event(ControlEvent::PeerMessage(message), bytes),
        );
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked_links.contains(&(from, to))
    }

    fn handle_fetch(&mut self, requester: usize, responder: usize, hash: ContentHash) {
        let is_blocked =
            self.is_blocked(requester, responder) || self.is_blocked(responder, requester);
        let instance = &self.instances[responder];
        let is_serving =
            instance.paused_until.is_none() && !is_blocked && !instance.refuses_fetches;
        let control = instance.control.as_ref().filter(|_| is_serving);
        let value = control.and_then(|control| control.value(&hash));
        let delay_ms = match control {
            Some(_) => Millis(self.links.delay_ms.0 + self.links.value_delay_ms.0),
            // A driver gives up after a second.
            None => Millis(1_000),
        };
        self.instances[requester].traffic.value_bytes +=
            value.as_ref().map_or(0, |v| v.len() as u64);
        let event = ControlEvent::Fetched {
            from: self.instances[responder].identity.name.clone(),
            hash,
            value: value.map(|value| value.to_vec()),
        };
        self.schedule(
            self.now + delay_ms,
            requester,
            ScheduledEvent::Event(event, 0),
        );
    }

    fn handle_call(
        &mut self,
        instance: usize,
        key: PlatformKey,
        etag: Option<String>,
        wait_ms: Millis,
    ) {
        if self.platform.is_down {
            return self.respond(instance, key, platform_failure());
        }
        let Some(value) = self.platform.value(instance, &key) else {
            return self.respond(instance, key, PlatformOutcome::Missing);
        };
        let new_etag = etag_of(&value);
        if etag.as_ref() != Some(&new_etag) {
            self.instances[instance].traffic.value_bytes += value.len() as u64;
            let outcome = PlatformOutcome::Value {
                bytes: value,
                etag: new_etag,
            };
            return self.respond(instance, key, outcome);
        }
        let ends_at = self.now + wait_ms;
        let watch = Watch {
            instance,
            key: key.clone(),
            etag,
            ends_at,
        };
        self.platform.watches.push(watch);
        self.schedule(ends_at, instance, ScheduledEvent::WatchTimeout(key));
    }

    /// Answers a watch with `Unchanged` if it is still pending when it times out.
    fn time_out_watch(&mut self, instance: usize, key: PlatformKey) {
        let is_over = |watch: &Watch| {
            watch.instance == instance && watch.key == key && watch.ends_at <= self.now
        };
        let count = self.platform.watches.len();
        let watches = std::mem::take(&mut self.platform.watches);
        self.platform.watches = watches
            .into_iter()
            .filter(|watch| !is_over(watch))
            .collect();
        if self.platform.watches.len() < count {
            self.respond(instance, key, PlatformOutcome::Unchanged);
        }
    }

    fn wake_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            self.handle_call(
                watch.instance,
                watch.key,
                watch.etag,
                watch.ends_at.since(self.now),
            );
        }
    }

    fn respond(&mut self, instance: usize, key: PlatformKey, outcome: PlatformOutcome) {
        let event = ControlEvent::PlatformResponse { key, outcome };
        let arrival = self.now + self.links.delay_ms;
        self.schedule(arrival, instance, ScheduledEvent::Event(event, 0));
    }
}

impl Instance {
    fn new(index: usize) -> Self {
        let host = index as u8 + 1;
        let identity = Identity {
            name: fixture::instance(index),
            domain: fixture::domain(index),
            group: fixture::group(),
            incarnation: Incarnation(0),
            peer_address: fixture::address(9, host),
            grpc_address: fixture::address(10, host),
        };
        Self {
            control: None,
            view: None,
            view_count: 0,
            log: Vec::new(),
            is_ready: false,
            traffic: Traffic::default(),
            refuses_fetches: false,
            identity,
            recorded_events: None,
            paused_until: None,
        }
    }
}

fn platform_failure() -> PlatformOutcome {
    PlatformOutcome::Failed("the platform is down".to_owned())
}
