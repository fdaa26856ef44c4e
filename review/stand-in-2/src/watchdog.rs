//! Ends a case that takes too long, with all processes that it started.

use std::{
    process::Command,
    sync::{Mutex, PoisonError},
    thread,
    time::Duration,
};

const LIMIT: Duration = Duration::from_secs(115);

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn add(process: u32) {
    STARTED
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(process);
}

pub fn remove(process: u32) {
    STARTED
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .retain(|other| *other != process);
}

/// Kills a process that the run has started.
pub fn kill(process: u32) -> std::io::Result<std::process::ExitStatus> {
    Command::new("bash")
        .args(["-c", &format!("kill -KILL {process}")])
        .status()
}

pub fn start() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case takes longer than {LIMIT:?}");
        for process in STARTED
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            let _ = kill(*process);
        }
        std::process::exit(2);
    });
}
