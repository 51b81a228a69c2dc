//! Decoders face arbitrary bytes from the network.

#![allow(clippy::expect_used)]

use proptest::prelude::*;
use wire::frame::{Frame, Kind, MAX_FRAME_BYTES};
use wire::peer::{Body, Heartbeat, PeerMessage};
use wire::seal::Keys;
use wire::token::{self, TargetId};

proptest! {
    /// Guards against a panic on hostile input.
    #[test]
    fn frame_decoder_accepts_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = Frame::from_datagram(&bytes);
    }

    /// Guards against a stranger's peer message being decoded at all.
    #[test]
    fn unsealed_peer_message_is_refused(bytes in prop::collection::vec(any::<u8>(), 0..2100)) {
        prop_assert!(PeerMessage::from_datagram(&Keys::new("k", None), &bytes).is_err());
    }

    /// Guards against a caller that points its flow at another target by editing the token.
    #[test]
    fn edited_token_is_refused(byte in 0_usize..24, flip in 1_u8..) {
        let keys = Keys::new("k", None);
        let mut sealed = token::seal(&keys, "rates", 7, TargetId(9));
        sealed[byte] ^= flip;
        prop_assert!(token::open(&keys, "rates", 7, &sealed).is_err());
    }
}

#[test]
fn token_is_bound_to_flow_and_service() {
    let keys = Keys::new("k", None);
    let sealed = token::seal(&keys, "rates", 7, TargetId(9));
    assert_eq!(token::open(&keys, "rates", 7, &sealed), Ok(TargetId(9)));
    assert!(token::open(&keys, "rates", 8, &sealed).is_err());
    assert!(token::open(&keys, "submissions", 7, &sealed).is_err());
}

/// Guards against a fleet that splits while its key is changed instance by instance.
#[test]
fn both_keys_are_accepted_during_a_rotation() {
    let message = PeerMessage {
        from: "a".to_owned(),
        incarnation: 1,
        body: Some(Body::Heartbeat(Heartbeat::default())),
    };
    let old = Keys::new("old", Some("new"));
    let new = Keys::new("new", Some("old"));
    let sealed = message.to_datagram(&old).expect("small message");
    assert_eq!(
        PeerMessage::from_datagram(&new, &sealed),
        Ok(message.clone())
    );
    assert!(PeerMessage::from_datagram(&Keys::new("new", None), &sealed).is_err());
}

#[yare::parameterized(
    unknown_kind = { Frame { service: "rates".into(), ..Frame::default() } },
    no_service = { Frame { flow: 1, ..Frame::new(Kind::Open) } },
    no_flow = { Frame { service: "rates".into(), ..Frame::new(Kind::Open) } },
    no_request = { Frame { service: "rates".into(), ..Frame::new(Kind::Request) } },
    long_name = { Frame { service: "r".repeat(65), flow: 1, ..Frame::new(Kind::Open) } },
)]
fn frame_outside_the_contract_is_refused(frame: Frame) {
    let datagram = frame.to_datagram().expect("fits a datagram");
    assert!(Frame::from_datagram(&datagram).is_err());
}

#[test]
fn oversize_frame_is_not_sent() {
    let frame = Frame {
        body: vec![0; MAX_FRAME_BYTES],
        ..Frame::new(Kind::Data)
    };
    assert!(frame.to_datagram().is_err());
}
