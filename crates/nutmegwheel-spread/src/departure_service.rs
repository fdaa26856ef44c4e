use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use nutmegwheel_policy::registration::{
    Departure, DepartureStore, Instance, MAX_HEARTBEAT_DELAY, Scope,
};
use nutmegwheel_wire as wire;
use prost::Message as _;

/// The maximum number of departures in one message.
const MAX_DEPARTURES: usize = 64;
/// The maximum length of the names and ids in a message.
const MAX_NAME_BYTES: usize = 256;

/// Remembers the departures of other nodes' backend servers while those nodes restart.
pub struct DepartureService {
    store: Mutex<DepartureStore>,
    /// See [`wire::DepartureFile::complete_at_ms`].
    complete_at_ms: u64,
}

/// The answer to a report of departures.
pub struct DepartureReply {
    /// The answer, which says that the report is stored.
    pub answer: wire::DepartureAnswer,
    /// Whether the report contained departures that were not known before.
    pub has_news: bool,
}

impl DepartureService {
    /// Opens a service that remembers nothing yet. `is_first_start` says that the fleet starts for
    /// the first time, so that there is nothing to remember.
    #[must_use]
    pub fn open(is_first_start: bool) -> Self {
        let wait = if is_first_start {
            Duration::ZERO
        } else {
            MAX_HEARTBEAT_DELAY
        };
        Self {
            store: Mutex::new(DepartureStore::open(Instant::now() + wait)),
            complete_at_ms: wall_clock_ms().saturating_add(millis(wait)),
        }
    }

    /// Opens a service that remembers what a file holds.
    #[must_use]
    pub fn restore(file: wire::DepartureFile) -> Self {
        let (now, wall_clock_ms) = (Instant::now(), wall_clock_ms());
        // A clock that was set back must not make the service wait for longer.
        let wait = Duration::from_millis(file.complete_at_ms.saturating_sub(wall_clock_ms));
        let complete_at = now + wait.min(MAX_HEARTBEAT_DELAY);
        let mut store = DepartureStore::open(complete_at);
        let file_age = wall_clock_ms.saturating_sub(file.written_at_ms);
        for node in file.nodes {
            let mut departures = departures_from_wire(node.departures);
            for departure in &mut departures {
                departure.age += Duration::from_millis(file_age);
            }
            store.record(now, &node.node.into(), departures);
        }
        Self {
            store: Mutex::new(store),
            complete_at_ms: file.complete_at_ms,
        }
    }

    /// Answers a request on the topic `DEPARTURES`, or returns `None` if it is malformed.
    pub fn exchange(&self, head: Bytes) -> Option<DepartureReply> {
        let report = wire::DepartureReport::decode(head)
            .inspect_err(|e| log::debug!("dropping a report of departures: {e}"))
            .ok()?;
        if !(1..=MAX_NAME_BYTES).contains(&report.node.len()) {
            log::debug!("dropping a report of departures: the node's name is malformed");
            return None;
        }
        let reported = departures_from_wire(report.departures);
        let remembered = self
            .lock()
            .exchange(Instant::now(), &report.node.into(), reported);
        let answer = wire::DepartureAnswer {
            is_stored: true,
            departures: departures_to_wire(&remembered.departures),
            is_complete: remembered.is_complete,
        };
        let has_news = remembered.has_news;
        Some(DepartureReply { answer, has_news })
    }

    /// All that [`DepartureService::restore`] needs.
    #[must_use]
    pub fn to_file(&self) -> wire::DepartureFile {
        let nodes = self.lock().list(Instant::now());
        let nodes = nodes
            .into_iter()
            .map(|(node, departures)| wire::DepartureReport {
                node: node.to_string(),
                departures: departures_to_wire(&departures),
            });
        wire::DepartureFile {
            complete_at_ms: self.complete_at_ms,
            written_at_ms: wall_clock_ms(),
            nodes: nodes.collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DepartureStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts departures for a report or an answer to one.
#[must_use]
pub fn departures_to_wire(departures: &[Departure]) -> Vec<wire::Departure> {
    let departures = departures.iter();
    departures
        .map(|departure| wire::Departure {
            instance: departure.instance.id.to_string(),
            started_at_ms: departure.instance.started_at_ms,
            scope: match departure.scope {
                Scope::StartedUntil => wire::DepartureScope::StartedUntil,
                Scope::Named => wire::DepartureScope::Named,
                Scope::Registered => wire::DepartureScope::Registered,
            }
            .into(),
            last_sequence: departure.last_sequence,
            age_ms: millis(departure.age),
        })
        .collect()
}

/// Reads the departures of a report or an answer to one. Malformed ones are skipped.
#[must_use]
pub fn departures_from_wire(departures: Vec<wire::Departure>) -> Vec<Departure> {
    let departures = departures.into_iter().take(MAX_DEPARTURES);
    departures.filter_map(departure_from_wire).collect()
}

fn departure_from_wire(departure: wire::Departure) -> Option<Departure> {
    let scope = match departure.scope() {
        wire::DepartureScope::StartedUntil => Scope::StartedUntil,
        wire::DepartureScope::Named => Scope::Named,
        wire::DepartureScope::Registered => Scope::Registered,
        wire::DepartureScope::Unspecified => return None,
    };
    if departure.instance.len() > MAX_NAME_BYTES {
        return None;
    }
    Some(Departure {
        instance: Instance {
            id: Arc::from(departure.instance),
            started_at_ms: departure.started_at_ms,
        },
        scope,
        last_sequence: departure.last_sequence,
        age: Duration::from_millis(departure.age_ms),
    })
}

/// The wall clock in Unix ms. A clock before 1970 counts as 0.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    millis(since.unwrap_or_default())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
