//! Instances of a backend server that have left, and the heartbeats that their departure outdates.

use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

use super::{Instance, MAX_HEARTBEAT_DELAY};

/// The maximum number of departures that are remembered for a node.
const MAX_DEPARTURES: usize = 32;
/// The sequence number that no heartbeat exceeds, for an instance that does not come back.
pub const LAST_SEQUENCE: u64 = u64::MAX;

plain_copy! {
    /// Which instances a departure concerns. The lesser one is forgotten first.
    pub enum Scope {
        /// All instances of the id that had started by the given time, since the departure named
        /// only an id. A clock that was set may make others look so too.
        StartedUntil,
        /// One instance, which the departure named.
        Named,
        /// One instance, of which a heartbeat was received.
        Registered,
    }
}

plain! {
    /// The departure of an instance.
    pub struct Departure {
        /// The instance that left, or the latest one with [`Scope::StartedUntil`].
        pub instance: Instance,
        /// Which instances left.
        pub scope: Scope,
        /// The last heartbeat before the departure; it and earlier ones are outdated.
        pub last_sequence: u64,
        /// The time since the departure was recorded.
        pub age: Duration,
    }

    /// The most recent departures of the instances of one node.
    #[derive(Default)]
    pub struct Departures {
        entries: Vec<Entry>,
    }

    struct Entry {
        instance: Instance,
        scope: Scope,
        last_sequence: u64,
        recorded_at: Instant,
    }
}

impl Departures {
    /// Adds a departure and returns whether it is news. Two departures of the same instance are
    /// merged, in any order, to the one that outdates more heartbeats.
    pub fn record(&mut self, now: Instant, departure: Departure) -> bool {
        let recorded_at = now.checked_sub(departure.age).unwrap_or(now);
        let known = self
            .entries
            .iter_mut()
            .find(|entry| entry.instance == departure.instance && entry.scope == departure.scope);
        if let Some(known) = known {
            let is_news = departure.last_sequence > known.last_sequence;
            known.last_sequence = known.last_sequence.max(departure.last_sequence);
            return is_news;
        }
        self.entries.push(Entry {
            instance: departure.instance,
            scope: departure.scope,
            last_sequence: departure.last_sequence,
            recorded_at,
        });
        if self.entries.len() > MAX_DEPARTURES {
            self.entries
                .sort_by_key(|entry| (entry.scope, entry.recorded_at));
            self.entries.remove(0);
        }
        true
    }

    /// The scope of the departure before which a heartbeat of the instance was sent, if any. If
    /// there are several, the greatest scope counts.
    #[must_use]
    pub fn outdating(&self, now: Instant, instance: &Instance, sequence: u64) -> Option<Scope> {
        let entries = self.entries.iter();
        entries
            .filter(|entry| sequence <= entry.last_sequence && entry.concerns(now, instance))
            .map(|entry| entry.scope)
            .max()
    }

    /// The departures that are not older than `max_age`.
    #[must_use]
    pub fn list(&self, now: Instant, max_age: Duration) -> Vec<Departure> {
        let entries = self.entries.iter();
        entries
            .map(|entry| Departure {
                instance: entry.instance.clone(),
                scope: entry.scope,
                last_sequence: entry.last_sequence,
                age: now.saturating_duration_since(entry.recorded_at),
            })
            .filter(|departure| departure.age <= max_age)
            .collect()
    }
}

impl Entry {
    fn concerns(&self, now: Instant, instance: &Instance) -> bool {
        match self.scope {
            Scope::Named | Scope::Registered => self.instance == *instance,
            Scope::StartedUntil => {
                self.instance.id == instance.id
                    && instance.started_at_ms <= self.instance.started_at_ms
                    && now.saturating_duration_since(self.recorded_at) < MAX_HEARTBEAT_DELAY
            }
        }
    }
}
