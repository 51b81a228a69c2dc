//! Injects one fault in the middle of a run.

use std::time::Duration;

use clap::ValueEnum;
use tokio::time::{Instant, sleep};

use super::fleet::Fleet;
use super::invariants::Violation;
use super::process;
use crate::{Error, Result};

/// Time within which a published document must be active on every instance.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a draining target must not receive new flows or requests.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Duration of a pause. It exceeds the time after which peers remove an instance from their view.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// Fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// No fault.
    None,
    /// An instance is stopped gracefully.
    Stop,
    /// An instance is killed.
    Kill,
    /// A target is drained by a new document.
    Drain,
    /// Two documents are published in quick succession.
    Publish,
    /// An instance is paused and resumed.
    Freeze,
    /// The configuration service becomes unavailable.
    PlatformDown,
}

/// Injects the fault halfway through the load and returns the violations that it caused.
pub(super) async fn inject(
    fault: Fault,
    fleet: &mut Fleet,
    duration: Duration,
) -> Result<Vec<Violation>> {
    sleep(duration / 2).await;
    match fault {
        Fault::None => Ok(Vec::new()),
        Fault::Stop => stop_instance(fleet).await,
        Fault::Kill => kill_instance(fleet).await,
        Fault::Drain => drain_target(fleet, duration / 2).await,
        Fault::Publish => publish_two_documents(fleet).await,
        Fault::Freeze => pause_instance(fleet).await,
        Fault::PlatformDown => stop_platform(fleet).await,
    }
}

async fn stop_instance(fleet: &mut Fleet) -> Result<Vec<Violation>> {
    let started = Instant::now();
    let code = fleet.stop_instance(0).await?;
    println!(
        "fault: instance stopped in {:.1} s with exit code {code:?}",
        started.elapsed().as_secs_f64()
    );
    let is_clean = code == Some(0);
    Ok(Violation::unless(is_clean, "graceful-stop", || {
        format!("exit code {code:?}")
    }))
}

async fn kill_instance(fleet: &mut Fleet) -> Result<Vec<Violation>> {
    if let Some(mut child) = fleet.instances[0].take() {
        child
            .kill()
            .await
            .map_err(Error::io("killing an instance"))?;
    }
    println!("fault: instance killed");
    Ok(Vec::new())
}

async fn drain_target(fleet: &mut Fleet, remaining: Duration) -> Result<Vec<Violation>> {
    let name = fleet.layout.targets[0].name.clone();
    fleet
        .layout
        .publish_document(&fleet.values, 2, "ordinary", Some(&name))?;
    sleep(DRAIN_GRACE_PERIOD).await;
    let before = fleet.read_record(0).await?.record;
    sleep(remaining.saturating_sub(DRAIN_GRACE_PERIOD)).await;
    let after = fleet.read_record(0).await?.record;
    let new_flows = after.flows_opened - before.flows_opened;
    let new_runs = after.runs.len() - before.runs.len();
    println!(
        "fault: target {name} drained; after 3 s it got {new_flows} flows, {new_runs} requests"
    );
    Ok(Violation::unless(
        new_flows == 0 && new_runs == 0,
        "drain",
        || format!("{name} got {new_flows} flows and {new_runs} requests after 3 s"),
    ))
}

async fn publish_two_documents(fleet: &mut Fleet) -> Result<Vec<Violation>> {
    fleet
        .layout
        .publish_document(&fleet.values, 2, "ordinary", None)?;
    fleet
        .layout
        .publish_document(&fleet.values, 3, "peak", None)?;
    let started = Instant::now();
    let mut pending: Vec<_> = (0..fleet.instances.len()).collect();
    while !pending.is_empty() && started.elapsed() < CONVERGENCE_TIMEOUT {
        let mut still_pending = Vec::new();
        for index in pending {
            if fleet
                .read_metric(index, "pollenpin_document_version ")
                .await
                != Some(3.0)
            {
                still_pending.push(index);
            }
        }
        pending = still_pending;
        sleep(Duration::from_millis(20)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "fault: two documents published; version 3 missing on {pending:?} after {seconds:.2} s"
    );
    Ok(Violation::unless(pending.is_empty(), "converge", || {
        format!("version 3 is not in force on instances {pending:?} after 5 s")
    }))
}

async fn pause_instance(fleet: &mut Fleet) -> Result<Vec<Violation>> {
    let Some(child) = &fleet.instances[0] else {
        return Ok(Vec::new());
    };
    process::send_signal(child, "STOP").await?;
    sleep(PAUSE_DURATION).await;
    process::send_signal(child, "CONT").await?;
    println!("fault: instance paused for {} s", PAUSE_DURATION.as_secs());
    Ok(Vec::new())
}

async fn stop_platform(fleet: &mut Fleet) -> Result<Vec<Violation>> {
    let url = format!("http://{}/control?mode=down", fleet.layout.platform_address);
    let response = fleet.client.post(url).send().await;
    response.map_err(|error| Error::failed("making the platform unavailable", error))?;
    println!("fault: platform down for the rest of the run");
    Ok(Vec::new())
}
