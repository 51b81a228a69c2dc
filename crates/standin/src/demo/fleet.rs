//! Starts, queries and stops the processes of a demonstration.

use std::path::PathBuf;
use std::time::Duration;

use reqwest::Client;
use tokio::process::Child;
use tokio::time::Instant;

use super::invariants::{RunRecords, TargetRecord};
use super::layout::{DOMAINS, InstancePlan, Layout};
use super::process;
use crate::{Error, Result};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Wait after all instances are ready. Instances hold back non-idempotent requests for 1.5 s after
/// each view change, and this startup delay must not distort the measured latencies.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) layout: Layout,
    pub(super) values: PathBuf,
    pub(super) client: Client,
    /// Instances in the order of the layout; `None` after an instance was stopped or killed.
    pub(super) instances: Vec<Option<Child>>,
    program_directory: PathBuf,
    run_directory: PathBuf,
    /// Platform, targets and fabric; they are killed when the fleet is dropped.
    support_processes: Vec<Child>,
}

fn to_arguments(pairs: &[(&str, String)]) -> Vec<String> {
    let pairs = pairs.iter();
    pairs
        .flat_map(|(name, value)| [format!("--{name}"), value.clone()])
        .collect()
}

impl Fleet {
    pub(super) async fn start(
        layout: Layout,
        seed: u64,
        program_directory: PathBuf,
        run_directory: PathBuf,
    ) -> Result<Self> {
        let values = run_directory.join("values");
        layout.write_instance_list(&values)?;
        layout.publish_document(&values, 1, "ordinary", None)?;
        let client = Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(5))
            .build()
            .map_err(|error| Error::failed("creating the HTTP client", error))?;
        let mut fleet = Self {
            layout,
            values,
            client,
            instances: Vec::new(),
            program_directory,
            run_directory,
            support_processes: Vec::new(),
        };
        fleet.start_support_processes(seed)?;
        for instance in fleet.layout.instances.clone() {
            let child = fleet.start_instance(&instance)?;
            fleet.instances.push(Some(child));
        }
        fleet.wait_until_ready().await?;
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(fleet)
    }

    fn start_support_processes(&mut self, seed: u64) -> Result<()> {
        let layout = self.layout.clone();
        let platform = to_arguments(&[
            ("listen", layout.platform_address.to_string()),
            ("values", self.values.display().to_string()),
        ]);
        self.start_support_process("standin-platform", "platform", &platform)?;
        for target in &layout.targets {
            let arguments = to_arguments(&[
                ("service", target.service.to_owned()),
                ("name", target.name.clone()),
                ("listen", target.frame_address.to_string()),
                ("http", target.http_address.to_string()),
            ]);
            self.start_support_process("standin-target", &target.name, &arguments)?;
        }
        let mut fabric = to_arguments(&[
            ("listen", layout.fabric_address.to_string()),
            ("http", layout.fabric_http_address.to_string()),
            ("seed", seed.to_string()),
        ]);
        for instance in &layout.instances {
            let entry = format!(
                "{}@{}@{}",
                instance.frame_address, instance.http_address, instance.domain
            );
            fabric.extend(to_arguments(&[("instance", entry)]));
        }
        self.start_support_process("standin-fabric", "fabric", &fabric)
    }

    fn start_support_process(
        &mut self,
        program: &str,
        name: &str,
        arguments: &[String],
    ) -> Result<()> {
        let log = self.run_directory.join(format!("{name}.log"));
        let child = process::start_logged(&self.program_directory.join(program), arguments, &log)?;
        self.support_processes.push(child);
        Ok(())
    }

    fn start_instance(&self, instance: &InstancePlan) -> Result<Child> {
        self.layout.write_settings(instance, &self.run_directory)?;
        let settings = self.run_directory.join(format!("{}.ini", instance.name));
        let arguments = to_arguments(&[("settings", settings.display().to_string())]);
        let log = self.run_directory.join(format!("{}.log", instance.name));
        process::start_logged(&self.program_directory.join("pollenpind"), &arguments, &log)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for instance in &self.layout.instances {
            let url = format!("http://{}/ready", instance.http_address);
            while !self.responds_ok(&url).await {
                if Instant::now() > deadline {
                    let step = format!("waiting for instance {}", instance.name);
                    return Err(Error::failed(step, "not ready before the timeout"));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        // The fabric sends nothing to instances that it has not yet seen as ready.
        while self.count_ready_at_fabric().await != self.layout.instances.len() {
            if Instant::now() > deadline {
                return Err(Error::failed(
                    "waiting for the fabric",
                    "not all instances were seen as ready before the timeout",
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn count_ready_at_fabric(&self) -> usize {
        let url = format!("http://{}/live", self.layout.fabric_http_address);
        let Ok(response) = self.client.get(url).send().await else {
            return 0;
        };
        let text = response.text().await.unwrap_or_default();
        text.parse().unwrap_or(0)
    }

    async fn responds_ok(&self, url: &str) -> bool {
        let response = self.client.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    pub(super) fn start_callers(
        &self,
        seed: u64,
        scale: u64,
        duration: Duration,
    ) -> Result<Vec<Child>> {
        let user = format!("{:?}", self.layout.user).to_lowercase();
        let program = self.program_directory.join("standin-caller");
        let start = |(index, domain): (usize, &&str)| {
            let arguments = to_arguments(&[
                ("fabric", self.layout.fabric_address.to_string()),
                ("user", user.clone()),
                ("domain", (*domain).to_owned()),
                ("duration", format!("{}ms", duration.as_millis())),
                ("seed", (seed * 100 + index as u64).to_string()),
                ("scale", scale.to_string()),
            ]);
            process::start_piped(&program, &arguments)
        };
        DOMAINS.iter().enumerate().map(start).collect()
    }

    /// Reads the record of one target.
    pub(super) async fn read_record(&self, index: usize) -> Result<TargetRecord> {
        let target = &self.layout.targets[index];
        let step = format!("reading the record of {}", target.name);
        let failed = |error: reqwest::Error| Error::failed(step.clone(), error);
        let url = format!("http://{}/record", target.http_address);
        let response = self.client.get(url).send().await.map_err(failed)?;
        Ok(TargetRecord {
            service: target.service.to_owned(),
            name: target.name.clone(),
            record: response.json().await.map_err(failed)?,
        })
    }

    pub(super) async fn read_records(&self) -> Result<RunRecords> {
        let mut records = Vec::new();
        for index in 0..self.layout.targets.len() {
            records.push(self.read_record(index).await?);
        }
        let url = format!("http://{}/calls", self.layout.platform_address);
        let failed = |error: reqwest::Error| Error::failed("reading the platform's calls", error);
        let response = self.client.get(url).send().await.map_err(failed)?;
        Ok(RunRecords {
            targets: records,
            calls: response.json().await.map_err(failed)?,
        })
    }

    /// Reads a metric of an instance; `None` if the instance does not respond or lacks the metric.
    pub(super) async fn read_metric(&self, index: usize, name: &str) -> Option<f64> {
        let url = format!(
            "http://{}/metrics",
            self.layout.instances[index].http_address
        );
        let text = self.client.get(url).send().await.ok()?.text().await.ok()?;
        let mut lines = text.lines();
        lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Stops an instance gracefully and returns its exit code.
    pub(super) async fn stop_instance(&mut self, index: usize) -> Result<Option<i32>> {
        let Some(mut child) = self.instances[index].take() else {
            return Ok(None);
        };
        process::send_signal(&child, "TERM").await?;
        let step = format!("stopping {}", self.layout.instances[index].name);
        match tokio::time::timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(status) => Ok(status.map_err(Error::io(step))?.code()),
            Err(_) => Err(Error::failed(
                step,
                "the process did not exit before the timeout",
            )),
        }
    }

    /// Kills every process of the fleet.
    pub(super) async fn kill_all(mut self) -> Result<()> {
        let instances = self.instances.iter_mut().flatten();
        for child in instances.chain(self.support_processes.iter_mut()) {
            child.kill().await.map_err(Error::io("killing a process"))?;
        }
        Ok(())
    }
}
