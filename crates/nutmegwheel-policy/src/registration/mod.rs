//! Distinguishes current heartbeats of a backend server from delayed ones of earlier instances and
//! of instances that have left.

mod departures;
mod store;
mod types;

pub use departures::{Departure, Departures, LAST_SEQUENCE, Scope};
pub use store::{DEPARTURE_RETENTION, DepartureStore, Remembered};
pub use types::{Beat, HeartbeatStatus, Instance};

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use nutmegwheel_types::plain;

/// The maximum time that a heartbeat may take to arrive.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(20);
/// The maximum number of replaced instances that are remembered; the oldest is forgotten first.
const MAX_REPLACED: usize = 32;
/// The minimum time between two heartbeats that show together that an instance is running, and not
/// only that delayed heartbeats of it arrive.
const MIN_CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);

plain! {
    /// The current and the departed instances of a node's backend server.
    pub struct Registration {
        current: Option<Current>,
        newest_start_ms: u64,
        /// Whether the newest known instance crashed or stopped sending heartbeats.
        is_down: bool,
        departures: Departures,
        /// Instances in whose place another one registered without their departure.
        replaced: VecDeque<Instance>,
        /// Whether the departures that an earlier process of this node acknowledged are known.
        knows_earlier: bool,
        unconfirmed: Option<Unconfirmed>,
        /// The number of departures that were news.
        recorded: u64,
    }

    struct Current {
        instance: Instance,
        sequence: u64,
        /// Whether its last heartbeat said that it accepts new requests.
        is_ready: bool,
        /// Whether the instance has said in an answer that it leaves. Heartbeats that were sent
        /// before may arrive later.
        is_leaving: bool,
    }

    /// The first heartbeat of an instance that may have left.
    struct Unconfirmed {
        instance: Instance,
        sequence: u64,
        received_at: Instant,
    }
}

impl Registration {
    /// Opens the registration of a node that has just started. `is_first_start` says that the fleet
    /// starts for the first time, so that there are no earlier departures.
    #[must_use]
    pub fn open(is_first_start: bool) -> Self {
        Self {
            current: None,
            newest_start_ms: 0,
            is_down: false,
            departures: Departures::default(),
            replaced: VecDeque::new(),
            knows_earlier: is_first_start,
            unconfirmed: None,
            recorded: 0,
        }
    }

    /// Records a heartbeat and returns its effect.
    pub fn heartbeat(&mut self, now: Instant, beat: &Beat<'_>) -> HeartbeatStatus {
        let status = self.judge(now, beat);
        match status {
            HeartbeatStatus::NewInstance => self.replace_current(now, beat),
            HeartbeatStatus::Renewed => self.renew(now, beat),
            HeartbeatStatus::Stale | HeartbeatStatus::Unconfirmed => {}
        }
        status
    }

    /// Records that the instance with this id says in an answer that it leaves, and returns whether
    /// it is the current one and has not said so before. It does not come back.
    pub fn record_leaving(&mut self, now: Instant, id: &str) -> bool {
        let current = self.current.as_mut();
        let staying = current.filter(|current| &*current.instance.id == id && !current.is_leaving);
        let Some(current) = staying else {
            return false;
        };
        current.is_leaving = true;
        let instance = current.instance.clone();
        self.record_departure(now, &instance, Scope::Registered, LAST_SEQUENCE);
        true
    }

