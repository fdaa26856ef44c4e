use std::fmt::Write as _;

use crate::Record;

/// Merges the journals of all processes into one order in which causes stand before effects.
#[must_use]
pub fn merge(journals: impl IntoIterator<Item = Vec<Record>>) -> Vec<Record> {
    let mut records: Vec<Record> = journals.into_iter().flatten().collect();
    records.sort_by(|a, b| {
        let key = |r: &Record| (r.stamp, r.process.clone(), r.sequence);
        key(a).cmp(&key(b))
    });
    records
}

/// Lays a merged time line out for people, a line a record, times from the first one.
#[must_use]
pub fn render(records: &[Record]) -> String {
    let start = records.first().map_or(0, |r| r.stamp.millis);
    let width = records.iter().map(|r| r.process.len()).max().unwrap_or(0);
    let mut out = String::new();
    for record in records {
        let at = record.stamp.millis.saturating_sub(start);
        let (secs, millis) = (at / 1000, at % 1000);
        let _ = write!(out, "{secs:>6}.{millis:03} {:<width$} ", record.process);
        let _ = write!(out, "{} {}", record.number, record.event);
        for (name, value) in &record.fields {
            let _ = write!(out, " {name}={value}");
        }
        out.push('\n');
    }
    out
}
