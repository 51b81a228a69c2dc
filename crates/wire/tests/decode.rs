//! Tests of decoding and authentication with valid, edited and arbitrary input.

#![allow(clippy::expect_used)]

use proptest::prelude::*;
use wire::frame::{Frame, Kind, MAX_FRAME_BYTES};
use wire::peer::{Body, Heartbeat, PeerMessage};
use wire::seal::Keys;
use wire::token::{self, TargetId};

proptest! {
    /// Guards against a panic on malformed input.
    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = Frame::from_datagram(&bytes);
    }

    /// Guards against decoding a peer message that has no valid tag.
    #[test]
    fn unsealed_peer_message_is_rejected(bytes in prop::collection::vec(any::<u8>(), 0..2100)) {
        prop_assert!(PeerMessage::from_datagram(&Keys::new("k", None), &bytes).is_err());
    }

    /// Guards against a caller that reaches another target by editing its token.
    #[test]
    fn edited_token_is_rejected(byte in 0_usize..24, flip in 1_u8..) {
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

/// Guards against instances that reject each other's messages while a key is rotated on one
/// instance after the other.
#[test]
fn both_keys_are_accepted_during_rotation() {
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
fn invalid_frame_is_rejected(frame: Frame) {
    let datagram = frame.to_datagram().expect("fits a datagram");
    assert!(Frame::from_datagram(&datagram).is_err());
}

#[test]
fn oversized_frame_is_not_encoded() {
    let frame = Frame {
        body: vec![0; MAX_FRAME_BYTES],
        ..Frame::new(Kind::Data)
    };
    assert!(frame.to_datagram().is_err());
}
