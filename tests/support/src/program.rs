use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::Context as _;

/// A process of the system. Dropping it kills the process.
pub struct Program {
    child: Option<Child>,
}

impl Program {
    /// Starts the program in a role and appends its output to the log.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the program cannot be started.
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

impl Program {
    /// Returns the process id, or `None` after the process was killed or has exited.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL and waits for it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the process a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.id() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Waits for the process to exit and returns its exit code; `None` if it does not exit within
    /// `limit` or was ended by a signal.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
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
