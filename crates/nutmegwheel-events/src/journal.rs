use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, plain};
use serde::{Deserialize, Serialize};

use crate::{Clock, Event, Timestamp};

plain! {
    /// One event as it stands in a journal and on the time line.
    #[derive(Serialize, Deserialize)]
    pub struct Record {
        /// The place in the process's journal, counted from 1.
        pub sequence: u64,
        /// The reading of the process's clock.
        #[serde(rename = "stamp")]
        pub timestamp: Timestamp,
        /// The process that emitted it.
        pub process: ProcessName,
        /// The number of docs/EVENTS.md.
        pub number: u16,
        /// The word that goes with the number.
        pub event: String,
        /// What the event is about.
        pub fields: BTreeMap<String, String>,
    }

    /// How a journal is opened.
    pub struct Options {
        /// The process that emits.
        pub process: ProcessName,
        /// How many of the newest records are kept.
        pub capacity: usize,
    }
}

/// The time over which decisions of one kind are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The decisions of one kind that are told one by one in a window; the rest is told as a count.
const MAX_EVENTS_PER_WINDOW: u64 = 40;

/// The newest events of a process, which are also written to the log.
pub struct Journal {
    opts: Options,
    clock: Clock,
    records: Mutex<Records>,
    windows: Mutex<HashMap<Event, Window>>,
}

/// The decisions of one kind in the present window.
struct Window {
    started_at: Instant,
    count: u64,
    /// Those that were not told one by one, of this window and the ones before.
    suppressed: u64,
}

#[derive(Default)]
struct Records {
    last_sequence: u64,
    retained: VecDeque<Record>,
}

/// Lifecycle.
impl Journal {
    /// Opens an empty journal.
    #[must_use]
    pub fn open(opts: Options, clock: Clock) -> Self {
        Self {
            opts,
            clock,
            records: Mutex::default(),
            windows: Mutex::default(),
        }
    }
}

/// Emitting.
impl Journal {
    /// Records an event and writes it to the log.
    pub fn emit(&self, event: Event, fields: &[(&str, &dyn ToString)]) {
        self.write(event, to_strings(fields));
    }

    /// Records a decision about one request. Under load only so many of a kind are told one by one,
    /// and the next one that is carries the number of those between in its field `untold`.
    pub fn emit_rate_limited(&self, event: Event, fields: &[(&str, &dyn ToString)]) {
        let Some(suppressed) = self.count_event(event, Instant::now()) else {
            return;
        };
        let mut fields = to_strings(fields);
        if suppressed > 0 {
            fields.insert("untold".to_owned(), suppressed.to_string());
        }
        self.write(event, fields);
    }

    /// Whether a decision is told, with the number of those before it that were not.
    fn count_event(&self, event: Event, now: Instant) -> Option<u64> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(event).or_insert(Window {
            started_at: now,
            count: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(window.started_at) >= WINDOW {
            window.started_at = now;
            window.count = 0;
        }
        window.count += 1;
        if window.count > MAX_EVENTS_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut window.suppressed))
    }

    fn write(&self, event: Event, fields: BTreeMap<String, String>) {
        let timestamp = self.clock.now();
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.last_sequence += 1;
        let record = Record {
            sequence: records.last_sequence,
            timestamp,
            process: self.opts.process.clone(),
            number: event.number(),
            event: event.word().to_owned(),
            fields,
        };
        if log::log_enabled!(event.level()) {
            let line = serde_json::to_string(&record);
            log::log!(event.level(), "{}", line.unwrap_or_default());
        }
        records.retained.push_back(record);
        if records.retained.len() > self.opts.capacity {
            records.retained.pop_front();
        }
    }
}

/// Access.
impl Journal {
    /// The clock whose stamps travel with messages.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The kept records with a sequence above `after`, oldest first.
    pub fn after(&self, after: u64) -> Vec<Record> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = records.retained.iter().filter(|r| r.sequence > after);
        newer.cloned().collect()
    }
}

fn to_strings(fields: &[(&str, &dyn ToString)]) -> BTreeMap<String, String> {
    let fields = fields.iter();
    fields
        .map(|(name, value)| ((*name).to_owned(), value.to_string()))
        .collect()
}
