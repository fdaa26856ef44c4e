//! What other processes remember of a node's departures while the node restarts.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, plain};

use super::{Departure, Departures};

/// How long departures are reported and remembered. A backend server that leaves may run on for
/// many seconds.
pub const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);
/// The maximum number of nodes whose departures are remembered; the one that reported least
/// recently is forgotten first.
const MAX_NODES: usize = 4096;

plain! {
    /// The departures that nodes reported to this process.
    pub struct DepartureStore {
        complete_at: Instant,
        nodes: BTreeMap<ProcessName, Reported>,
    }

    struct Reported {
        departures: Departures,
        at: Instant,
    }

    /// What a process remembers of a node.
    pub struct Remembered {
        /// The departures that the node reported, also before it restarted.
        pub departures: Vec<Departure>,
        /// Whether the process remembers each departure that was reported to it and that heartbeats
        /// may still contradict.
        pub is_complete: bool,
        /// Whether the report contained departures that the process did not remember.
        pub has_news: bool,
    }
}

impl DepartureStore {
    /// Opens an empty store that is complete from `complete_at` on: at once if there are no earlier
    /// departures, or else when no heartbeat can arrive that was sent before those.
    #[must_use]
    pub fn open(complete_at: Instant) -> Self {
        Self {
            complete_at,
            nodes: BTreeMap::new(),
        }
    }

    /// Records the departures that a node reports, and returns those remembered of it.
    pub fn exchange(
        &mut self,
        now: Instant,
        node: &ProcessName,
        reported: Vec<Departure>,
    ) -> Remembered {
        self.nodes
            .retain(|_, known| now.saturating_duration_since(known.at) < DEPARTURE_RETENTION);
        let has_news = self.record(now, node, reported);
        let known = self.nodes.get(node);
        Remembered {
            departures: known.map_or_else(Vec::new, |known| {
                known.departures.list(now, DEPARTURE_RETENTION)
            }),
            is_complete: now >= self.complete_at,
            has_news,
        }
    }

    /// Records departures of a node, and returns whether one of them is news.
    pub fn record(&mut self, now: Instant, node: &ProcessName, departures: Vec<Departure>) -> bool {
        if departures.is_empty() {
            return false;
        }
        let known = self.nodes.entry(node.clone()).or_insert_with(|| Reported {
            departures: Departures::default(),
            at: now,
        });
        known.at = now;
        let mut has_news = false;
        for departure in departures {
            has_news |= known.departures.record(now, departure);
        }
        self.evict();
        has_news
    }

    /// The departures of all nodes.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<(ProcessName, Vec<Departure>)> {
        let nodes = self.nodes.iter();
        nodes
            .map(|(node, known)| {
                let departures = known.departures.list(now, DEPARTURE_RETENTION);
                (node.clone(), departures)
            })
            .collect()
    }

    fn evict(&mut self) {
        if self.nodes.len() <= MAX_NODES {
            return;
        }
        let oldest = self.nodes.iter().min_by_key(|(_, known)| known.at);
        if let Some(oldest) = oldest.map(|(node, _)| node.clone()) {
            self.nodes.remove(&oldest);
        }
    }
}
