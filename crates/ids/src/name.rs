//! Names used in settings and documents.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Error, Result};

/// Maximum length of a name. A frame with five names of this length (service, member, target,
/// failure domain and class) stays far below the size of a datagram.
const MAX_NAME_BYTES: usize = 64;

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}

fn parse_name(kind: &'static str, text: &str) -> Result<SmolStr> {
    let is_valid =
        !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_name_byte);
    if !is_valid {
        return Err(Error::InvalidName {
            kind,
            max_bytes: MAX_NAME_BYTES,
            text: text.to_owned(),
        });
    }
    Ok(SmolStr::new(text))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                parse_name($kind, text).map(Self)
            }
        }
    )*};
}

names! {
    /// Name of a service, unique in the published document.
    ServiceName = "service name";
    /// Name of a target, unique within its service.
    TargetName = "target name";
    /// Name of an instance, unique in the fleet.
    InstanceName = "instance name";
    /// Name of a failure domain.
    DomainName = "failure domain name";
    /// Name of a group of instances across which the network fabric spreads traffic to the same
    /// addresses.
    GroupName = "group name";
    /// Name of a member, the party on whose behalf a caller acts.
    MemberName = "member name";
    /// Name of a preset.
    PresetName = "preset name";
    /// Name of a class of work within a service.
    ClassName = "class name";
}
