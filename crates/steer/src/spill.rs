//! Share of new flows that goes to other failure domains.
//!
//! At each total of the own domain, the demand of its callers is divided among the domains such that
//! requests are expected to take equally long everywhere, the way included. The share moves a bounded
//! part of the way to this division. See [spill-over](../../../docs/design/spill-over.md).

use hashbrown::HashMap;
use ids::{Micros, Millis};
use rand::Rng;
use smol_str::SmolStr;

use crate::model::TargetId;
use crate::remote_loads::{MAX_SUMMARY_AGE, OwnLoad, RemoteLoad};
use crate::steer::Steer;
use crate::verdict::Note;
use crate::view::View;

/// Round trip to another failure domain until it is measured.
const DEFAULT_WAY_MS: f32 = 5.0;

/// Bounds of a measured round trip. A lost packet of a caller adds more.
const MAX_WAY_MS: f32 = 200.0;

/// Number of handshakes with a domain from which their mean is used, and weight of a new one in it.
const MIN_HANDSHAKES: u32 = 8;
const HANDSHAKE_WEIGHT: f32 = 1.0 / 32.0;

/// Time by which a flow's request has to end sooner beyond the cost of the way, as bytes between
/// failure domains have a price.
const MIN_GAIN_MS: f32 = 10.0;

/// Time over which the demand is averaged. Counts of a few targets vary by half within 100 ms.
const DEMAND_PERIOD: Millis = Millis(400);

/// Part of the remaining difference by which the share moves per second, and at one total. The effect
/// of a change shows after about 300 ms, and a faster change overshoots in that time.
const CORRECTION_PER_S: f32 = 3.0;
const MAX_CORRECTION: f32 = 0.5;

/// Time in which the share falls from all to nothing once the own domain has enough capacity.
const FALL_S: f32 = 0.6;

/// Share below which nothing is spilled.
const MIN_SHARE: f32 = 0.01;

/// Age of the last total after which nothing is spilled.
const MAX_TOTAL_AGE: Millis = Millis(1_000);

/// Minimum time between two notes about a service, and the least change of its share that is noted.
const NOTE_INTERVAL: Millis = Millis(1_000);
const NOTED_CHANGE: f32 = 0.05;

/// Steps of the bisection for the level of expected time.
const BISECTION_STEPS: usize = 20;

/// Room of a service's targets in a failure domain, for the requests of the own domain's callers.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    slots: f32,
    /// Requests that others have pending there.
    used: f32,
    slowness: f32,
    /// Time that a request has to gain there, in units of the mean time of a request.
    cost: f32,
}

impl Room {
    /// Returns the number of requests that end within `level`, the mean time of a request being 1. A
    /// further request takes a turn of `request` in the queues of the targets.
    fn requests_within(&self, level: f32, request: f32) -> f32 {
        let rounds = (level - self.cost) / self.slowness;
        if rounds < 1.0 {
            return 0.0;
        }
        (self.slots * (rounds - request) - self.used).max(0.0)
    }
}

/// A summary of another failure domain.
#[derive(Debug, Clone)]
struct RemoteDomain {
    load: RemoteLoad,
    /// When the domain's loads were added up.
    summed_at: Micros,
    /// Requests of the own domain's callers that are pending there.
    spilled: u32,
    /// Room for the own domain's callers, unless the domain gets no flows.
    room: Option<Room>,
    /// Part of the spilled flows that the domain gets, relative to the others.
    weight: f32,
}

impl RemoteDomain {
    fn is_fresh(&self, now: Micros) -> bool {
        now.since(self.summed_at) <= MAX_SUMMARY_AGE
    }

    /// Returns the room and the part of the spilled flows, unless the domain gets none.
    fn usable(&self, now: Micros) -> Option<(&Room, f32)> {
        let is_open = self.is_fresh(now) && !self.load.is_short && self.load.slots > 0;
        let room = self.room.as_ref().filter(|_| is_open)?;
        Some((room, self.weight))
    }
}

/// Knowledge of one service in other failure domains, and the share of its flows that goes there.
#[derive(Debug, Clone, Default)]
pub struct ServiceSpill {
    remotes: Vec<RemoteDomain>,
    share: f32,
    updated_at: Micros,
    /// Averages of the requests of the own domain's callers that are pending in the own domain and in
    /// others.
    own_pending: f32,
    spilled_pending: f32,
    noted_share: f32,
    noted_at: Option<Micros>,
}

