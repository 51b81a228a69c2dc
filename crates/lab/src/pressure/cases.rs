//! The cases of pressure that are measured and tested.

use ids::Millis;
use smol_str::format_smolstr;
use steer::Settings;

use super::scenario::{BULK, Fault, SAFE, Scenario, Stream, URGENT, seconds};

/// Time of the end of load in each case.
const DURATION_S: f64 = 22.0;

/// Size of a run relative to 120 and 30 targets.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Fraction of the targets and of the load.
    pub scale: f64,
}

/// The full size.
pub const FULL: Size = Size {
    instances: 80,
    scale: 1.0,
};

/// The size of tests.
pub const SMALL: Size = Size {
    instances: 8,
    scale: 0.1,
};

fn named(name: &str, size: Size) -> Scenario {
    Scenario {
        name: name.into(),
        ..Scenario::calm(size.instances, size.scale, seconds(DURATION_S))
    }
}

/// Usual load.
pub fn calm(size: Size) -> Scenario {
    named("calm", size)
}

/// Four times the load of one class for 8 s, and half of the targets do not answer for 6 s of it.
pub fn one_class_heavy(size: Size) -> Scenario {
    let mut case = named("one class heavy", size);
    case.multiply(&[SAFE], 4.0, 3.0, 11.0);
    case.faults = dead(0.5, 4.0, 10.0);
    case
}

/// Three times the load for 12 s, and 40% of the targets are four times slower for 8 s of it.
pub fn all_classes_heavy(size: Size) -> Scenario {
    let mut case = named("all classes heavy", size);
    case.multiply(&[SAFE, URGENT, BULK], 3.0, 3.0, 15.0);
    case.faults = slow(0.4, 5.0, 13.0);
    case
}

/// Half of the targets are four times slower, which leaves enough capacity for the usual load.
pub fn half_slow(size: Size) -> Scenario {
    let mut case = named("half of the targets slow", size);
    case.faults = slow(0.5, 3.0, 15.0);
    case
}

/// Half of the targets do not answer, which leaves enough capacity for the usual load.
pub fn half_dead(size: Size) -> Scenario {
    let mut case = named("half of the targets down", size);
    case.faults = dead(0.5, 3.0, 15.0);
    case
}

/// A domain that reaches no other one has three times the load.
pub fn domain_cut_off(size: Size) -> Scenario {
    let mut case = named("a domain cut off, 3x load", size);
    case.cut_domain = Some(0);
    let streams = case.streams.clone();
    case.streams.extend(streams.iter().map(|stream| {
        let share = 2.0 / case.domain_shares.len() as f64;
        let rate_per_s = stream.rate_per_s * share;
        Stream {
            domain: Some(0),
            ..Stream::new(stream.class, rate_per_s, seconds(3.0), seconds(15.0))
        }
    }));
    case
}

/// One caller address sends four times the usual load on a hundred flows, together with half of the
/// targets not answering.
pub fn one_caller(size: Size) -> Scenario {
    let mut case = named("one caller, a hundred flows", size);
    case.streams.push(Stream {
        domain: Some(0),
        is_one_caller: true,
        users: 100,
        ..Stream::new(SAFE, 3_414.0 * size.scale, seconds(3.0), seconds(15.0))
    });
    case.faults = dead(0.5, 3.0, 15.0);
    case
}

/// Eight times the load for one second.
pub fn burst(size: Size) -> Scenario {
    let mut case = named("a burst of 1 s", size);
    case.multiply(&[SAFE, URGENT, BULK], 8.0, 3.0, 4.0);
    case
}

/// Five times the load, which exceeds the capacity, and ends.
pub fn pressure_ends(size: Size) -> Scenario {
    let mut case = named("pressure that ends", size);
    case.multiply(&[SAFE, URGENT, BULK], 5.0, 3.0, 9.0);
    case
}

/// Three times the load and slow targets, with half of the load reports lost.
pub fn reports_lost(size: Size) -> Scenario {
    let mut case = all_classes_heavy(size);
    case.name = "half of the reports lost".into();
    case.exchange.loss = 0.5;
    case
}

/// The same, with reports of which both ways together take 1 s.
pub fn reports_stale(size: Size) -> Scenario {
    let mut case = all_classes_heavy(size);
    case.name = "reports 1 s old".into();
    case.exchange.delay = Millis(500);
    case
}

/// The same, with a tenth of the instances cut off from the exchange.
pub fn exchange_cut(size: Size) -> Scenario {
    let mut case = all_classes_heavy(size);
    case.name = "a tenth of the instances cut off".into();
    case.faults
        .push((seconds(2.0), Fault::CutExchange { share: 0.1 }));
    case
}

/// The same, while a quarter of the instances leave and others join.
pub fn instances_change(size: Size) -> Scenario {
    let mut case = all_classes_heavy(size);
    case.name = "instances leave and join".into();
    let count = size.instances.div_ceil(4);
    case.faults.push((seconds(6.0), Fault::Leave { count }));
    case.faults.push((seconds(9.0), Fault::Join { count }));
    case
}

