//! TCP proxy on loopback that simulates network failures.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Delay of each chunk of data in [`Impairment::Delayed`]. Twice the delay is still within the
/// timeout of a store call.
const DELAY: Duration = Duration::from_millis(120);

/// Interval at which a connection checks for a change of the impairment.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Impairment {
    None,
    Delayed,
    /// All connections are closed immediately, including new ones.
    Reset,
    /// No data passes. Affected connections stay open but never recover.
    Blackhole,
    /// Requests pass but responses do not. Affected connections never recover.
    ResponsesLost,
}

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    impairment: Arc<Mutex<Impairment>>,
}

impl Proxy {
    pub async fn start(address: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let proxy = Self {
            address,
            impairment: Arc::new(Mutex::new(Impairment::None)),
        };
        let impairment = proxy.impairment.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if let Ok(upstream) = TcpStream::connect(to).await {
                    let (client_read, client_write) = client.into_split();
                    let (upstream_read, upstream_write) = upstream.into_split();
                    tokio::spawn(forward(
                        client_read,
                        upstream_write,
                        impairment.clone(),
                        false,
                    ));
                    tokio::spawn(forward(
                        upstream_read,
                        client_write,
                        impairment.clone(),
                        true,
                    ));
                }
            }
        });
        proxy
    }

    pub fn set_impairment(&self, impairment: Impairment) {
        *self.impairment.lock().unwrap() = impairment;
    }
}

/// Forwards one direction of a connection until it is closed or stops passing data.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    impairment: Arc<Mutex<Impairment>>,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::time::timeout(POLL_INTERVAL, from.read(&mut buffer)).await;
        let current = *impairment.lock().unwrap();
        let is_blackholed =
            current == Impairment::Blackhole || current == Impairment::ResponsesLost && is_response;
        if current == Impairment::Reset {
            return;
        }
        if is_blackholed {
            // Keep the sockets open, so that neither side notices.
            std::future::pending::<()>().await;
        }
        let length = match read {
            Err(_) => continue,
            Ok(Ok(length)) if length > 0 => length,
            Ok(_) => return,
        };
        if current == Impairment::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