/// Another failure domain to which a flow may go.
#[derive(Debug, Clone, Copy)]
pub struct SpillDomain<'a> {
    /// Name of the failure domain.
    pub name: &'a str,
    /// Expected time for a request there in units of the mean time of a request.
    pub rounds: f32,
    /// Time by which it has to be shorter than in the own domain.
    pub cost: f32,
}

/// What the share of a service depends on besides the summaries.
struct Inputs<'a> {
    own: OwnLoad,
    /// Requests of the own domain's callers that are pending in other domains.
    spilled: &'a HashMap<SmolStr, u32>,
    /// Round trips to other domains.
    ways: &'a HashMap<SmolStr, Way>,
    /// Mean time of a request, once a response was seen.
    request_ms: Option<f32>,
    own_domain: &'a str,
    view: &'a View,
}

impl ServiceSpill {
    /// Records a summary of the loads at a time, unless a later one is known.
    pub(crate) fn insert(&mut self, summed_at: Micros, load: RemoteLoad) {
        let mut remotes = self.remotes.iter_mut();
        match remotes.find(|remote| remote.load.domain == load.domain) {
            Some(known) if known.summed_at > summed_at => {}
            Some(known) => {
                known.load = load;
                known.summed_at = summed_at;
            }
            None => self.remotes.push(RemoteDomain {
                load,
                summed_at,
                spilled: 0,
                room: None,
                weight: 0.0,
            }),
        }
    }

    /// Returns whether the load of some other failure domain is known.
    pub fn knows_others(&self, now: Micros) -> bool {
        self.remotes.iter().any(|remote| remote.is_fresh(now))
    }

    /// Returns whether some other failure domain may get spilled flows.
    pub fn has_open_domain(&self, now: Micros) -> bool {
        self.remotes
            .iter()
            .any(|remote| remote.usable(now).is_some())
    }

    /// Returns the share of new flows that goes to other failure domains.
    pub fn share(&self, now: Micros) -> f32 {
        if now.since(self.updated_at) > MAX_TOTAL_AGE {
            return 0.0;
        }
        self.share
    }

