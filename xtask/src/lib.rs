//! Generates the wire types from proto/. The generated code is committed, so that a build needs no
//! code generator.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};

/// A schema and the location of the code generated from it.
struct Schema {
    file: &'static str,
    package: &'static str,
    out_dir: &'static str,
}

/// All schemas of the project. Add new ones here.
const SCHEMAS: [Schema; 3] = [
    Schema {
        file: "link.proto",
        package: "nutmegwheel.link",
        out_dir: "crates/nutmegwheel-link/src/generated",
    },
    Schema {
        file: "agreement.proto",
        package: "nutmegwheel.agreement.v1",
        out_dir: "crates/nutmegwheel-agreement/src/generated",
    },
    Schema {
        file: "fleet.proto",
        package: "nutmegwheel.fleet",
        out_dir: "crates/nutmegwheel-wire/src/generated",
    },
];

/// A generated file.
pub struct Generated {
    /// The path of the file, relative to the root of the repository.
    pub path: PathBuf,
    /// The Rust source code that belongs in the file.
    pub content: String,
}

/// Returns the root of the repository that this tool was built from.
#[must_use]
pub fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Generates the code of every schema under `root`/proto, without writing it to disk.
///
/// # Errors
///
/// Returns an error if a schema is missing or invalid.
pub fn generate(root: &Path) -> Result<Vec<Generated>> {
    SCHEMAS
        .iter()
        .map(|schema| generate_one(root, schema).with_context(|| schema.file))
        .collect()
}

fn generate_one(root: &Path, schema: &Schema) -> Result<Generated> {
    let descriptors = protox::compile([schema.file], [root.join("proto")])?;
    let mut cfg = prost_build::Config::new();
    cfg.bytes(["."]);
    let requests = descriptors
        .file
        .into_iter()
        .map(|file| {
            (
                prost_build::Module::from_protobuf_package_name(file.package()),
                file,
            )
        })
        .collect();
    let modules = cfg.generate(requests)?;
    let content = modules.into_values().collect();
    let path = Path::new(schema.out_dir).join(format!("{}.rs", schema.package));
    Ok(Generated { path, content })
}
