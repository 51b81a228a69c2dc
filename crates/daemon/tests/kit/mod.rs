//! Views, sockets and processes for tests of the daemon.

#![allow(dead_code)]

pub mod instance;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use balance::view::{Candidate, Epoch, PeerView, TargetSet, TargetView, View};
use conf::{Document, document};
use ids::Micros;
use wire::frame::{Frame, MAX_FRAME_BYTES};
use wire::token::TargetId;

/// Limit for every wait, long enough for slow machines; a test that reaches it has failed.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Binds a socket to a free port.
pub fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket
        .set_read_timeout(Some(TIMEOUT))
        .expect("a timeout above zero");
    socket
}

/// Sends a frame.
pub fn send(socket: &UdpSocket, to: SocketAddr, frame: &Frame) {
    let datagram = frame.to_datagram().expect("a short frame");
    socket.send_to(&datagram, to).expect("loopback takes it");
}

/// Receives a frame and its sender.
pub fn receive(socket: &UdpSocket) -> (Frame, SocketAddr) {
    let mut buffer = [0; MAX_FRAME_BYTES];
    let (len, from) = socket.recv_from(&mut buffer).expect("a datagram in time");
    let frame = Frame::from_datagram(&buffer[..len]).expect("a frame");
    (frame, from)
}

/// Returns a document with the service `rates` and its target `r1`.
pub fn one_target(address: SocketAddr) -> Document {
    let text = format!(
        "[document]\nversion = 1\npreset = ordinary\n[preset.ordinary]\n[preset.peak]\n\
         [preset.maintenance]\n[service.rates]\n[class.rates.lookup]\nshare = 500\n\
         [target.rates.r1]\ndomain = a\naddress = {address}\n"
    );
    document::parse("test.ini", &text).expect("a valid document")
}

/// Returns a document with the service `rates` and its targets `r1` and `r2`.
pub fn two_targets(first: SocketAddr, second: SocketAddr) -> Document {
    let text = format!(
        "[document]\nversion = 1\npreset = ordinary\n[preset.ordinary]\n[preset.peak]\n\
         [preset.maintenance]\n[service.rates]\n[class.rates.lookup]\nshare = 500\n\
         [target.rates.r1]\ndomain = a\naddress = {first}\n\
         [target.rates.r2]\ndomain = a\naddress = {second}\n"
    );
    document::parse("test.ini", &text).expect("a valid document")
}

/// Asserts that no datagram waits at a socket.
pub fn assert_nothing_waits(socket: &UdpSocket) {
    socket.set_nonblocking(true).expect("a socket");
    let received = socket.recv_from(&mut [0; MAX_FRAME_BYTES]);
    socket.set_nonblocking(false).expect("a socket");
    let error = received.expect_err("no datagram");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

/// Returns the view of a document for a group of one instance.
pub fn view(document: Document, peer: SocketAddr) -> Arc<View> {
    let name: ids::InstanceName = "a1".parse().expect("a name");
    let domain: ids::DomainName = "a".parse().expect("a name");
    let mut view = View {
        instance: name.clone(),
        domain: domain.clone(),
        targets: Default::default(),
        target_sets: Default::default(),
        epochs: vec![Epoch {
            since: Micros(0),
            peers: vec![PeerView::new(name, domain.clone(), peer)],
            leaving: Vec::new(),
            is_complete: true,
            listed_domains: vec![domain],
        }],
        may_own: true,
        document: Arc::new(document.clone()),
    };
    for (service, declared) in document.services {
        let mut candidates = Vec::new();
        for (name, target) in declared.targets {
            let id = TargetId::new(&service, &name);
            candidates.push(Candidate {
                target: id,
                domain: target.domain.clone(),
                weight: target.weight.0,
            });
            let known = TargetView {
                service: service.clone(),
                name,
                declared: target,
                accepts_new: true,
                ramp_permille: 1_000,
                peers_in_flight: 0,
                peers_flows: 0,
            };
            view.targets.insert(id, known);
        }
        let since = Micros(0);
        let set = Arc::new(TargetSet { candidates, since });
        view.target_sets.insert(service, vec![set]);
    }
    Arc::new(view)
}
