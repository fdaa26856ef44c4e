//! The cases.

mod crowd;
mod departed_clients;
mod late_bytes;
mod parts_of_jobs;

use std::{io, process::ExitCode, sync::Arc};

use crate::record::Record;

pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

pub fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    match case {
        "crowd" => crowd::run(record, has_trouble),
        "departed-clients" => departed_clients::run(record, has_trouble),
        "late-bytes" => late_bytes::run(record, has_trouble),
        "parts-of-jobs" => parts_of_jobs::run(record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Runs as one of the processes with clients that a case starts.
pub fn run_clients(to: &str, connections: &str, depth: &str) -> ExitCode {
    match crowd::run_clients(to, connections, depth) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("clients: {e}");
            ExitCode::from(2)
        }
    }
}