    /// Decides whether a flow may go to another failure domain, and to which. Draws random numbers
    /// only while a share of the flows does.
    pub fn draw(
        &self,
        now: Micros,
        is_own_busy: bool,
        random: &mut impl Rng,
    ) -> Option<SpillDomain<'_>> {
        let share = if is_own_busy { 1.0 } else { self.share(now) };
        if share <= 0.0 || random.random::<f32>() >= share {
            return None;
        }
        let usable = self.remotes.iter().filter_map(|remote| {
            let (room, weight) = remote.usable(now)?;
            Some((remote, room, weight))
        });
        let total: f32 = usable.clone().map(|(.., weight)| weight).sum();
        let mut point = random.random::<f32>() * total;
        let (drawn, room, _) = usable.into_iter().find(|(.., weight)| {
            let is_drawn = point < *weight;
            point -= weight;
            is_drawn
        })?;
        let used = room.used + drawn.spilled as f32;
        Some(SpillDomain {
            name: &drawn.load.domain,
            rounds: (used / room.slots).max(1.0) * room.slowness,
            cost: room.cost,
        })
    }

    /// Moves the share towards the division of the demand at which requests take equally long.
    fn update(&mut self, now: Micros, inputs: &Inputs<'_>) {
        let elapsed = now.since(self.updated_at).min(MAX_TOTAL_AGE);
        self.share = self.share(now);
        self.updated_at = now;
        for remote in &mut self.remotes {
            remote.update(inputs);
        }
        let spilled = self.remotes.iter().map(|remote| remote.spilled);
        let spilled = spilled.fold(0, u32::saturating_add);
        let weight = elapsed.0 as f32 / (elapsed.0 + DEMAND_PERIOD.0) as f32;
        self.own_pending += (inputs.own.pending as f32 - self.own_pending) * weight;
        self.spilled_pending += (spilled as f32 - self.spilled_pending) * weight;
        let wanted = self.wanted(now, &inputs.own, inputs.own.pending.saturating_add(spilled));
        self.move_share(elapsed, wanted);
    }

    /// Returns how many pending requests other domains should have, given the present demand, and sets
    /// their weights.
    fn wanted(&mut self, now: Micros, own: &OwnLoad, present: u32) -> f32 {
        let usable = self.remotes.iter().filter_map(|remote| remote.usable(now));
        let rooms: Vec<Room> = usable.map(|(room, _)| *room).collect();
        if own.slots == 0 || rooms.is_empty() {
            return 0.0;
        }
        let own_room = Room {
            slots: own.slots as f32,
            used: 0.0,
            slowness: own.slowness,
            cost: 0.0,
        };
        let request = own.targets as f32 / own.slots as f32;
        let demand = self.own_pending + self.spilled_pending;
        let level = equal_level(&own_room, &rooms, demand, request);
        for remote in &mut self.remotes {
            let room = remote.room.as_ref();
            remote.weight = room.map_or(0.0, |room| room.requests_within(level, request));
        }
        // What finds a free slot stays. The average takes long to show that a shortage has ended.
        let without_wait = own_room.slots * (1.0 - request);
        if present as f32 <= without_wait {
            return 0.0;
        }
        let kept = own_room.requests_within(level, request).max(without_wait);
        (demand - kept).max(0.0)
    }

    fn move_share(&mut self, elapsed: Millis, wanted: f32) {
        let demand = (self.own_pending + self.spilled_pending).max(1.0);
        let elapsed_s = elapsed.0 as f32 / 1_000.0;
        let part = (CORRECTION_PER_S * elapsed_s).min(MAX_CORRECTION);
        let mut share = self.share + part * (wanted - self.spilled_pending) / demand;
        if wanted < demand * MIN_SHARE {
            share = share.min(self.share - elapsed_s / FALL_S);
        }
        self.share = if share < MIN_SHARE {
            0.0
        } else {
            share.min(1.0)
        };
    }

    /// Returns a note if the share has changed and none was made within the last second.
    fn note(&mut self, now: Micros, service: &SmolStr) -> Option<Note> {
        let is_due = self
            .noted_at
            .is_none_or(|at| now.since(at) >= NOTE_INTERVAL);
        let starts_or_ends = (self.share > 0.0) != (self.noted_share > 0.0);
        let has_changed = (self.share - self.noted_share).abs() >= NOTED_CHANGE || starts_or_ends;
        if !is_due || !has_changed {
            return None;
        }
        let previous = std::mem::replace(&mut self.noted_share, self.share);
        self.noted_at = Some(now);
        Some(Note::SpillChanged {
            service: service.clone(),
            previous,
            share: self.share,
            own_pending: self.own_pending,
            spilled_pending: self.spilled_pending,
        })
    }
}

impl RemoteDomain {
    fn update(&mut self, inputs: &Inputs<'_>) {
        let domain = &self.load.domain;
        self.spilled = inputs.spilled.get(domain).copied().unwrap_or_default();
        let way = |domain: &str| inputs.ways.get(domain).and_then(Way::mean_ms);
        let way_ms = match (way(domain), way(inputs.own_domain)) {
            (Some(way), Some(own)) => (way - own).max(0.0),
            _ => DEFAULT_WAY_MS,
        };
        let is_evacuated = inputs.view.is_evacuated(domain);
        let request_ms = inputs.request_ms.filter(|_| !is_evacuated);
        self.room = request_ms.map(|request_ms| Room {
            slots: self.load.slots as f32,
            used: self.load.pending as f32,
            slowness: self.load.slowness_milli as f32 / 1_000.0,
            cost: (way_ms + MIN_GAIN_MS) / request_ms,
        });
    }
}

/// Returns the time within which all requests of the own domain's callers end if each goes where it
/// ends first.
fn equal_level(own: &Room, others: &[Room], demand: f32, request: f32) -> f32 {
    let mut low = 0.0;
    // The own domain alone serves them within this time.
    let mut high = own.slowness * (demand / own.slots + request + 1.0);
    for _ in 0..BISECTION_STEPS {
        let level = (low + high) / 2.0;
        let rooms = std::iter::once(own).chain(others);
        let served: f32 = rooms.map(|room| room.requests_within(level, request)).sum();
        if served < demand {
            low = level;
        } else {
            high = level;
        }
    }
    high
}

/// Round trip to the targets of a failure domain, with the callers' part of it.
#[derive(Debug, Clone, Copy, Default)]
struct Way {
    handshakes: u32,
    mean_ms: f32,
}

