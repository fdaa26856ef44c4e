//! Locates the program under test.

use std::path::PathBuf;

/// Returns the path of the `nutmegwheel` binary in the directory of this tool's executable.
pub(crate) fn locate() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let program = own.with_file_name("nutmegwheel");
    anyhow::ensure!(
        program.is_file(),
        "{} not found; build it first: cargo build --release -p nutmegwheel",
        program.display()
    );
    Ok(program)
}
