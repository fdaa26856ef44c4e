//! Finds the program under test.

use std::path::PathBuf;

/// Finds the binary `nutmegwheel` beside this tool's own executable.
pub(crate) fn locate() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let program = own.with_file_name("nutmegwheel");
    anyhow::ensure!(
        program.is_file(),
        "{} is missing; build it first: cargo build --release -p nutmegwheel",
        program.display()
    );
    Ok(program)
}
