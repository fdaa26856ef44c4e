use std::fmt::Write as _;

use crate::Record;

/// Merges the journals of all processes into one timeline that orders causes before effects.
#[must_use]
pub fn merge(journals: impl IntoIterator<Item = Vec<Record>>) -> Vec<Record> {
    let mut records: Vec<Record> = journals.into_iter().flatten().collect();
    records.sort_by(|a, b| {
        let key = |r: &Record| (r.timestamp, r.process.clone(), r.sequence);
        key(a).cmp(&key(b))
    });
    records
}

/// Formats a merged timeline for people: one line for each record, with the time since the first
/// record in seconds.
#[must_use]
pub fn render(records: &[Record]) -> String {
    let start = records.first().map_or(0, |r| r.timestamp.millis);
    let width = records.iter().map(|r| r.process.len()).max().unwrap_or(0);
    let mut out = String::new();
    for record in records {
        let elapsed = record.timestamp.millis.saturating_sub(start);
        let (secs, millis) = (elapsed / 1000, elapsed % 1000);
        let _ = write!(out, "{secs:>6}.{millis:03} {:<width$} ", record.process);
        let _ = write!(out, "{} {}", record.number, record.event);
        for (name, value) in &record.fields {
            let _ = write!(out, " {name}={value}");
        }
        out.push('\n');
    }
    out
}

/// Parses the records in the log of a process, and counts the lines without a record.
///
/// Text before a record in its line is skipped, such as the time and the name that a log collector
/// adds.
#[must_use]
pub fn read_log(text: &str) -> (Vec<Record>, usize) {
    let mut records = Vec::new();
    let mut skipped = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let record = line.find('{').map(|start| &line[start..]);
        match record.and_then(|record| serde_json::from_str(record).ok()) {
            Some(record) => records.push(record),
            None => skipped += 1,
        }
    }
    (records, skipped)
}

/// Keeps the records of a request and of the calls made for it.
///
/// The ids of calls start with the id of their request and a dot. If the caller sent no id,
/// `request` is the root id from the response.
#[must_use]
pub fn filter_by_request(records: Vec<Record>, request: &str) -> Vec<Record> {
    let is_named = |record: &Record, field: &str| {
        let rest = record.fields.get(field)?.strip_prefix(request)?;
        Some(rest.is_empty() || rest.starts_with('.'))
    };
    let is_match = |record: &Record| {
        let mut fields = ["id", "root"].into_iter();
        fields.any(|field| is_named(record, field) == Some(true))
    };
    records.into_iter().filter(is_match).collect()
}
