//! Faults with random generators of their own, so that they do not change the other faults of a seed:
//! the evacuation of a failure domain, a target that returns cold, entries of another writer, and two
//! targets with one token of which one leaves.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::kit::caller::Caller;
use super::kit::target::Target;
use super::kit::{ENTRY, PACKET_PORT, TestNetwork, document};
use super::{CHANGE_LIMIT, INSTANCES};

/// Settings with which instances limit the flows that open at a cold target.
const COLD_BOUNDS: &str = "warmup-over = 1.5\nwarmup-slack = 5";

/// Failure domain of the instances and of all targets but the refuges.
const EVACUATED_DOMAIN: &str = "a";
const REFUGE_DOMAIN: &str = "b";

/// Number of targets in the other failure domain, which take the flows during an evacuation.
const REFUGES: u8 = 2;

/// Index of the first target of this module; a run replaces fewer targets.
const FIRST_TARGET: u8 = 70;

/// First address of the callers that open flows at the cold target.
const FIRST_CALLER: u8 = 10;

/// Time for which a target that has returned is cold.
const WARMUP: Duration = Duration::from_secs(4);

/// Maximum number of flows that open at the cold target in a second, over all instances:
/// `cold-per-s` 1.0 x `warmup-over` 1.5 + `warmup-slack` 5, rounded down.
const COLD_LIMIT: usize = 6;

/// Pause between two flows of a caller at the cold target. Without a limit it gets a multiple of
/// what it may.
const BURST_PAUSE: Duration = Duration::from_millis(10);

/// Two identities with equal tokens.
const SHARED_TOKEN_IDS: [u64; 2] = [0x25_3f8f_7811, 0x2c_33b3_a52a];

/// Time for which the target that leaves reports that it drains.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);

pub struct Additions {
    random: SmallRng,
    foreign_random: SmallRng,
    token_random: SmallRng,
    foreign_entries: ForeignEntries,
    shared_token: Option<SharedToken>,
    pub evacuation: Option<Evacuation>,
    pub cold_return: Option<ColdReturn>,
}

/// Order to evacuate the failure domain of the instances.
pub struct Evacuation {
    begins_at: Instant,
    ends_at: Instant,
    /// When the store acknowledged the order, and whether it was stable then.
    acknowledged: Option<(Instant, bool)>,
    withdrawn_at: Option<Instant>,
    pub refuges: Vec<Target>,
}

/// Incomplete entries of another writer, which name the address of a target of another service.
pub struct ForeignEntries {
    target: Target,
}

/// Two targets with one token, of which one leaves as planned.
pub struct SharedToken {
    leaves_at: Instant,
    is_draining: bool,
    has_left: bool,
    leaving: Target,
    staying: Target,
}

/// A target that is down for a while and starts again as a new process.
pub struct ColdReturn {
    down_at: Instant,
    returns_at: Instant,
    returned_at: Option<Instant>,
    is_down: bool,
    pub target: Target,
    openings: Vec<Instant>,
    burst: JoinSet<()>,
}

/// Returns a configuration whose service names its cold rate.
pub fn cold_document(version: u64, entries: &[SocketAddrV4]) -> Value {
    let mut document = document(version, entries);
    document["services"][0]["warmup-s"] = json!(WARMUP.as_secs_f64());
    document["services"][0]["cold-per-s"] = json!(1.0);
    document
}

impl Additions {
    /// Decides about the faults of a seed and starts the targets that they need.
    pub async fn new(seed: u64, net: &TestNetwork) -> Self {
        let mut random = SmallRng::seed_from_u64(seed.rotate_left(32) ^ 0x6164_6465);
        let now = Instant::now();
        let evacuation = if random.random_bool(0.5) {
            let mut refuges = Vec::new();
            for index in 0..REFUGES {
                let target = net.new_target(FIRST_TARGET + index, REFUGE_DOMAIN).await;
                refuges.push(target);
            }
            Some(Evacuation {
                begins_at: now,
                ends_at: now,
                acknowledged: None,
                withdrawn_at: None,
                refuges,
            })
        } else {
            None
        };
        let cold_return = if random.random_bool(0.5) {
            net.store.put("op/config", &cold_document(1, &[ENTRY]));
            let index = FIRST_TARGET + REFUGES;
            Some(ColdReturn {
                down_at: now,
                returns_at: now,
                returned_at: None,
                is_down: false,
                target: net.new_target(index, EVACUATED_DOMAIN).await,
                openings: Vec::new(),
                burst: JoinSet::new(),
            })
        } else {
            None
        };
        let mut token_random = SmallRng::seed_from_u64(seed.rotate_left(32) ^ 0x746f_6b65);
        let shared_token = if token_random.random_bool(0.5) {
            Some(SharedToken::start(net).await)
        } else {
            None
        };
        Self {
            random,
            foreign_random: SmallRng::seed_from_u64(seed.rotate_left(32) ^ 0x666f_7265),
            token_random,
            foreign_entries: ForeignEntries::start(net).await,
            shared_token,
            evacuation,
            cold_return,
        }
    }

