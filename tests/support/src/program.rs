use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context as _;

/// A process of the system; dropping it kills the process.
pub struct Program {
    child: Option<Child>,
}

/// Lifecycle.
impl Program {
    /// Starts the program in a role, with its output behind what the log holds already.
    ///
    /// # Errors
    ///
    /// The log cannot be opened, or the program cannot be started.
    pub fn spawn(program: &Path, role: &str, settings: &Path, log: &Path) -> anyhow::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args([role, "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{}: start", program.display()))?;
        Ok(Self { child: Some(child) })
    }
}

/// Control.
impl Program {
    /// The process id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process at once (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Waits for the process to end by itself; `None` when it has not within `limit`.
    pub async fn ended(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let status = self
                .child
                .as_mut()
                .and_then(|c| c.try_wait().ok().flatten());
            if let Some(status) = status {
                self.child = None;
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