    /// Whether the current instance has said in an answer that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.is_leaving)
    }

    /// Records that an instance has ended and returns whether it was the current one.
    ///
    /// Without `started_at_ms` each instance of that id is meant that had started by
    /// `wall_clock_ms`, whether heartbeats of it are known or not.
    pub fn deregister(
        &mut self,
        now: Instant,
        wall_clock_ms: u64,
        id: &str,
        started_at_ms: Option<u64>,
    ) -> bool {
        let is_meant = |instance: &Instance| {
            &*instance.id == id && started_at_ms.is_none_or(|at| at == instance.started_at_ms)
        };
        let current = self.current.take_if(|c| is_meant(&c.instance));
        let unconfirmed = self.unconfirmed.take_if(|u| is_meant(&u.instance));
        let is_current = current.is_some();
        let registered = current.map(|current| current.instance);
        let registered = registered.or(unconfirmed.map(|unconfirmed| unconfirmed.instance));
        if let Some(instance) = &registered {
            self.record_departure(now, instance, Scope::Registered, LAST_SEQUENCE);
        }
        let (started_at_ms, scope) = match started_at_ms {
            Some(_) if registered.is_some() => return is_current,
            Some(started_at_ms) => (started_at_ms, Scope::Named),
            None => (wall_clock_ms, Scope::StartedUntil),
        };
        let instance = Instance {
            id: id.into(),
            started_at_ms,
        };
        self.record_departure(now, &instance, scope, LAST_SEQUENCE);
        is_current
    }

    /// Marks the current instance as down after it crashed or its heartbeats stopped.
    ///
    /// Heartbeats of the same instance are accepted again afterwards. So are those of an instance
    /// with an earlier start time, since the wall clock of the VM may have been set back in
    /// between.
    pub fn mark_down(&mut self) {
        self.is_down = true;
    }

    fn judge(&mut self, now: Instant, beat: &Beat<'_>) -> HeartbeatStatus {
        let instance = beat.instance;
        let current = self.current.as_ref();
        if let Some(current) = current.filter(|current| current.instance == *instance) {
            if beat.sequence > current.sequence {
                return HeartbeatStatus::Renewed;
            }
            return self.judge_lower_number(now, beat);
        }
        if instance.started_at_ms < self.newest_start_ms && !self.is_down {
            return HeartbeatStatus::Stale;
        }
        let may_have_left = match self.departures.outdating(now, instance, beat.sequence) {
            Some(Scope::Named | Scope::Registered) => return HeartbeatStatus::Stale,
            Some(Scope::StartedUntil) => true,
            None => !self.knows_earlier || self.replaced.contains(instance),
        };
        if may_have_left && beat.is_ready && !self.is_confirmed(now, beat) {
            HeartbeatStatus::Unconfirmed
        } else {
            HeartbeatStatus::NewInstance
        }
    }

    /// Judges a heartbeat of the current instance with a number that is not above the last one.
    ///
    /// While the instance is down, its heartbeats may arrive late, but the last number may also have
    /// come from another writer. Only an instance that is running sends further heartbeats.
    fn judge_lower_number(&mut self, now: Instant, beat: &Beat<'_>) -> HeartbeatStatus {
        let departure = self.departures.outdating(now, beat.instance, beat.sequence);
        if !self.is_down || departure.is_some() {
            HeartbeatStatus::Stale
        } else if self.is_confirmed(now, beat) {
            HeartbeatStatus::Renewed
        } else {
            HeartbeatStatus::Unconfirmed
        }
    }

    /// Whether a heartbeat follows an earlier one of its instance, which is remembered otherwise.
    fn is_confirmed(&mut self, now: Instant, beat: &Beat<'_>) -> bool {
        let earlier = self.unconfirmed.as_ref();
        if let Some(earlier) = earlier.filter(|earlier| earlier.instance == *beat.instance) {
            let interval = now.saturating_duration_since(earlier.received_at);
            return beat.sequence > earlier.sequence && interval >= MIN_CONFIRMATION_INTERVAL;
        }
        self.unconfirmed = Some(Unconfirmed {
            instance: beat.instance.clone(),
            sequence: beat.sequence,
            received_at: now,
        });
        false
    }

    fn replace_current(&mut self, now: Instant, beat: &Beat<'_>) {
        self.newest_start_ms = beat.instance.started_at_ms;
        self.is_down = false;
        self.unconfirmed = None;
        let current = Current {
            instance: beat.instance.clone(),
            sequence: beat.sequence,
            is_ready: beat.is_ready,
            is_leaving: false,
        };
        self.replaced.retain(|replaced| replaced != beat.instance);
        if let Some(previous) = self.current.replace(current) {
            self.replaced.push_back(previous.instance);
            if self.replaced.len() > MAX_REPLACED {
                self.replaced.pop_front();
            }
        }
        if !beat.is_ready {
            self.record_departure(now, beat.instance, Scope::Registered, beat.sequence);
        }
    }

    fn renew(&mut self, now: Instant, beat: &Beat<'_>) {
        self.is_down = false;
        self.unconfirmed = None;
        let Some(current) = &mut self.current else {
            return;
        };
        current.sequence = beat.sequence;
        let was_ready = std::mem::replace(&mut current.is_ready, beat.is_ready);
        if was_ready && !beat.is_ready {
            self.record_departure(now, beat.instance, Scope::Registered, beat.sequence);
        }
    }

    fn record_departure(&mut self, now: Instant, instance: &Instance, scope: Scope, last: u64) {
        let departure = Departure {
            instance: instance.clone(),
            scope,
            last_sequence: last,
            age: Duration::ZERO,
        };
        if self.departures.record(now, departure) {
            self.recorded += 1;
        }
    }
}

impl Registration {
    /// The departures of the last [`DEPARTURE_RETENTION`], which other processes must remember in
    /// case this one restarts.
    #[must_use]
    pub fn departures(&self, now: Instant) -> Vec<Departure> {
        self.departures.list(now, DEPARTURE_RETENTION)
    }

    /// The number of departures that this process has recorded itself. It tells a report that
    /// contains the newest one from an earlier report.
    #[must_use]
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Adds departures that an earlier process of this node acknowledged. Returns the current
    /// instance if it is among them, and no longer registers it.
    pub fn learn(&mut self, now: Instant, departures: Vec<Departure>) -> Option<Instance> {
        for departure in departures {
            self.departures.record(now, departure);
        }
        let departures = &self.departures;
        let has_left = |current: &Current| {
            let scope = departures.outdating(now, &current.instance, current.sequence);
            matches!(scope, Some(Scope::Named | Scope::Registered))
        };
        let departed = self
            .current
            .take_if(|current| current.is_ready && !current.is_leaving && has_left(current));
        departed.map(|current| current.instance)
    }

    /// Records that all departures that an earlier process of this node acknowledged are known, so
    /// that the first heartbeat of an instance counts.
    pub fn set_earlier_known(&mut self) {
        self.knows_earlier = true;
    }

    /// Whether the departures that an earlier process of this node acknowledged are known.
    #[must_use]
    pub fn knows_earlier(&self) -> bool {
        self.knows_earlier
    }
}