    /// Draws the times of the faults in a run that begins now.
    pub fn schedule(&mut self, duration: Duration) {
        let now = Instant::now();
        if let Some(evacuation) = &mut self.evacuation {
            evacuation.begins_at = now + duration.mul_f64(self.random.random_range(0.0..0.35));
            let excess = Duration::from_millis(self.random.random_range(1_500..4_000));
            evacuation.ends_at = evacuation.begins_at + CHANGE_LIMIT + excess;
        }
        if let Some(cold_return) = &mut self.cold_return {
            cold_return.down_at = now + duration.mul_f64(self.random.random_range(0.0..0.3));
            let down_time = Duration::from_millis(self.random.random_range(1_000..5_000));
            cold_return.returns_at = cold_return.down_at + down_time;
        }
        if let Some(shared_token) = &mut self.shared_token {
            let part = self.token_random.random_range(0.0..0.3);
            shared_token.leaves_at = now + duration.mul_f64(part);
        }
    }

    /// Begins and ends the faults that are due. `is_store_stable` is the state of the store now.
    pub async fn advance(&mut self, net: &TestNetwork, is_store_stable: impl Fn(Instant) -> bool) {
        let now = Instant::now();
        if self.foreign_random.random_bool(0.3) {
            self.foreign_entries.write(net, &mut self.foreign_random);
        }
        if let Some(shared_token) = &mut self.shared_token {
            shared_token.advance(net, now);
        }
        if let Some(evacuation) = &mut self.evacuation {
            if evacuation.acknowledged.is_none() && now >= evacuation.begins_at {
                net.store.put(&order_key(), &json!({}));
                let at = Instant::now();
                evacuation.acknowledged = Some((at, is_store_stable(at)));
            }
            if now >= evacuation.ends_at {
                evacuation.withdraw(net);
            }
        }
        if let Some(cold_return) = &mut self.cold_return {
            if !cold_return.is_down && now >= cold_return.down_at {
                cold_return.is_down = true;
                cold_return.target.kill();
                net.store.delete(&cold_return.target.store_key());
            }
            if cold_return.returned_at.is_none() && now >= cold_return.returns_at {
                cold_return.start_again(net).await;
            }
        }
    }

    /// Returns further lines for the section `bounds` of the settings of instances.
    pub fn bounds(&self) -> &'static str {
        self.cold_return.as_ref().map_or("", |_| COLD_BOUNDS)
    }

    pub fn refuges(&self) -> impl Iterator<Item = &Target> {
        self.evacuation.iter().flat_map(|it| &it.refuges)
    }

    /// Returns the targets that no fault affects.
    pub fn undisturbed_targets(&self) -> impl Iterator<Item = &Target> {
        let staying = self.shared_token.iter().map(|it| &it.staying);
        self.refuges().chain(staying)
    }

    /// Returns the violation if flows were opened at the target that only foreign entries name.
    pub fn foreign_violation(&self) -> Option<String> {
        let count = self.foreign_entries.target.take_openings().len();
        (count > 0).then(|| format!("{count} flows were opened by an entry of another writer"))
    }

    pub fn cold_target(&self) -> Option<&Target> {
        self.cold_return.as_ref().map(|it| &it.target)
    }

    /// Ends all faults.
    pub fn end(&mut self, net: &TestNetwork) {
        if let Some(evacuation) = &mut self.evacuation {
            evacuation.withdraw(net);
        }
    }
}

impl ForeignEntries {
    async fn start(net: &TestNetwork) -> Self {
        let index = FIRST_TARGET + REFUGES + 1;
        Self {
            target: net.start_target(index, u64::from(index)).await,
        }
    }

