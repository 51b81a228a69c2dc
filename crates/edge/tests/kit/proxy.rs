//! A TCP proxy on loopback that harms connections from outside.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Delay of every piece of data in [`Harm::Delayed`]; twice it is still within an answer's limit.
const DELAY: Duration = Duration::from_millis(120);

/// Interval at which a harmed connection looks whether it is to go on.
const PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    None,
    Delayed,
    /// Connections are closed at once, old and new.
    Reset,
    /// Nothing passes; connections stay open and are silent for good afterwards.
    Silent,
    /// Requests pass and answers do not, for good afterwards.
    OneWay,
}

#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

impl Proxy {
    pub async fn start(address: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let proxy = Self {
            address,
            harm: Arc::new(Mutex::new(Harm::None)),
        };
        let harm = proxy.harm.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if let Ok(far) = TcpStream::connect(to).await {
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    tokio::spawn(pass(near_read, far_write, harm.clone(), false));
                    tokio::spawn(pass(far_read, near_write, harm.clone(), true));
                }
            }
        });
        proxy
    }

    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap() = harm;
    }
}

/// Passes one direction of a connection until it ends or is lost for good.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: Arc<Mutex<Harm>>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = tokio::time::timeout(PAUSE, from.read(&mut buffer)).await;
        let now = *harm.lock().unwrap();
        let is_lost = now == Harm::Silent || now == Harm::OneWay && is_answer;
        if now == Harm::Reset {
            return;
        }
        if is_lost {
            // The ends stay open, so that neither side learns of it.
            std::future::pending::<()>().await;
        }
        let length = match read {
            Err(_) => continue,
            Ok(Ok(length)) if length > 0 => length,
            Ok(_) => return,
        };
        if now == Harm::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
