//! Conversion of the daemon's settings to those of the decision core.

use balance::control::{ControlSettings, Identity};
use balance::flow::FlowSettings;
use balance::membership::MembershipSettings;
use balance::request::RequestSettings;
use balance::rollout::RolloutSettings;
use balance::shard::ShardSettings;
use conf::Settings;
use ids::Millis;

use crate::clock::Clock;

/// Returns the number of shards; zero in the settings means one per CPU core.
pub(crate) fn shard_count(settings: &Settings) -> usize {
    match settings.limits.shards {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        count => count as usize,
    }
}

pub(crate) fn shard_settings(settings: &Settings, shards: usize) -> ShardSettings {
    let limits = &settings.limits;
    ShardSettings {
        flow: FlowSettings {
            idle_timeout_ms: limits.idle_timeout_ms,
            silence_timeout_ms: limits.silence_timeout_ms,
            capacity_flows: (limits.max_flows as usize).div_ceil(shards),
            ..FlowSettings::default()
        },
        request: RequestSettings {
            fence_ms: limits.fence_ms,
            lease_ms: limits.lease_ms,
            max_deadline_ms: limits.max_deadline_ms,
            max_cached_answer_bytes: limits.max_cached_answer_bytes.0 as usize / shards,
            ..RequestSettings::default()
        },
    }
}

pub(crate) fn identity(settings: &Settings, clock: &Clock) -> Identity {
    Identity {
        name: settings.instance.name.clone(),
        domain: settings.instance.domain.clone(),
        group: settings.instance.group.clone(),
        incarnation: clock.incarnation(),
        peer_address: settings.listen.peer,
        grpc_address: settings.listen.grpc,
    }
}

pub(crate) fn control_settings(settings: &Settings) -> ControlSettings {
    let (limits, platform) = (&settings.limits, &settings.platform);
    ControlSettings {
        membership: MembershipSettings {
            heartbeat_interval_ms: limits.heartbeat_interval_ms,
            suspect_after_ms: limits.suspect_after_ms,
            unreachable_after_ms: limits.unreachable_after_ms,
            lease_ms: limits.lease_ms,
            ..MembershipSettings::default()
        },
        rollout: RolloutSettings {
            call_burst: u64::from(platform.burst),
            call_interval_ms: Millis(1_000 / u64::from(platform.calls_per_second.0.max(1))),
            services: settings.instance.services.clone(),
            ..RolloutSettings::default()
        },
        seeds: settings.instance.seeds.clone(),
        flow_idle_ms: limits.idle_timeout_ms,
        ..ControlSettings::default()
    }
}
