use std::time::Instant;

use nutmegwheel_types::{ConfigVersion, KeyHash, plain_copy};

use super::{Event, Gossip, Outgoing, ReadPosition};
use crate::configuration::{Received, Request};
use crate::freshness::{ConfirmOutcome, SeedState, SeedStatus};
use crate::{
    Body, Configuration, ConfigurationPart, Confirmation, Digest, LinkAddress, Pull, Renew,
    Withdraw, WithdrawAck, WithdrawnPart,
};

const MAX_KEYS_PER_PART: usize = 128;

plain_copy! {
    /// The index after the last key of an answer to a pull.
    struct ReadEnd {
        log_id: u64,
        end: u64,
    }
}

/// Replication of the configuration.
impl Gossip {
    /// Stores a configuration that the caller accepted and announces its version, so that peers
    /// fetch it. Ignores a configuration that is not newer than the stored one.
    pub fn set_configuration(
        &mut self,
        now: Instant,
        configuration: Configuration,
    ) -> Vec<Outgoing> {
        if self.store.set(configuration) {
            self.broadcast(&[], &[], None);
            self.apply_pending_confirmations();
            self.fetch(now);
        }
        self.flush(now)
    }

    /// Reports that the caller could not apply the change of [`Event::ConfigurationFetched`]; a
    /// snapshot is fetched after a pause.
    pub fn reject_configuration(&mut self, now: Instant) {
        self.store.reject(now);
    }

    pub(super) fn observe_version(
        &mut self,
        now: Instant,
        from: LinkAddress,
        version: ConfigVersion,
    ) {
        if version > self.store.version() {
            if self.store.observe_version(from, version) {
                self.events.push(Event::NewerVersionObserved(version));
            }
            self.fetch(now);
        }
    }

    pub(super) fn fetch(&mut self, now: Instant) {
        if let Some(request) = self.store.request(now) {
            self.send_fetch(&request);
        }
    }

    fn send_fetch(&mut self, request: &Request) {
        let body = Body::Fetch {
            from_version: request.from_version,
            offset: request.offset,
        };
        self.send(request.to, body);
    }

    pub(super) fn answer_fetch(&mut self, from: LinkAddress, version: ConfigVersion, offset: u32) {
        if let Some(part) = self.store.answer(version, offset) {
            self.send(from, Body::Configuration(part));
        }
    }

    pub(super) fn receive_part(
        &mut self,
        now: Instant,
        from: LinkAddress,
        part: &ConfigurationPart,
    ) {
        match self.store.receive(now, from, part) {
            Received::Ignored => {}
            Received::Incomplete(request) => self.send_fetch(&request),
            Received::Complete(change) => self.events.push(Event::ConfigurationFetched(change)),
        }
    }
}

/// Replication of withdrawn keys.
impl Gossip {
    /// Adds a key to the withdrawn keys, broadcasts it immediately and tracks the progress.
    ///
    /// `committed` means that the withdrawal is committed in the control log; only then does the
    /// process request confirmations from the data centres, see docs/spec/SPREAD.md.
    pub fn withdraw(&mut self, now: Instant, key: KeyHash, committed: bool) -> Vec<Outgoing> {
        self.tracked.track(key, committed);
        self.add_withdrawn(&[key], None);
        if committed {
            self.request_data_centre_confirmations(now);
        }
        self.flush(now)
    }

    /// Stores withdrawals from the configuration or the control log without tracking their
    /// progress.
    pub fn load_withdrawn(&mut self, keys: impl IntoIterator<Item = KeyHash>) {
        for key in keys {
            self.withdrawn.add(key);
        }
        self.apply_pending_confirmations();
    }

    /// Adds withdrawn keys and immediately broadcasts the new ones.
    pub(super) fn add_withdrawn(&mut self, keys: &[KeyHash], from: Option<LinkAddress>) {
        let mut added = Vec::new();
        for key in keys {
            if self.withdrawn.add(*key) {
                self.events.push(Event::Withdrawn(*key));
                added.push(*key);
            }
        }
        if !added.is_empty() {
            self.broadcast(&[], &added, from);
            self.apply_pending_confirmations();
        }
    }

    /// Asks one seed of each data centre which of the tracked withdrawals have taken effect there.
    pub(super) fn request_data_centre_confirmations(&mut self, now: Instant) {
        if !self.tracked.has_pending() {
            return;
        }
        for data_centre in self.required_data_centres() {
            let mut seeds = self.table.seeds_of(&data_centre);
            let Some(to) = self.random.draw(&mut seeds, 1).first().copied() else {
                continue;
            };
            let hashes = self.tracked.due_keys(now, &data_centre);
            if hashes.is_empty() {
                continue;
            }
            let sequence = self.take_sequence();
            let request = Withdraw {
                sequence,
                committed: true,
                hashes,
            };
            self.send(to, Body::Withdraw(request));
        }
    }

    pub(super) fn receive_withdraw(&mut self, now: Instant, from: LinkAddress, request: &Withdraw) {
        self.add_withdrawn(&request.hashes, Some(from));
        let mut in_force = Vec::new();
        if let Some(seed_state) = &mut self.seed_state {
            if request.committed {
                seed_state.track_committed(now, &request.hashes);
            }
            seed_state.advance_in_force(now);
            in_force.extend(
                request
                    .hashes
                    .iter()
                    .filter(|key| seed_state.is_in_force(key)),
            );
            let requests = seed_state.due_requests(now);
            for (to, request) in requests {
                self.send(to, Body::Withdraw(request));
            }
        }
        let answer = WithdrawAck {
            sequence: request.sequence,
            log_id: self.withdrawn.log_id(),
            held: request.hashes.clone(),
            in_force,
        };
        self.send(from, Body::WithdrawAck(answer));
    }

