//! A `pollenpin-edge` process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use super::{LINK_MBPS, METRICS_PORT, PACKET_PORT, PEER_PORT, READY_PORT};

pub struct Instance {
    process: Child,
    started_at: Instant,
    host: Ipv4Addr,
    settings_file: PathBuf,
}

fn settings_file(host: Ipv4Addr) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("edge-{host}.toml"))
}

/// Removes the log of an earlier test run with the same addresses.
pub fn remove_log(host: Ipv4Addr) {
    // There is none in most cases.
    let _ = std::fs::remove_file(settings_file(host).with_extension("log"));
}

impl Instance {
    pub fn start(host: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr, link_mbps: u32) -> Self {
        Self::start_with_bounds(host, seeds, store, link_mbps, "")
    }

    /// Starts an instance with further lines in the section `bounds` of its settings.
    pub fn start_with_bounds(
        host: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        link_mbps: u32,
        bounds: &str,
    ) -> Self {
        let settings = settings_text(host, seeds, store, link_mbps).replacen(
            "[bounds]",
            &format!("[bounds]\n{bounds}"),
            1,
        );
        Self::start_with_settings(host, &settings)
    }

    fn start_with_settings(host: Ipv4Addr, settings: &str) -> Self {
        let settings_file = settings_file(host);
        std::fs::write(&settings_file, settings).unwrap();
        // The log is kept after the test, so that failures can be analyzed.
        let log = File::options()
            .append(true)
            .create(true)
            .open(settings_file.with_extension("log"))
            .unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_pollenpin-edge"))
            .arg("--settings")
            .arg(&settings_file)
            .stdout(log)
            .spawn()
            .unwrap();
        Self {
            process,
            started_at: Instant::now(),
            host,
            settings_file,
        }
    }

    /// Starts an instance in another failure domain than `a`.
    pub fn start_in_domain(
        host: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        domain: &str,
    ) -> Self {
        let mut settings = settings_text(host, seeds, store, LINK_MBPS);
        settings = settings.replacen("zone = \"a\"", &format!("zone = \"{domain}\""), 1);
        Self::start_with_settings(host, &settings)
    }

    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn packet_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.host, PACKET_PORT)
    }

    pub async fn get(&self, port: u16, path: &str) -> Option<(u16, String)> {
        let url = format!("http://{}:{port}{path}", self.host);
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let response = client.get(url).send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }

    pub async fn is_ready(&self) -> bool {
        matches!(self.get(READY_PORT, "/v1/ready").await, Some((200, _)))
    }

    pub async fn readiness_status(&self) -> Option<u16> {
        self.get(READY_PORT, "/v1/ready")
            .await
            .map(|(status, _)| status)
    }

    /// Returns the sum of all series of a metric.
    pub async fn metric_sum(&self, name: &str) -> f64 {
        let Some((_, text)) = self.get(METRICS_PORT, "/metrics").await else {
            return 0.0;
        };
        text.lines()
            .filter(|line| !line.starts_with('#'))
            .filter_map(|line| line.rsplit_once(' '))
            .filter(|(series, _)| {
                let metric = series.split('{').next().unwrap_or_default();
                metric == format!("pollenpin_edge_{name}")
            })
            .filter_map(|(_, value)| value.parse::<f64>().ok())
            .sum()
    }

    /// Returns whether the log of the instance has a line with this message.
    pub fn log_contains(&self, message: &str) -> bool {
        std::fs::read_to_string(self.settings_file.with_extension("log"))
            .unwrap()
            .contains(&format!("\"msg\":\"{message}\""))
    }

    pub fn send_signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.process.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.process
            .try_wait()
            .unwrap()
            .map(|status| status.code().unwrap_or(-1))
    }

    pub fn kill(&mut self) {
        // Fails if the process has exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl std::ops::Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

fn settings_text(host: Ipv4Addr, seeds: &[Ipv4Addr], store: SocketAddr, link_mbps: u32) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{seed}:{PEER_PORT}\""))
        .collect();
    format!(
        r#"
node = "edge-{host}"
zone = "a"
ip = "{host}"
seeds = [{}]
internal-ports = [{METRICS_PORT}, {METRICS_PORT}]
[listen]
data-addr = "{host}:{PACKET_PORT}"
ready = "{host}:{READY_PORT}"
control = "{host}:{PEER_PORT}"
[limits]
link-mbps = {link_mbps}
[bounds]
grace-s = 6
flow-ttl-s = 60
config-deadline-ms = 3000
drain-ms = 3000
[platform]
addr = "{store}"
"#,
        seeds.join(", ")
    )
}
