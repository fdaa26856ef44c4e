use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, plain};
use serde::{Deserialize, Serialize};

use crate::{Clock, Event, Timestamp};

plain! {
    /// One event of a journal or of the merged timeline.
    #[derive(Serialize, Deserialize)]
    pub struct Record {
        /// The position in the process's journal, starting at 1.
        pub sequence: u64,
        /// When the event was recorded, by the clock of the process.
        #[serde(rename = "stamp")]
        pub timestamp: Timestamp,
        /// The process that recorded the event.
        pub process: ProcessName,
        /// The number of the event in docs/EVENTS.md.
        pub number: u16,
        /// The name of the event in docs/EVENTS.md.
        pub event: String,
        /// The details of the event by name, such as the workspace that it concerns.
        pub fields: BTreeMap<String, String>,
    }

    /// The owner and the size of a journal.
    pub struct Options {
        /// The process whose events are recorded.
        pub process: ProcessName,
        /// The number of records that are kept; older ones are evicted.
        pub capacity: usize,
    }
}

/// The window over which the rate limit of [`Journal::emit_rate_limited`] counts events.
const WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of rate-limited events of one kind per window; further ones are only counted.
const MAX_EVENTS_PER_WINDOW: u64 = 40;

/// Keeps the newest events of a process in memory and writes every event to the log.
pub struct Journal {
    opts: Options,
    clock: Clock,
    records: Mutex<Records>,
    windows: Mutex<HashMap<Event, Window>>,
}

/// Counts the rate-limited events of one kind in the current window.
struct Window {
    started_at: Instant,
    count: u64,
    /// Events suppressed since the last emitted one, in this window or earlier ones.
    suppressed: u64,
}

#[derive(Default)]
struct Records {
    last_sequence: u64,
    retained: VecDeque<Record>,
}

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

impl Journal {
    /// Records an event and writes it to the log.
    pub fn emit(&self, event: Event, fields: &[(&str, &dyn ToString)]) {
        self.write(event, to_strings(fields));
    }

    /// Records an event about a single request, at a limited rate for each kind of event, so that
    /// overload does not flood the log. The next event that is emitted carries the number of the
    /// suppressed ones before it in its field `untold`.
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

    /// Counts an event towards its rate limit. Returns `None` if the event is suppressed, or else
    /// the number of events that were suppressed before it.
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
            event: event.name().to_owned(),
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

impl Journal {
    /// The clock whose timestamps are sent with messages to other processes.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The records still in memory whose sequence is above `after`, oldest first.
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
