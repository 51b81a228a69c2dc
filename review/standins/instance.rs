//! Processes of the system, started with the command of deploy/system.toml.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::Duration;

use crate::net::Net;

/// `run` of the role in deploy/system.toml.
const PROGRAM: &str = "target/release/pollenpin-edge";

/// `grace-s` of the settings.
const GRACE_S: u32 = 6;

pub struct Instance {
    process: Child,
    pub host: Ipv4Addr,
    net: Net,
}

impl Instance {
    /// Starts the process with the settings of the small deployments.
    pub fn start(
        net: Net,
        folder: &Path,
        last: u8,
        zone: &str,
        zones: &[&str],
        seeds: &[u8],
    ) -> Self {
        let host = net.host(last);
        let file = folder.join(format!("node-{last}.toml"));
        fs::write(&file, settings(net, host, zone, zones, seeds)).unwrap();
        let log: PathBuf = folder.join(format!("log-{last}"));
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("POLLENPIN_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(File::create(&log).unwrap())
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("{PROGRAM}: {error}");
                std::process::exit(2);
            });
        Self { process, host, net }
    }

    pub fn data_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.host, self.net.ports.data)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddrV4::new(self.host, self.net.ports.ready);
        let Ok(mut stream) =
            TcpStream::connect_timeout(&address.into(), Duration::from_millis(400))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
        let request =
            format!("GET /v1/ready HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
        let mut head = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut head).is_ok()
            && head.ends_with(b" 200")
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after `grace-s`.
    pub fn stop(&mut self) {
        let id = self.process.id().to_string();
        // If it cannot be sent, the process is killed below.
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        for _ in 0..GRACE_S * 100 {
            if !self.is_running() {
                return;
            }
            sleep(Duration::from_millis(10));
        }
        let _ = self.process.kill();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Settings as DEPLOY.md shows them.
fn settings(net: Net, host: Ipv4Addr, zone: &str, zones: &[&str], seeds: &[u8]) -> String {
    let ports = net.ports;
    let seeds: Vec<String> = seeds
        .iter()
        .map(|last| format!("\"{}:{}\"", net.host(*last), ports.control))
        .collect();
    let zones: Vec<String> = zones
        .iter()
        .map(|name| format!("{name} = \"cz-morava\""))
        .collect();
    format!(
        r#"node = "front-{zone}-1"
role = "edge"
class = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "cz-morava"
internal-ports = [{internal},{internal}]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "announce"
heartbeat-ms = 770
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "steady"
mode = "echo"
[zones]
{zones}
[listen]
data-addr = "{host}:{data}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-limit-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 4000
ack-ms = 5000
sync-s = 4
drain-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-deadline-ms = 3000
revert-slack-ms = 250
skew-max-ms = 12000
recover-s = 12
reorder-ms = 2000
flow-ttl-s = 60
[platform]
addr = "{store_host}:{store}"
mode = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"#,
        internal = ports.internal,
        data = ports.data,
        ready = ports.ready,
        control = ports.control,
        store = ports.store,
        store_host = net.host(1),
        seeds = seeds.join(","),
        zones = zones.join("\n"),
    )
}
