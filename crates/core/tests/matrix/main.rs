//! Fault matrix: injects every fault at every step and checks every invariant.
//!
//! See section 14 of docs/design.md for the faults and steps, and docs/PROOFS.md for what the
//! matrix does not cover.

#![allow(clippy::expect_used, clippy::panic)]

mod caller;
mod cell;
mod check;
mod document;
mod instance;
mod platform;
mod simulation;
mod target;

use cell::{Fault, Step, run};

macro_rules! matrix {
    ($($step_name:ident = $step:expr;)*) => {$(
        #[yare::parameterized(
            nothing = { Fault::Nothing },
            instance_killed = { Fault::InstanceKilled },
            instance_joined = { Fault::InstanceJoined },
            instance_stopped = { Fault::InstanceStopped },
            instance_paused = { Fault::InstancePaused },
            instance_restarted = { Fault::InstanceRestarted },
            target_drained = { Fault::TargetDrained },
            target_drains_itself = { Fault::TargetDrainsItself },
            target_killed = { Fault::TargetKilled },
            target_cold = { Fault::TargetCold },
            target_shedding = { Fault::TargetShedding },
            platform_down = { Fault::PlatformDown },
            platform_stale = { Fault::PlatformStale },
            two_documents = { Fault::TwoDocuments },
            uneven_arrival = { Fault::UnevenArrival },
            operator_race = { Fault::OperatorRace },
            domain_cut = { Fault::DomainCut },
            domain_cut_from_platform = { Fault::DomainCutFromPlatform },
            silent_path = { Fault::SilentPath },
            upload_flood = { Fault::UploadFlood },
            lookup_flood = { Fault::LookupFlood },
            drain_and_kill = { Fault::DrainAndKill },
            join_and_drain = { Fault::JoinAndDrain },
            pause_and_publish = { Fault::PauseAndPublish },
            kill_twice = { Fault::KillTwice },
        )]
        fn $step_name(fault: Fault) {
            run(fault, $step);
        }
    )*};
}

matrix! {
    at_open = Step::Open;
    at_first_packet = Step::FirstPacket;
    mid_flow = Step::MidFlow;
    request_sent = Step::RequestSent;
    answer_under_way = Step::AnswerUnderWay;
    at_cancel = Step::Cancel;
    at_hand_over = Step::HandOver;
    configuration_accepted = Step::ConfigurationAccepted;
    preset_switched = Step::PresetSwitched;
}
