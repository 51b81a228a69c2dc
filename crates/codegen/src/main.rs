//! Generates the gRPC code of the `wire` crate; run `cargo run -p codegen` after changing a
//! `.proto` file.
//!
//! The generated code is committed, so that a build needs no generator.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire_directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let proto_directory = wire_directory.join("proto");
    let descriptors = protox::compile(["control.proto", "steering.proto"], [&proto_directory])?;
    tonic_prost_build::configure()
        .out_dir(wire_directory.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