    pub(super) fn receive_withdraw_ack(
        &mut self,
        now: Instant,
        from: LinkAddress,
        ack: &WithdrawAck,
    ) {
        if let Some(record) = self.table.get_by_address(from)
            && record.seed
        {
            let data_centre = record.data_centre.clone();
            self.tracked.confirm(&data_centre, &ack.in_force);
            let all = self.required_data_centres();
            self.tracked.update_in_force(&all);
        }
        if let Some(seed_state) = &mut self.seed_state {
            seed_state.record_ack(now, from, ack);
            let requests = seed_state.due_requests(now);
            for (to, request) in requests {
                self.send(to, Body::Withdraw(request));
            }
        }
    }

    pub(super) fn answer_pull(&mut self, from: LinkAddress, pull: Pull) {
        if pull.log_id != self.withdrawn.log_id() {
            return;
        }
        let part = WithdrawnPart {
            log_id: pull.log_id,
            from: pull.from,
            count: self.withdrawn.count(),
            hashes: self.withdrawn.since(pull.from, MAX_KEYS_PER_PART).to_vec(),
        };
        self.send(from, Body::Withdrawn(part));
    }

    pub(super) fn receive_withdrawn(&mut self, from: LinkAddress, part: &WithdrawnPart) {
        self.lease.record_read(from, part);
        self.control.record_read(from, part);
        self.add_withdrawn(&part.hashes, Some(from));
        self.apply_pending_confirmations();
        let length = u64::try_from(part.hashes.len()).unwrap_or_default();
        let position = ReadEnd {
            log_id: part.log_id,
            end: part.from.saturating_add(length),
        };
        self.continue_reading(from, position, part.count);
    }

    /// Records the position reached in a peer's list, and requests the rest.
    fn continue_reading(&mut self, from: LinkAddress, position: ReadEnd, count: u64) {
        let ReadEnd { log_id, end } = position;
        self.read_positions
            .insert(from, ReadPosition { log_id, count: end });
        if end < count {
            self.send(from, Body::Pull(Pull { log_id, from: end }));
        }
    }

    /// Requests the keys of a peer's list after the last one read, if its digest differs.
    pub(super) fn pull_missing_keys(&mut self, from: LinkAddress, digest: &Digest) {
        if digest.digest == self.withdrawn.digest() && digest.count == self.withdrawn.count() {
            return;
        }
        let read = self
            .read_positions
            .get(&from)
            .filter(|list| list.log_id == digest.log_id);
        let end = read.map_or(0, |list| list.count);
        let log_id = digest.log_id;
        if end < digest.count {
            self.send(from, Body::Pull(Pull { log_id, from: end }));
        }
    }
}

/// Lease confirmations.
impl Gossip {
    pub(super) fn answer_renew(&mut self, now: Instant, from: LinkAddress, renew: Renew) {
        let is_authoritative = self.is_authoritative(now);
        let seed_state = self.seed_state.as_ref();
        let status = SeedStatus {
            synced: is_authoritative || seed_state.is_some_and(SeedState::is_synced),
            authority: is_authoritative,
            heartbeat: self.latest_heartbeat.aged(now),
        };
        let version = self.store.version();
        let confirmation = Confirmation::of(renew, status, version, &self.withdrawn);
        self.send(from, Body::Confirmation(confirmation));
    }

    pub(super) fn receive_confirmation(
        &mut self,
        now: Instant,
        from: LinkAddress,
        confirmation: &Confirmation,
    ) {
        let sequence = confirmation.sequence;
        let sent = self.lease.sent_at(from, sequence);
        let sent = sent.or_else(|| self.control.sent_at(from, sequence));
        let Some(sent) = sent else {
            return;
        };
        if let Some(heartbeat) = confirmation.heartbeat {
            self.latest_heartbeat.observe(sent, heartbeat);
        }
        let version = self.store.version();
        let withdrawn = &self.withdrawn;
        let outcome = self.lease.confirm(from, confirmation, version, withdrawn);
        self.handle_confirm_outcome(now, from, confirmation.version, outcome);
        let withdrawn = &self.withdrawn;
        let outcome = self
            .control
            .confirm(now, from, confirmation, version, withdrawn);
        self.handle_confirm_outcome(now, from, confirmation.version, outcome);
        self.update_synced();
    }

    fn handle_confirm_outcome(
        &mut self,
        now: Instant,
        from: LinkAddress,
        version: ConfigVersion,
        outcome: ConfirmOutcome,
    ) {
        let ConfirmOutcome::Behind { pull, fetch } = outcome else {
            return;
        };
        if let Some(pull) = pull {
            self.send(from, Body::Pull(pull));
        }
        if fetch {
            self.observe_version(now, from, version);
        }
    }

    /// Counts the pending confirmations whose state the process now holds.
    fn apply_pending_confirmations(&mut self) {
        let version = self.store.version();
        let withdrawn = &self.withdrawn;
        self.lease.apply_pending(version, withdrawn);
        self.control.apply_pending(version, withdrawn);
        self.update_synced();
    }
}
