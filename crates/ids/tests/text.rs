//! Tests of the text forms of ids, sizes and times.

#![allow(clippy::expect_used)]

use std::fmt::Display;
use std::str::FromStr;

use ids::{Bytes, ContentHash, FlowId, Millis, Rate, ServiceName};

/// Guards against a value that is printed differently from the text it was parsed from.
fn assert_round_trip<T: FromStr + Display>(text: &str)
where
    T::Err: std::fmt::Debug,
{
    assert_eq!(text.parse::<T>().expect("valid text").to_string(), text);
}

macro_rules! round_trips {
    ($($case:ident: $kind:ty = $text:literal;)*) => {$(
        #[test]
        fn $case() {
            assert_round_trip::<$kind>($text);
        }
    )*};
}

round_trips! {
    flow_id: FlowId = "00000000000000ff";
    kibibytes: Bytes = "4K";
    mebibytes: Bytes = "1M";
    odd_bytes: Bytes = "1400";
    seconds: Millis = "3s";
    minutes: Millis = "5min";
    milliseconds: Millis = "250ms";
    rate: Rate = "2/s";
    name: ServiceName = "rates";
    content_hash: ContentHash = "000102030405060708090a0b0c0d0e0f";
}

#[yare::parameterized(
    empty = { "" },
    blank = { "a b" },
    separator = { "a/b" },
    non_ascii = { "burza-\u{11b}" },
)]
fn invalid_name_is_rejected(text: &str) {
    assert!(text.parse::<ServiceName>().is_err());
}

#[yare::parameterized(
    no_unit = { "10" },
    negative = { "-1s" },
    overflow = { "99999999999999999999min" },
)]
fn invalid_duration_is_rejected(text: &str) {
    assert!(text.parse::<Millis>().is_err());
}