    /// Writes or deletes an entry that lacks a field, has an odd one or no identity.
    fn write(&self, net: &TestNetwork, random: &mut SmallRng) {
        const FIELDS: [&str; 5] = ["version", "seq", "born", "zone", "max-concurrent"];
        let key = format!("servers/foreign-{:x}", random.random_range(0..4));
        if random.random_bool(0.3) {
            net.store.delete(&key);
            return;
        }
        let mut entry = self.target.store_record("ready");
        let field = FIELDS[random.random_range(0..FIELDS.len())];
        if random.random_bool(0.5) {
            entry.as_object_mut().unwrap().remove(field);
        } else {
            entry[field] = json!([[[u64::MAX]]]);
        }
        net.store.put(&key, &entry);
    }
}

impl SharedToken {
    async fn start(net: &TestNetwork) -> Self {
        let [leaving, staying] = SHARED_TOKEN_IDS;
        let first = FIRST_TARGET + REFUGES + 2;
        Self {
            leaves_at: Instant::now(),
            is_draining: false,
            has_left: false,
            leaving: net.new_target_with_id(first, leaving).await,
            staying: net.new_target_with_id(first + 1, staying).await,
        }
    }

    fn advance(&mut self, net: &TestNetwork, now: Instant) {
        if !self.is_draining && now >= self.leaves_at {
            self.is_draining = true;
            let report = self.leaving.numbered_store_record("draining", 2);
            net.store.put(&self.leaving.store_key(), &report);
        }
        if !self.has_left && now >= self.leaves_at + DRAIN_TIME {
            self.has_left = true;
            self.leaving.kill();
            net.store.delete(&self.leaving.store_key());
        }
    }
}

impl Evacuation {
    fn withdraw(&mut self, net: &TestNetwork) {
        if self.acknowledged.is_some() && self.withdrawn_at.is_none() {
            self.withdrawn_at = Some(Instant::now());
            net.store.delete(&order_key());
        }
    }

    /// Returns whether no stable instance may open a flow to a target at a moment.
    pub fn forbids(&self, target: &Target, at: Instant) -> bool {
        let Some((acknowledged_at, true)) = self.acknowledged else {
            return false;
        };
        target.domain == EVACUATED_DOMAIN
            && at.saturating_duration_since(acknowledged_at) > CHANGE_LIMIT
            && self
                .withdrawn_at
                .is_none_or(|withdrawn_at| at < withdrawn_at)
    }
}

impl ColdReturn {
    /// Starts the target as a new process, and callers that open flows through each instance while
    /// it is cold.
    async fn start_again(&mut self, net: &TestNetwork) {
        // What the earlier process took does not count.
        self.openings.clear();
        self.target = Target::start(self.target.id, self.target.address, PACKET_PORT).await;
        let mut report = self.target.store_record("ready");
        let born = report["born"].as_u64().unwrap();
        report["born"] = json!(born + 1);
        report["warmup-left-ms"] = json!(WARMUP.as_millis() as u64);
        net.store.put(&self.target.store_key(), &report);
        let cold_until = Instant::now() + WARMUP;
        self.returned_at = Some(Instant::now());
        for index in 0..INSTANCES {
            let host = net.caller_host(FIRST_CALLER + index);
            let via = net.packet_address(index);
            self.burst.spawn(async move {
                let mut caller = Caller::bind(SocketAddrV4::new(host, PACKET_PORT)).await;
                while Instant::now() < cold_until {
                    // Only the openings that the cold target accepts are judged.
                    let _ = caller.open_flow(via).await;
                    tokio::time::sleep(BURST_PAUSE).await;
                }
            });
        }
    }

    /// Records that a flow was opened at the target.
    pub fn record_opening(&mut self, at: Instant) {
        if self
            .returned_at
            .is_some_and(|returned_at| at <= returned_at + WARMUP)
        {
            self.openings.push(at);
        }
    }

    /// Returns the violation if too many flows were opened in a second while the target was cold.
    /// The limit holds for all instances together, whether or not they are in touch.
    pub fn violation(&self) -> Option<String> {
        let most = self
            .openings
            .iter()
            .map(|first| {
                let window = *first..*first + Duration::from_secs(1);
                self.openings
                    .iter()
                    .filter(|at| window.contains(at))
                    .count()
            })
            .max()?;
        (most > COLD_LIMIT).then(|| {
            format!(
                "{most} flows were opened in a second at the cold target {:x}",
                self.target.id
            )
        })
    }
}

fn order_key() -> String {
    format!("op/evacuate/{EVACUATED_DOMAIN}")
}
