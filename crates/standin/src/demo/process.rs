//! Child processes of the demonstration. Signals go only to processes started here.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use tokio::process::{Child, Command};

use crate::load_result::LoadResult;
use crate::{Error, Result};

/// Returns the directory of the programs, and builds them first if the demo was started by cargo.
pub(super) async fn build_programs() -> Result<PathBuf> {
    let step = "finding the programs";
    let executable = std::env::current_exe().map_err(Error::io(step))?;
    let directory = executable
        .parent()
        .ok_or_else(|| Error::failed(step, "the executable has no parent directory"))?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut command = Command::new(cargo);
        command.args([
            "build", "--quiet", "--locked", "-p", "daemon", "-p", "standin", "--bins",
        ]);
        if !cfg!(debug_assertions) {
            command.arg("--release");
        }
        let status = command
            .status()
            .await
            .map_err(Error::io("building the programs"))?;
        if !status.success() {
            return Err(Error::failed("building the programs", status));
        }
    }
    Ok(directory.to_owned())
}

/// Starts a program with its output redirected to a log file.
pub(super) fn start_logged(program: &Path, arguments: &[String], log: &Path) -> Result<Child> {
    let step = || format!("starting {}", program.display());
    let output = File::create(log).map_err(Error::io(step()))?;
    let errors = output.try_clone().map_err(Error::io(step()))?;
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .kill_on_drop(true)
        .spawn()
        .map_err(Error::io(step()))
}

/// Starts a program with a piped standard output, to be read with [`collect_results`].
pub(super) fn start_piped(program: &Path, arguments: &[String]) -> Result<Child> {
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(Error::io(format!("starting {}", program.display())))
}

/// Waits for the callers to exit and merges their results.
pub(super) async fn collect_results(callers: Vec<Child>) -> Result<LoadResult> {
    let step = "reading a caller's result";
    let mut outputs = tokio::task::JoinSet::new();
    for caller in callers {
        outputs.spawn(caller.wait_with_output());
    }
    let mut total = LoadResult::default();
    for output in outputs.join_all().await {
        let output = output.map_err(Error::io(step))?;
        let result: LoadResult = serde_json::from_slice(&output.stdout)
            .map_err(|error| Error::failed(step, format!("{}: {error}", output.status)))?;
        total.merge(result);
    }
    Ok(total)
}

/// Sends a signal to a child process.
pub(super) async fn send_signal(child: &Child, name: &str) -> Result<()> {
    let step = format!("sending {name}");
    let Some(id) = child.id() else {
        return Err(Error::failed(step, "the process has already exited"));
    };
    let status = Command::new("kill")
        .args([format!("-{name}"), id.to_string()])
        .status()
        .await
        .map_err(Error::io(step.clone()))?;
    match status.success() {
        true => Ok(()),
        false => Err(Error::failed(step, status)),
    }
}
