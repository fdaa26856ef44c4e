//! Generates the committed wire types from proto/.

use std::path::Path;

/// The definitions and the folder into which the code of each goes.
const GENERATED: [(&str, &str); 1] = [("fleet.proto", "crates/nutmegwheel-wire/src/generated")];

fn main() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for (proto, folder) in GENERATED {
        let descriptors = protox::compile([proto], [root.join("proto")])?;
        prost_build::Config::new()
            .bytes(["."])
            .out_dir(root.join(folder))
            .compile_fds(descriptors)?;
    }
    Ok(())
}
