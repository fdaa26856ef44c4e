use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{EndpointId, plain};
use slotmap::SlotMap;

use super::{WorkReport, kind::Kind};

/// The maximum number of kinds that are learned; the requests of further ones share an estimate.
const MAX_KINDS: usize = 64;
/// The time for which the sum over all open requests is used again, which bounds its cost.
const SUM_LIFETIME: Duration = Duration::from_millis(5);
/// The time for which a request is expected to hold its slot before any has finished.
const INITIAL_REMAINING: Duration = Duration::from_millis(50);
/// The factor by which the typical service time of a kind has to change to be told.
const CHANGE_FACTOR: f64 = 3.0;

slotmap::new_key_type! {
    /// Identifies an open request in a [`Ledger`]; stale tickets are ignored.
    pub struct Ticket;
}

plain! {
    /// A change of what the requests of a kind cost at this backend server.
    pub struct Change {
        /// The kind whose typical service time changed.
        pub endpoint: EndpointId,
        /// The typical service time that was told last.
        pub before: Duration,
        /// The typical service time now.
        pub now: Duration,
    }
}

#[derive(Debug)]
struct Open {
    endpoint: EndpointId,
    started_at: Option<Instant>,
}

/// The open requests of one backend server, and what its requests usually cost.
///
/// The state is lost with the process. A new one learns again, and reports no service times until
/// it has seen a few requests.
#[derive(Debug, Default)]
pub struct Ledger {
    kinds: HashMap<EndpointId, Learned>,
    others: Option<Kind>,
    open: SlotMap<Ticket, Open>,
    sum: Option<(Instant, Duration)>,
}

#[derive(Debug)]
struct Learned {
    kind: Kind,
    told: Option<Duration>,
}

impl Ledger {
    /// Adds a request that waits for a slot.
    pub fn enter(&mut self, endpoint: &EndpointId) -> Ticket {
        self.open.insert(Open {
            endpoint: endpoint.clone(),
            started_at: None,
        })
    }

    /// Records that a request has got its slot.
    pub fn start(&mut self, now: Instant, ticket: Ticket) {
        if let Some(open) = self.open.get_mut(ticket) {
            open.started_at = Some(now);
        }
    }

    /// Removes a request that ended without saying what it costs.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.open.remove(ticket);
    }

    /// Removes a request that was answered, `waited` of its time being spent on calls of its own.
    ///
    /// Returns a change of the cost of its kind that is large enough to be told.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, waited: Duration) -> Option<Change> {
        let Open {
            endpoint,
            started_at,
        } = self.open.remove(ticket)?;
        let held = now.saturating_duration_since(started_at?);
        let service = held.saturating_sub(waited);
        if !self.kinds.contains_key(&endpoint) {
            if self.kinds.len() >= MAX_KINDS {
                let others = self.others.get_or_insert_with(|| Kind::new(now));
                others.add(now, held, service);
                return None;
            }
            let learned = Learned {
                kind: Kind::new(now),
                told: None,
            };
            self.kinds.insert(endpoint.clone(), learned);
        }
        let learned = self.kinds.get_mut(&endpoint)?;
        learned.kind.add(now, held, service);
        learned.change(endpoint)
    }

    /// What to report with the answer to a request of a kind.
    pub fn report(&mut self, now: Instant, endpoint: &EndpointId) -> WorkReport {
        WorkReport {
            left: self.left(now),
            service: self.kind(endpoint).and_then(Kind::service),
        }
    }

    /// The time for which all open requests are expected to hold their slots, added up.
    pub fn left(&mut self, now: Instant) -> Duration {
        if let Some((at, sum)) = self.sum
            && now.saturating_duration_since(at) < SUM_LIFETIME
        {
            return sum;
        }
        let open = self.open.values();
        let sum = open.map(|open| self.remaining(now, open)).sum();
        self.sum = Some((now, sum));
        sum
    }

    /// The kinds that were learned, with their typical service times.
    pub fn services(&self) -> impl Iterator<Item = (&EndpointId, Duration)> {
        let kinds = self.kinds.iter();
        kinds.filter_map(|(endpoint, learned)| Some((endpoint, learned.kind.service()?)))
    }

    fn remaining(&self, now: Instant, open: &Open) -> Duration {
        let age = open
            .started_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.kind(&open.endpoint)
            .and_then(|kind| kind.remaining(age))
            .unwrap_or_else(|| age.max(INITIAL_REMAINING))
    }

    fn kind(&self, endpoint: &EndpointId) -> Option<&Kind> {
        let learned = self.kinds.get(endpoint).map(|learned| &learned.kind);
        learned.or(self.others.as_ref())
    }
}

impl Learned {
    fn change(&mut self, endpoint: EndpointId) -> Option<Change> {
        let now = self.kind.service()?;
        let Some(before) = self.told else {
            self.told = Some(now);
            return None;
        };
        let ratio = now.as_secs_f64() / before.as_secs_f64();
        if (1.0 / CHANGE_FACTOR..=CHANGE_FACTOR).contains(&ratio) {
            return None;
        }
        self.told = Some(now);
        Some(Change {
            endpoint,
            before,
            now,
        })
    }
}
