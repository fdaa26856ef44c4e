//! Processor time and memory of processes, read from /proc.

use std::time::Duration;

use anyhow::Context as _;

/// The kernel's clock ticks per second in /proc/PID/stat, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// The field of the user time in /proc/PID/stat, counted from 0 after the name in parentheses.
const USER_TIME_INDEX: usize = 11;
/// The field of the system time in /proc/PID/stat, counted from 0 after the name in parentheses.
const SYSTEM_TIME_INDEX: usize = 12;

/// Returns the processor time that a process has used so far, in seconds.
fn processor_time(id: u32) -> anyhow::Result<f64> {
    let path = format!("/proc/{id}/stat");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    let (_, fields) = text
        .rsplit_once(") ")
        .context("no process name in /proc/PID/stat")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = |index: usize| -> anyhow::Result<f64> {
        Ok(fields
            .get(index)
            .context("too few fields in /proc/PID/stat")?
            .parse()?)
    };
    Ok((ticks(USER_TIME_INDEX)? + ticks(SYSTEM_TIME_INDEX)?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in MB.
fn resident_mb(id: u32) -> anyhow::Result<f64> {
    status_mb(id, "VmRSS:")
}

/// Returns the peak of the resident memory of a process, in MB.
pub(crate) fn peak_mb(id: u32) -> anyhow::Result<f64> {
    status_mb(id, "VmHWM:")
}

fn status_mb(id: u32, field: &'static str) -> anyhow::Result<f64> {
    let path = format!("/proc/{id}/status");
    let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: f64 = kilobytes.context(field)?.parse()?;
    Ok(kilobytes / 1024.0)
}

/// Returns the total processor time of several processes, in seconds.
pub(crate) fn processor_time_of(ids: &[u32]) -> anyhow::Result<f64> {
    ids.iter().map(|id| processor_time(*id)).sum()
}

/// Returns the mean resident memory of several processes, in MB.
pub(crate) fn mean_resident_mb(ids: &[u32]) -> anyhow::Result<f64> {
    let all: anyhow::Result<f64> = ids.iter().map(|id| resident_mb(*id)).sum();
    Ok(all? / f64::from(u32::try_from(ids.len())?.max(1)))
}

/// Returns the mean processor use per process over `time`, in percent of a core.
///
/// `used` is the processor time of all processes together, in seconds.
pub(crate) fn percent_of_core(used: f64, time: Duration, processes: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let processes = processes.max(1) as f64;
    100.0 * used / time.as_secs_f64() / processes
}
