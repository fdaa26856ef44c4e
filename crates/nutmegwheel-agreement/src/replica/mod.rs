//! A running replica: the state machine with its timers and storage.

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

/// An error in opening a replica.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store could not be read or created.
    #[error("failed to open the store of replica {replica}")]
    Storage {
        /// The replica's name.
        replica: String,
        /// The error of the store.
        #[source]
        source: StorageError,
    },
    /// The store belongs to another replica.
    #[error("the store belongs to {found}, not to {replica}")]
    OtherReplica {
        /// The replica's name in its options.
        replica: String,
        /// The replica that the store was created for.
        found: ReplicaId,
    },
    /// An option is out of range.
    #[error("option {field} of replica {replica} is out of range")]
    BadOption {
        /// The replica's name.
        replica: String,
        /// The name of the option.
        field: &'static str,
    },
}

/// A running replica.
///
/// Steps block while they sync the store, so a replica should run on a separate thread. The
/// protocol and what it requires of the caller are specified in docs/spec/AGREEMENT.md.
pub struct Replica {
    core: Core,
    storage: Box<dyn Storage>,
    timers: Timers,
    lease: Lease,
    liveness: Option<Liveness>,
    lease_reads: bool,
    /// Writes that are not yet synced. After a failed write, no input is handled until they are.
    pending_writes: Vec<Write>,
    /// Outputs that must not be returned before `pending_writes` are synced.
    pending_outputs: VecDeque<Output>,
}

impl Replica {
    /// Loads the store, or creates it under a new incarnation if it is empty. Returns the running
    /// replica with its first outputs: the snapshot to restore, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if an option is out of range, or if the store is corrupt, not readable or writable, or
    /// belongs to another replica.
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

impl Replica {
    /// Returns when the replica needs the next [`Input::Tick`].
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        self.timers.next_deadline(self.core.is_leader())
    }

    /// Returns the status of the replica and its view of the cluster.
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

    /// Returns the state machine, for reading its state.
    #[must_use]
    pub fn core(&self) -> &Core {
        &self.core
    }
}

impl Replica {
    /// Handles one input and returns the outputs, in the order in which to process them.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        self.step_all(now, [input])
    }

    /// Handles several inputs with a single sync of the store for all of them.
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
        if let Some(event) = self.event_for(now, input) {
            let effects = self.core.step(event);
            self.apply_effects(now, effects);
        }
        if is_tick {
            self.replace_unreachable_voter(now);
        }
    }

    /// Removes a voter that has been unreachable for too long, so that a learner can be promoted in
    /// its place. The voter is removed before the learner is promoted, so that both changes need
    /// only a majority of the remaining voters.
    fn replace_unreachable_voter(&mut self, now: Instant) {
        let Some(liveness) = &mut self.liveness else {
            return;
        };
        let Some(unreachable) = liveness.unreachable_voter(&self.core, now) else {
            return;
        };
        let effects = self
            .core
            .step(Event::Change(Change::Remove(unreachable.name)));
        self.apply_effects(now, effects);
    }

    fn event_for(&mut self, now: Instant, input: Input) -> Option<Event> {
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

    /// Queues the writes and outputs of an event and updates the timers. The outputs are returned
    /// once the writes are synced.
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
            self.timers.record_round_start(now, round == 1);
            self.lease.start_round(self.core.term(), round, now);
        }
        if let Some(round) = effects.round_confirmed
            && let Some(started_at) = self.lease.confirm_round(self.core.term(), round)
        {
            self.timers.record_quorum_contact(started_at);
        }
    }
}

impl Replica {
    /// Returns whether a write to storage has failed and its retry has not succeeded yet.
    fn is_storage_failed(&self) -> bool {
        self.timers.is_retrying()
    }

    /// Retries a failed write if its retry is due.
    fn retry_failed_write(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.is_storage_failed() && self.timers.is_retry_due(now) {
            self.sync(now, outputs);
        }
    }

    /// Syncs the pending writes and only then returns the outputs that depend on them.
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

/// Refuses a request while writes to storage fail. Drops messages, so that they do not queue up.
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
        // Zero is the default of a missing protobuf field, so it must not be a valid incarnation.
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
