//! Invalid settings are refused with an error message that names the cause.

#![allow(clippy::unwrap_used)]

use std::process::Command;

macro_rules! cases {
    ($($name:ident: $text:expr => $part:literal;)*) => {$(
        #[test]
        fn $name() {
            let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
                .join(concat!(stringify!($name), ".toml"));
            std::fs::write(&file, $text).unwrap();
            let output = Command::new(env!("CARGO_BIN_EXE_pollenpin-edge"))
                .arg("--settings")
                .arg(&file)
                .output()
                .unwrap();
            let message = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(2), "{message}");
            assert!(message.contains($part), "{message}");
            assert!(message.contains("reading settings from"), "{message}");
        }
    )*};
}

cases! {
    not_toml: "[[[" => "line 1";
    without_an_address: "node = \"a\"\nzone = \"a\"\nip = \"127.0.0.1\"" => "missing field";
    wrong_type: "node = 7" => "node = 7";
}
