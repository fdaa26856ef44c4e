//! The running handle: decisions, timers and storage of one replica.

mod lease;
mod liveness;
mod options;
mod output;
mod timers;

use std::{collections::VecDeque, time::Instant};

use self::{lease::Lease, liveness::Liveness, timers::Timers};
pub use self::{
    options::{Options, Random},
    output::{Input, Output, Refusal, Status},
};
use crate::{
    raft::{Change, Core, Effects, Event, RefusalReason, Refused, Setup},
    storage::{Storage, StorageError, Stored, Write},
    types::ReplicaId,
};

/// Why a replica could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store could not be read or created.
    #[error("opening the store of replica {replica}")]
    Storage {
        /// The replica's name.
        replica: String,
        /// The store's reason.
        #[source]
        source: StorageError,
    },
    /// The store belongs to another replica.
    #[error("the store belongs to {found}, not to {replica}")]
    OtherReplica {
        /// The replica's name by its options.
        replica: String,
        /// The replica that the store was created for.
        found: ReplicaId,
    },
    /// An option is out of its range.
    #[error("option {field} of replica {replica} is out of range")]
    BadOption {
        /// The replica's name.
        replica: String,
        /// The option.
        field: &'static str,
    },
}

/// A running replica.
///
/// It is driven from one thread, since a step blocks while it syncs its store. See
/// docs/spec/AGREEMENT.md for the rules and the caller's duties.
pub struct Replica {
    core: Core,
    storage: Box<dyn Storage>,
    timers: Timers,
    lease: Lease,
    liveness: Option<Liveness>,
    lease_reads: bool,
    /// What could not be written yet; nothing else is done before it is.
    pending_writes: Vec<Write>,
    /// What follows from it, and may not be acted upon before it is written.
    pending_outputs: VecDeque<Output>,
}

/// Lifecycle.
impl Replica {
    /// Opens the store, or creates it under a new incarnation when it is empty, and returns the
    /// running replica with its first outputs: the snapshot to restore, if there is one.
    ///
    /// # Errors
    ///
    /// Fails when an option is out of range, or the store is damaged, in use, not writable or that
    /// of another replica.
    pub fn open(
        options: &Options,
        mut storage: Box<dyn Storage>,
        mut random: Random,
        now: Instant,
    ) -> Result<(Self, Vec<Output>), Error> {
        options.check()?;
        let stored = load(options, storage.as_mut(), &mut random)?;
        let restore = stored.snapshot.clone().map(Output::Restore);
        let setup = Setup {
            id: stored.id.clone(),
            peers: options.peers.clone(),
            bootstrap_members: options.sorted_bootstrap_members(),
            auto_repair: options.auto_repair,
            target_voters: options.target_voters,
            limits: options.limits,
        };
        let replica = Self {
            core: Core::open(setup, stored),
            storage,
            lease: Lease::new(options),
            timers: Timers::start(options, random, now),
            liveness: options
                .target_voters
                .map(|_| Liveness::open(options.replace_voter_after)),
            lease_reads: options.lease_reads,
            pending_writes: Vec::new(),
            pending_outputs: VecDeque::new(),
        };
        Ok((replica, restore.into_iter().collect()))
    }
}

/// Access.
impl Replica {
    /// Returns when the replica wants the next [`Input::Tick`].
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        self.timers.next_deadline(self.core.is_leader())
    }

    /// Returns what the replica knows of itself and its cluster.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            id: self.core.id().clone(),
            cluster: self.core.cluster(),
            role: self.core.role(),
            term: self.core.term(),
            leader: self.core.leader().cloned(),
            membership: self.core.membership().clone(),
            last: self.core.log().last(),
            commit: self.core.commit_index(),
            snapshot: self.core.log().base(),
            log_bytes: self.core.log().bytes(),
            storage_failed: self.is_storage_failed(),
        }
    }

    /// Returns the decisions under this replica, for checks of what it has decided.
    #[must_use]
    pub fn core(&self) -> &Core {
        &self.core
    }
}

