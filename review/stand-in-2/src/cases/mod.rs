//! The cases.

mod late_bytes;
mod quarantine;

use std::{io, sync::Arc};

use crate::record::Record;

pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

pub fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    match case {
        "late-bytes" => late_bytes::run(record, has_trouble),
        "quarantine" => quarantine::run(record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
