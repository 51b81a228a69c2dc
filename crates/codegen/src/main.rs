//! Regenerates the committed gRPC code; run `cargo run -p codegen` after a change of the protocol.
//!
//! The build itself needs no generator, so that a checkout compiles with the Rust tools alone.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let proto = wire.join("proto");
    let descriptors = protox::compile(["control.proto", "steering.proto"], [&proto])?;
    tonic_prost_build::configure()
        .out_dir(wire.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
