use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, PoisonError},
};

use nutmegwheel_types::{ProcessName, plain};
use serde::{Deserialize, Serialize};

use crate::{Clock, Event, Stamp};

plain! {
    /// One event as it stands in a journal and on the time line.
    #[derive(Serialize, Deserialize)]
    pub struct Record {
        /// The place in the process's journal, counted from 1.
        pub sequence: u64,
        /// The reading of the process's clock.
        pub stamp: Stamp,
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

/// The newest events of a process, which are also written to the log.
pub struct Journal {
    opts: Options,
    clock: Clock,
    records: Mutex<Records>,
}

#[derive(Default)]
struct Records {
    next: u64,
    kept: VecDeque<Record>,
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
        }
    }
}

/// Emitting.
impl Journal {
    /// Records an event and writes it to the log.
    pub fn emit(&self, event: Event, fields: &[(&str, &dyn ToString)]) {
        let fields: BTreeMap<String, String> = fields
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.to_string()))
            .collect();
        log::log!(event.level(), "{}", line(event, &fields));
        let stamp = self.clock.now();
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.next += 1;
        let record = Record {
            sequence: records.next,
            stamp,
            process: self.opts.process.clone(),
            number: event.number(),
            event: event.word().to_owned(),
            fields,
        };
        records.kept.push_back(record);
        if records.kept.len() > self.opts.capacity {
            records.kept.pop_front();
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
        let newer = records.kept.iter().filter(|r| r.sequence > after);
        newer.cloned().collect()
    }
}

fn line(event: Event, fields: &BTreeMap<String, String>) -> String {
    use std::fmt::Write as _;
    let mut line = format!("[{}] {}", event.number(), event.word());
    for (name, value) in fields {
        let _ = write!(line, " {name}={value:?}");
    }
    line
}
