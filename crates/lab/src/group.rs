//! A handful of [`Control`]s wired by a list of messages under explicit time.
//!
//! It stands in for the driver: links delay and lose datagrams, the platform answers watches, and
//! peers answer fetches. It knows nothing of frames.

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

/// Time between two ticks of a driver.
pub const TICK_MS: Millis = Millis(50);
/// Headers of IPv4 and UDP in front of each datagram.
pub const HEADER_BYTES: usize = 28;

/// Delay and loss of the links between instances.
#[derive(Debug, Clone)]
pub struct Links {
    /// One-way delay.
    pub delay_ms: Millis,
    /// Further delay of up to this much, at random, which also reorders.
    pub jitter_ms: Millis,
    /// Datagrams lost, in thousandths.
    pub loss_permille: u32,
    /// Further delay of published values between instances.
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

/// What one instance sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Peer datagrams sent.
    pub sent: u64,
    /// Their bytes with headers.
    pub sent_bytes: u64,
    /// Peer datagrams received.
    pub received: u64,
    /// Their bytes with headers.
    pub received_bytes: u64,
    /// Bytes of published values received.
    pub value_bytes: u64,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Its control part; `None` while it is dead.
    pub control: Option<Control>,
    /// Newest view.
    pub view: Option<Arc<View>>,
    /// Number of views.
    pub views: u64,
    /// Log with times.
    pub log: Vec<(Micros, ControlLogEvent)>,
    /// Last readiness reported.
    pub is_ready: bool,
    /// What it sent and received.
    pub traffic: Traffic,
    /// Whether it answers no fetch.
    pub refuses_fetches: bool,
    /// Who it is.
    pub identity: Identity,
    /// Events that it took, when they are recorded.
    pub recorded_events: Option<Vec<(Micros, ControlEvent)>>,
    paused_until: Option<Micros>,
}

#[derive(Debug)]
enum ScheduledEvent {
    /// A driver ticks for the process with this incarnation.
    Tick(Incarnation),
    Event(ControlEvent, u64),
    /// A fetch reaches the peer that is responder.
    Fetch {
        requester: usize,
        hash: ContentHash,
    },
    WatchTimeout(PlatformKey),
    /// A call reaches the platform.
    PlatformCall {
        key: PlatformKey,
        etag: Option<String>,
        wait_ms: Millis,
    },
}

/// Several instances of one group.
#[derive(Debug)]
pub struct Group {
    /// Present time.
    pub now: Micros,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The configuration service.
    pub platform: Platform,
    /// Links between instances.
    pub links: Links,
    settings: ControlSettings,
    /// One-way cuts by sender and addressee.
    cuts: Vec<(usize, usize)>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    sequence: u64,
    random: SmallRng,
    keys: Keys,
}

impl Group {
    /// Creates a group whose instances are all on the published list but not started.
    pub fn new(size: usize, settings: ControlSettings, links: Links, seed: u64) -> Self {
        let instances = (0..size).map(Instance::new).collect();
        let mut group = Self {
            now: Micros(0),
            instances,
            platform: Platform::default(),
            links,
            settings,
            cuts: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            keys: Keys::new("a key for the laboratory", None),
        };
        group.publish_instances(0..size);
        group
    }

    /// Changes the published list to these instances.
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

    /// Starts all instances that do not run.
    pub fn start_all(&mut self) {
        (0..self.instances.len()).for_each(|index| self.start(index));
    }

    /// Starts an instance that does not run, under a new incarnation.
    pub fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.control.is_some() {
            return;
        }
        instance.identity.incarnation = Incarnation(1_000_000 + self.now.0);
        instance.control = Control::new(instance.identity.clone(), self.settings.clone()).ok();
        let tick = ScheduledEvent::Tick(instance.identity.incarnation);
        // Drivers do not tick in step.
        let phase = Millis(7 * index as u64 % TICK_MS.0);
        self.schedule(self.now + phase, index, tick);
    }

    /// Ends an instance without notice.
    pub fn kill(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.control = None;
        instance.view = None;
        instance.is_ready = false;
        self.platform
            .watches
            .retain(|watch| watch.instance != index);
    }

    /// Keeps an instance from running for a time; what reaches it waits in its socket.
    pub fn pause(&mut self, index: usize, duration: Millis) {
        self.instances[index].paused_until = Some(self.now + duration);
    }

    /// Cuts the links between two sets of instances in both directions.
    pub fn cut(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.cut_one_way(a, b);
                self.cut_one_way(b, a);
            }
        }
    }

    /// Cuts the link from one instance to another.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cuts.push((from, to));
    }

    /// Repairs every cut.
    pub fn restore_links(&mut self) {
        self.cuts.clear();
    }

    /// Gives an event to an instance now.
    pub fn deliver(&mut self, index: usize, event: ControlEvent) {
        self.schedule(self.now, index, ScheduledEvent::Event(event, 0));
        self.run_for(Millis(0));
    }

    /// Gives the same report of a target to an instance several times.
    pub fn report(&mut self, index: usize, report: HealthReport, times: usize) {
        for _ in 0..times {
            self.deliver(index, ControlEvent::HealthReport(report));
        }
    }

    /// Publishes a document as operators do: parts first, then the root. Returns its root hash.
    pub fn publish(&mut self, document: &Document) -> Result<ContentHash> {
        let packed = packed::pack(document, None)?;
        let values = packed.values.into_iter();
        self.platform
            .parts
            .extend(values.map(|(hash, text)| (hash, text.into_bytes())));
        self.set_root(packed.root.into_bytes());
        Ok(packed.root_hash)
    }

    /// Changes the root that the platform serves and ends_at the watches of it.
    pub fn set_root(&mut self, root: Vec<u8>) {
        self.platform.root = Some(root);
        self.wake_watches();
    }

    /// Takes the platform down, which ends_at all calls, or brings it back.
    pub fn set_platform_down(&mut self, is_down: bool) {
        self.platform.is_down = is_down;
        if is_down {
            for watch in std::mem::take(&mut self.platform.watches) {
                self.respond(watch.instance, watch.key, platform_failure());
            }
        }
    }

    /// Lets time pass.
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

    /// Lets time pass until a condition holds and returns how long that took, or `None` when it
    /// did not hold within the limit.
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

    /// Returns the version in force at an instance, or zero.
    pub fn version(&self, index: usize) -> u64 {
        let view = self.instances[index].view.as_ref();
        view.map_or(0, |view| view.document.version.0)
    }

    /// Returns the indices of the peers in the present epoch of an instance.
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

    /// Tells whether an instance has a watch of the root at the platform.
    pub fn is_watching_root(&self, index: usize) -> bool {
        let mut watches = self.platform.watches.iter();
        watches.any(|watch| watch.instance == index && watch.key == PlatformKey::Root)
    }

    /// Returns how many entries of an instance's log a predicate accepts.
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
            // The ticks of a process end with it.
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
                self.instances[index].views += 1;
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
        let Some(to) = to.filter(|&to| !is_lost && !self.is_cut(index, to)) else {
            return;
        };
        let arrival = Micros((self.now + self.links.delay_ms).0 + jitter);
        self.schedule(
            arrival,
            to,
            ScheduledEvent::Event(ControlEvent::PeerMessage(message), bytes),
        );
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn handle_fetch(&mut self, requester: usize, responder: usize, hash: ContentHash) {
        let is_cut = self.is_cut(requester, responder) || self.is_cut(responder, requester);
        let instance = &self.instances[responder];
        let is_serving = instance.paused_until.is_none() && !is_cut && !instance.refuses_fetches;
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

    /// Answers a watch that is still there at its end.
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
            views: 0,
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