/// Steps.
impl Replica {
    /// Takes one input and returns what follows from it, in the order to act on it.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        self.step_all(now, [input])
    }

    /// Takes several inputs that came together and syncs what follows from them at once.
    pub fn step_all(
        &mut self,
        now: Instant,
        inputs: impl IntoIterator<Item = Input>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.retry_failed_write(now, &mut outputs);
        for input in inputs {
            if self.is_storage_failed() {
                refuse_input(&input, &mut outputs);
            } else {
                self.handle_input(now, input);
            }
        }
        if !self.is_storage_failed() {
            self.sync(now, &mut outputs);
        }
        outputs
    }

    fn handle_input(&mut self, now: Instant, input: Input) {
        if let (Input::Message(message), Some(liveness)) = (&input, &mut self.liveness) {
            liveness.record_contact(&message.from, now);
        }
        if let Input::Read { id } = input
            && self.lease_reads
            && let Some(index) = self.lease_read(now)
        {
            self.pending_outputs
                .push_back(Output::ReadReady { id, index });
            return;
        }
        let is_tick = matches!(input, Input::Tick);
        if let Some(event) = self.to_event(now, input) {
            let effects = self.core.step(event);
            self.apply_effects(now, effects);
        }
        if is_tick {
            self.replace_unreachable_voter(now);
        }
    }

    /// Lets a learner stand in for a voter that has been silent for too long. The voter leaves
    /// first, so that a majority of those that remain is at hand for both steps.
    fn replace_unreachable_voter(&mut self, now: Instant) {
        let Some(liveness) = &mut self.liveness else {
            return;
        };
        let Some(silent) = liveness.unreachable_voter(&self.core, now) else {
            return;
        };
        let effects = self.core.step(Event::Change(Change::Remove(silent.name)));
        self.apply_effects(now, effects);
    }

    fn to_event(&mut self, now: Instant, input: Input) -> Option<Event> {
        Some(match input {
            Input::Tick => return self.due_event(now),
            Input::Message(message) => Event::Message {
                leader_alive: self.timers.is_leader_alive(now),
                message,
            },
            Input::Propose { id, command } => Event::Propose { id, command },
            Input::Read { id } => Event::Read { id },
            Input::Change(change) => Event::Change(change),
            Input::Snapshot { index, data } => Event::Snapshot { index, data },
        })
    }

    fn due_event(&mut self, now: Instant) -> Option<Event> {
        if !self.core.is_leader() {
            return self
                .timers
                .is_election_due(now)
                .then_some(Event::ElectionTimeout);
        }
        if self.timers.is_quorum_lost(now) {
            return Some(Event::QuorumLost);
        }
        self.timers
            .is_heartbeat_due(now)
            .then_some(Event::Heartbeat)
    }

    fn lease_read(&self, now: Instant) -> Option<u64> {
        let index = self.core.lease_read_index()?;
        self.lease.is_valid(self.core.term(), now).then_some(index)
    }

    /// Takes over what follows from an event; it is acted upon once it is synced.
    fn apply_effects(&mut self, now: Instant, mut effects: Effects) {
        self.pending_writes.append(&mut effects.writes);
        self.update_timers(now, &effects);
        output::push_effects(&mut self.pending_outputs, effects);
    }

    fn update_timers(&mut self, now: Instant, effects: &Effects) {
        if effects.leader_contact {
            self.timers.record_leader_contact(now);
        }
        if effects.restart_timer {
            self.timers.restart_election(now);
        }
        if let Some(round) = effects.round_started {
            self.timers.round_started(now, round == 1);
            self.lease.start_round(self.core.term(), round, now);
        }
        if let Some(round) = effects.round_confirmed
            && let Some(started_at) = self.lease.confirm_round(self.core.term(), round)
        {
            self.timers.record_quorum_contact(started_at);
        }
    }
}

/// Storage.
impl Replica {
    /// Returns whether the last write failed and has not yet succeeded since.
    fn is_storage_failed(&self) -> bool {
        self.timers.is_retrying()
    }

    /// Tries again what could not be written before.
    fn retry_failed_write(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.is_storage_failed() && self.timers.is_retry_due(now) {
            self.sync(now, outputs);
        }
    }

    /// Writes what must be synced, and only then hands out what follows from it.
    fn sync(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.pending_writes.is_empty()
            && let Err(error) = self.storage.write(&self.pending_writes)
        {
            self.timers.schedule_retry(now);
            outputs.push(Output::StorageFailed(error));
            return;
        }
        if self.timers.clear_retry() {
            outputs.push(Output::StorageRecovered);
        }
        self.pending_writes.clear();
        outputs.extend(self.pending_outputs.drain(..));
    }
}

/// While the store fails, messages are lost and requests are refused, so that nothing piles up.
fn refuse_input(input: &Input, outputs: &mut Vec<Output>) {
    let reason = RefusalReason::StorageFailed;
    let refused = match input {
        Input::Propose { id, .. } => Refused::Proposal { id: *id, reason },
        Input::Read { id } => Refused::Read { id: *id, reason },
        Input::Change(_) => Refused::Change { reason },
        Input::Tick | Input::Message(_) | Input::Snapshot { .. } => return,
    };
    outputs.push(Output::Refused(refused));
}

fn load(
    options: &Options,
    storage: &mut dyn Storage,
    random: &mut Random,
) -> Result<Stored, Error> {
    let failed = |source| Error::Storage {
        replica: options.name.to_string(),
        source,
    };
    if let Some(stored) = storage.load().map_err(failed)? {
        return check_owner(options, stored);
    }
    let id = ReplicaId {
        name: options.name.clone(),
        // Zero is left out so that a missing number is never taken for an incarnation.
        incarnation: random().max(1),
    };
    storage.create(&id).map_err(failed)?;
    Ok(Stored::new(id))
}

fn check_owner(options: &Options, stored: Stored) -> Result<Stored, Error> {
    if stored.id.name == options.name {
        return Ok(stored);
    }
    Err(Error::OtherReplica {
        replica: options.name.to_string(),
        found: stored.id,
    })
}
