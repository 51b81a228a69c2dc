//! A daemon process with its own configuration service.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use conf::{Document, packed};
use reqwest::StatusCode;
use standin::platform::Platform;
use standin::ports;
use tokio::process::{Child, Command};

use super::TIMEOUT;

/// A running `pollenpind` and the directory of its published values.
pub struct Instance {
    pub child: Child,
    pub frames: SocketAddr,
    pub http: SocketAddr,
    peer: SocketAddr,
    grpc: SocketAddr,
    values: PathBuf,
}

fn write_file(directory: &Path, name: &str, text: &str) {
    std::fs::create_dir_all(directory).expect("a writable directory");
    let temporary = directory.join(format!(".{name}.tmp"));
    std::fs::write(&temporary, text).expect("a writable directory");
    std::fs::rename(&temporary, directory.join(name)).expect("one file system");
}

fn spawn_daemon(directory: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_pollenpind"))
        .arg("--settings")
        .arg(directory.join("settings.ini"))
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the program runs")
}

impl Instance {
    /// Starts a daemon without a published document.
    pub async fn start(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = std::fs::remove_dir_all(&directory);
        let values = directory.join("values");
        let platform = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port");
        let platform_address = platform.local_addr().expect("a bound socket");
        tokio::spawn(async move { axum::serve(platform, Platform::new(values).router()).await });
        let [frames, peer, grpc, http] =
            std::array::from_fn(|_| ports::find_free().expect("a free port"));
        let settings = format!(
            "[instance]\nname = a1\ndomain = a\ngroup = g\n[listen]\ncaller = {frames}\n\
             peer = {peer}\ngrpc = {grpc}\nhttp = {http}\n[platform]\naddress = {platform_address}\n\
             [secret]\nkey = 0123456789abcdef\n[limits]\nshards = 2\n"
        );
        write_file(&directory, "settings.ini", &settings);
        let list =
            format!("[instance.a1]\ndomain = a\npeer = {peer}\ngrpc = {grpc}\nstate = live\n");
        let values = directory.join("values");
        write_file(&values.join("instances"), "g", &list);
        Self {
            child: spawn_daemon(&directory),
            frames,
            http,
            peer,
            grpc,
            values,
        }
    }

    /// Starts a second daemon of the group, with this one as its seed and with an unreachable
    /// configuration service.
    pub fn start_seeded(&self, test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let [frames, peer, grpc, http, unused] =
            std::array::from_fn(|_| ports::find_free().expect("a free port"));
        let settings = format!(
            "[instance]\nname = a2\ndomain = a\ngroup = g\nseeds = a1/a/{}/{}\n\
             [listen]\ncaller = {frames}\npeer = {peer}\ngrpc = {grpc}\nhttp = {http}\n\
             [platform]\naddress = {unused}\n[secret]\nkey = 0123456789abcdef\n",
            self.peer, self.grpc
        );
        write_file(&directory, "settings.ini", &settings);
        Self {
            child: spawn_daemon(&directory),
            frames,
            http,
            peer,
            grpc,
            values: self.values.clone(),
        }
    }

    /// Publishes a document; the root is written after its parts.
    pub fn publish(&self, document: &Document) {
        let packed = packed::pack(document, None).expect("a small document");
        for (hash, value) in &packed.values {
            write_file(&self.values.join("part"), &hash.to_string(), value);
        }
        write_file(&self.values, "root", &packed.root);
    }

    /// Requests an endpoint; returns `None` while the daemon does not listen.
    pub async fn get(&self, path: &str) -> Option<(StatusCode, String)> {
        let answer = reqwest::get(format!("http://{}{path}", self.http))
            .await
            .ok()?;
        let status = answer.status();
        Some((status, answer.text().await.ok()?))
    }

    /// Waits until an endpoint responds with the expected status.
    pub async fn wait_for(&self, path: &str, expected: StatusCode) {
        let wait = async {
            while self.get(path).await.map(|(status, _)| status) != Some(expected) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, wait).await;
        assert!(
            waited.is_ok(),
            "{path} did not respond with {expected} in time"
        );
    }

    /// Sends SIGTERM to the daemon.
    pub async fn terminate(&self) {
        let id = self.child.id().expect("the daemon runs").to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().await;
        assert!(status.expect("kill runs").success());
    }
}