impl Way {
    fn record(&mut self, handshake_ms: f32) {
        self.handshakes = self.handshakes.saturating_add(1);
        let weight = HANDSHAKE_WEIGHT.max(1.0 / self.handshakes as f32);
        self.mean_ms += (handshake_ms.min(MAX_WAY_MS) - self.mean_ms) * weight;
    }

    fn mean_ms(&self) -> Option<f32> {
        (self.handshakes >= MIN_HANDSHAKES).then_some(self.mean_ms)
    }
}

/// What an instance knows about spilling flows.
#[derive(Debug, Default)]
pub(crate) struct SpillState {
    pub(crate) services: HashMap<SmolStr, ServiceSpill>,
    ways: HashMap<SmolStr, Way>,
    /// When the admitted share of each service was last below 1.
    short_at: HashMap<SmolStr, Micros>,
}

impl SpillState {
    /// Returns whether a service was short of capacity within a time.
    pub(crate) fn was_short(&self, now: Micros, service: &str, time: Millis) -> bool {
        let short_at = self.short_at.get(service);
        short_at.is_some_and(|at| now.since(*at) <= time)
    }

    /// Returns whether a share of some service's flows goes to other failure domains.
    pub(crate) fn has_share(&self) -> bool {
        self.services.values().any(|spill| spill.share > 0.0)
    }

    /// Returns what is known of a service.
    pub(crate) fn service(&self, service: &str) -> Option<&ServiceSpill> {
        // Nothing is known in calm times, and an opening packet then needs no lookup.
        if self.services.is_empty() {
            return None;
        }
        self.services.get(service)
    }
}

impl Steer {
    /// Returns the share of each service's new flows that goes to other failure domains.
    pub fn spill_shares(&self, now: Micros) -> impl Iterator<Item = (&SmolStr, f32)> {
        let services = self.spill.services.iter();
        services.map(move |(service, spill)| (service, spill.share(now)))
    }

    /// Records the time of a handshake with a target.
    pub(crate) fn record_way(&mut self, target: TargetId, handshake_time: Millis) {
        let Some(record) = self.view.record(target) else {
            return;
        };
        let domain = &record.target.domain;
        let way = match self.spill.ways.get_mut(domain) {
            Some(way) => way,
            None => self.spill.ways.entry(domain.clone()).or_default(),
        };
        way.record(handshake_time.0 as f32);
    }

    /// Adapts the shares to a total of the own failure domain.
    pub(crate) fn update_spill(&mut self, now: Micros) {
        for (service, admission) in &self.admissions {
            if admission.share(now) < 1.0 {
                self.spill.short_at.insert(service.clone(), now);
            }
        }
        let mut services = std::mem::take(&mut self.spill.services);
        services.retain(|_, spill| {
            spill.knows_others(now) || spill.share(now) > 0.0 || spill.noted_share > 0.0
        });
        for (service, spill) in &mut services {
            let inputs = Inputs {
                own: self.own_load(now, service),
                spilled: &self.spilled_pending(now, service),
                ways: &self.spill.ways,
                request_ms: self.request_ms(service),
                own_domain: &self.settings.domain,
                view: &self.view,
            };
            spill.update(now, &inputs);
            self.notes.extend(spill.note(now, service));
        }
        self.spill.services = services;
    }

    /// Returns the requests of this domain's callers that are pending in other failure domains.
    fn spilled_pending(&self, now: Micros, service: &str) -> HashMap<SmolStr, u32> {
        let mut sums = HashMap::new();
        let reported = self.reported_targets.iter();
        for record in reported.filter_map(|id| self.view.record(*id)) {
            let target = &record.target;
            if target.service == service && target.domain != self.settings.domain {
                let pending = record.load.pending(now, record.waiting);
                let sum: &mut u32 = sums.entry(target.domain.clone()).or_default();
                *sum = sum.saturating_add(pending);
            }
        }
        sums
    }

    /// Returns the mean time of a request over the routes of a service.
    fn request_ms(&self, service: &str) -> Option<f32> {
        let is_of_service = |entry| {
            let route = self.view.route(entry);
            route.is_some_and(|route| route.shares.iter().any(|share| share.service == service))
        };
        let loads = self.route_loads.iter();
        let loads = loads.filter(|(entry, _)| is_of_service(**entry));
        let (mut sum, mut count) = (0.0, 0);
        for (_, load) in loads {
            sum += load.service_time_ms();
            count += 1;
        }
        (count > 0).then(|| sum / count as f32)
    }
}