/// All callers ask within 200 ms of the start of all instances, then at the usual rate.
pub fn all_return(size: Size) -> Scenario {
    let mut case = named("all callers return at once", size);
    let returning = case.streams.iter().map(|stream| {
        let rate_per_s = stream.users as f64 / 0.2;
        Stream::new(stream.class, rate_per_s, seconds(0.0), seconds(0.2))
    });
    let returning: Vec<Stream> = returning.collect();
    case.streams.extend(returning);
    case
}

/// Targets of different speeds with 70% of the load that they can process.
pub fn unequal_speeds(size: Size) -> Scenario {
    at_70_percent("speeds 0.7, 0.7, 1.7 at 70%", &[0.7, 0.7, 1.7], size)
}

/// Equal targets with 70% of the load that they can process.
pub fn equal_speeds(size: Size) -> Scenario {
    at_70_percent("equal speeds at 70%", &[1.0], size)
}

fn at_70_percent(name: &str, speeds: &[f64], size: Size) -> Scenario {
    let mut case = named(name, size);
    let per_domain = case.targets[0] / case.domain_shares.len();
    let sum: f64 = speeds.iter().cycle().take(per_domain).sum();
    let mean_speed = sum / per_domain as f64;
    case.speeds[0] = speeds.to_vec();
    at_load(&mut case, 0.7 * mean_speed);
    case
}

/// Three times the load and slow targets, with uneven shares of traffic.
pub fn uneven_fleet(size: Size) -> Scenario {
    let mut case = all_classes_heavy(size);
    case.name = format_smolstr!("{} instances, uneven", size.instances);
    case.domain_shares = [0.45, 0.3, 0.25][..case.domain_shares.len()].to_vec();
    case.instance_weights = vec![4.0, 1.0, 2.0, 1.0];
    case
}

/// One failure domain has twice the callers of each other one until 3 s before the end, and all targets
/// together have 70% of the load that they can process. Its callers alone need 1.05 times what its own
/// targets can do.
pub fn one_domain_heavy(size: Size) -> Scenario {
    let mut case = named("a domain with twice the callers, 70%", size);
    at_load(&mut case, 0.75 * 0.7);
    let further = case.streams.iter().map(|stream| Stream {
        domain: Some(0),
        ..Stream::new(
            stream.class,
            stream.rate_per_s / 3.0,
            seconds(3.0),
            seconds(DURATION_S - 3.0),
        )
    });
    let further: Vec<Stream> = further.collect();
    case.streams.extend(further);
    case
}

/// Sets the load of the first service's targets, as a part of their slots at speed 1, from that of
/// calm runs.
fn at_load(case: &mut Scenario, load: f64) {
    // The usual load of the first service takes 62.4 of 240 slots.
    let factor = load * 240.0 / 62.4;
    let streams = case.streams.iter().map(|stream| {
        let rate_per_s = stream.rate_per_s * factor;
        Stream::new(stream.class, rate_per_s, stream.from, stream.until)
    });
    case.streams = streams.collect();
}

/// Sizes of the fleet that [`uneven_fleet`] is run with.
pub const FLEETS: [usize; 4] = [2, 8, 80, 300];

/// Returns the ways of placing that the core can be set to, to be compared side by side.
pub fn ways() -> Vec<(&'static str, Settings)> {
    vec![("Sample by expected time", Settings::default())]
}

/// Returns all cases.
pub fn all(size: Size) -> Vec<Scenario> {
    let cases = [
        calm,
        one_class_heavy,
        all_classes_heavy,
        half_slow,
        half_dead,
        domain_cut_off,
        one_caller,
        burst,
        pressure_ends,
        reports_lost,
        reports_stale,
        exchange_cut,
        instances_change,
        all_return,
        unequal_speeds,
        one_domain_heavy,
        equal_speeds,
    ];
    let fleets = FLEETS.iter().map(|instances| {
        uneven_fleet(Size {
            instances: *instances,
            ..size
        })
    });
    cases.iter().map(|case| case(size)).chain(fleets).collect()
}

fn dead(share: f64, from_s: f64, until_s: f64) -> Vec<(ids::Micros, Fault)> {
    vec![
        (
            seconds(from_s),
            Fault::Dead {
                share,
                is_dead: true,
            },
        ),
        (
            seconds(until_s),
            Fault::Dead {
                share,
                is_dead: false,
            },
        ),
    ]
}

fn slow(share: f64, from_s: f64, until_s: f64) -> Vec<(ids::Micros, Fault)> {
    vec![
        (seconds(from_s), Fault::Speed { share, speed: 0.25 }),
        (seconds(until_s), Fault::Speed { share, speed: 1.0 }),
    ]
}
