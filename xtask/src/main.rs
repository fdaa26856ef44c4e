//! Generates the wire types and writes them to the repository.

use std::fs;

use anyhow::{Context, Result};

fn main() -> Result<()> {
    let root = xtask::repository_root();
    for generated in xtask::generate(&root)? {
        let path = root.join(&generated.path);
        fs::write(&path, generated.content).with_context(|| path.display().to_string())?;
        println!("wrote {}", generated.path.display());
    }
    Ok(())
}
