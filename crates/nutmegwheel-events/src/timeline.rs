use std::fmt::Write as _;

use crate::Record;

/// Merges the journals of all processes into one order in which causes stand before effects.
#[must_use]
pub fn merge(journals: impl IntoIterator<Item = Vec<Record>>) -> Vec<Record> {
    let mut records: Vec<Record> = journals.into_iter().flatten().collect();
    records.sort_by(|a, b| {
        let key = |r: &Record| (r.timestamp, r.process.clone(), r.sequence);
        key(a).cmp(&key(b))
    });
    records
}

/// Lays a merged time line out for people, a line a record, times from the first one.
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

/// Reads the records in the output of a process, and the number of lines that hold none.
///
/// What stands before a record in its line, such as a time and a name that a collector of logs
/// adds, is left out.
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

/// Keeps what was decided about a request and the calls made for it.
///
/// The ids of calls begin with that of their request and a dot; where callers send no ids, `request`
/// is the root id that the answer carried.
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
