use std::path::Path;

use anyhow::Context as _;
use nutmegwheel_events::{Record, filter_by_request, merge, read_log, render};

use crate::flags::ReadLogs;

/// Exit code: a log file cannot be read, or no event was found.
const EXIT_REFUSED: u8 = 1;

/// Prints the timeline of log files and returns the exit code.
pub(crate) fn run(cmd: &ReadLogs) -> u8 {
    match render_files(cmd) {
        Ok(text) => {
            println!("{}", text.trim_end());
            0
        }
        Err(e) => {
            eprintln!("{e:#}");
            EXIT_REFUSED
        }
    }
}

fn render_files(cmd: &ReadLogs) -> anyhow::Result<String> {
    anyhow::ensure!(!cmd.logs.is_empty(), "name at least one log file");
    let mut logs = Vec::new();
    for path in &cmd.logs {
        logs.push(read(path)?);
    }
    let records = filter_records(merge(logs), cmd.request.as_deref());
    anyhow::ensure!(!records.is_empty(), "no events found");
    if cmd.json {
        return Ok(serde_json::to_string(&records)?);
    }
    Ok(render(&records))
}

/// Filters the records by request, if one is given.
pub(crate) fn filter_records(records: Vec<Record>, request: Option<&str>) -> Vec<Record> {
    match request {
        Some(request) => filter_by_request(records, request),
        None => records,
    }
}

fn read(path: &Path) -> anyhow::Result<Vec<Record>> {
    let bytes =
        std::fs::read(path).with_context(|| format!("{}: cannot be read", path.display()))?;
    let (records, skipped) = read_log(&String::from_utf8_lossy(&bytes));
    if skipped > 0 {
        eprintln!(
            "{}: skipped {skipped} lines that are not events",
            path.display()
        );
    }
    Ok(records)
}
