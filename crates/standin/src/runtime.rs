//! Startup code that the programs share: async runtime, UDP sockets and HTTP servers.

use std::net::SocketAddr;
use std::process::ExitCode;

use tokio::net::{TcpListener, UdpSocket};

use crate::{Error, Result};

/// Runs a program to completion and converts its result into an exit code.
pub fn run_program(program: impl Future<Output = Result<()>>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&Error::io("starting the runtime")(error)),
    };
    match runtime.block_on(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

fn report_failure(error: &Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}

/// Binds a non-blocking UDP socket.
pub fn bind_udp(address: SocketAddr) -> Result<UdpSocket> {
    let step = || format!("binding UDP {address}");
    let socket = std::net::UdpSocket::bind(address).map_err(Error::io(step()))?;
    socket.set_nonblocking(true).map_err(Error::io(step()))?;
    UdpSocket::from_std(socket).map_err(Error::io(step()))
}

/// Serves HTTP until an I/O error occurs.
pub async fn serve_http(address: SocketAddr, router: axum::Router) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(Error::io(format!("binding HTTP {address}")))?;
    axum::serve(listener, router)
        .await
        .map_err(Error::io(format!("serving HTTP {address}")))
}
