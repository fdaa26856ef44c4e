use std::time::Instant;

use nutmegwheel_types::{ConfigVersion, KeyHash, plain_copy};

use super::{Event, Gossip, Outgoing, ReadList};
use crate::configuration::{Received, Request};
use crate::freshness::{SeedState, SeedStatus, Step};
use crate::{
    Body, Configuration, ConfigurationPart, Confirmation, Digest, LinkAddress, Pull, Renew,
    Withdraw, WithdrawAck, WithdrawnPart,
};

/// The withdrawn keys in one answer to a pull.
const KEYS_IN_PART: usize = 128;

plain_copy! {
    /// Where an answer to a pull belongs.
    struct Place {
        log_id: u64,
        end: u64,
    }
}

/// The configuration.
impl Gossip {
    /// Holds a configuration that the caller accepted, tells of its version and lets peers fetch
    /// it. An older one than the one held is ignored.
    pub fn set_configuration(
        &mut self,
        now: Instant,
        configuration: Configuration,
    ) -> Vec<Outgoing> {
        if self.store.set(configuration) {
            self.tell_at_once(&[], &[], None);
            self.count_again();
            self.fetch(now);
        }
        self.flush(now)
    }

    /// Takes note that the caller could not apply what [`Event::ConfigurationFetched`] gave it; a whole snapshot
    /// is fetched after a pause.
    pub fn reject_configuration(&mut self, now: Instant) {
        self.store.reject(now);
    }

    pub(super) fn hear_version(&mut self, now: Instant, from: LinkAddress, version: ConfigVersion) {
        if version > self.store.version() {
            if self.store.heard(from, version) {
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
            Received::Nothing => {}
            Received::More(request) => self.send_fetch(&request),
            Received::Whole(change) => self.events.push(Event::ConfigurationFetched(change)),
        }
    }
}

/// Withdrawn keys.
impl Gossip {
    /// Takes a withdrawal in, passes it on at once and follows how far it comes.
    ///
    /// `committed` says that it stands in the control log; only then are the data centres asked
    /// for their word, see docs/spec/SPREAD.md.
    pub fn withdraw(&mut self, now: Instant, key: KeyHash, committed: bool) -> Vec<Outgoing> {
        self.followed.follow(key, committed);
        self.add_withdrawn(&[key], None);
        if committed {
            self.ask_data_centres(now);
        }
        self.flush(now)
    }

    /// Takes in withdrawals that the configuration or the log holds, without following them.
    pub fn load_withdrawn(&mut self, keys: impl IntoIterator<Item = KeyHash>) {
        for key in keys {
            self.withdrawn.add(key);
        }
        self.count_again();
    }

    /// Adds keys and passes the new ones on at once.
    pub(super) fn add_withdrawn(&mut self, keys: &[KeyHash], from: Option<LinkAddress>) {
        let mut fresh = Vec::new();
        for key in keys {
            if self.withdrawn.add(*key) {
                self.events.push(Event::Withdrawn(*key));
                fresh.push(*key);
            }
        }
        if !fresh.is_empty() {
            self.tell_at_once(&[], &fresh, from);
            self.count_again();
        }
    }

    /// Asks a seed of each data centre for its word on the followed withdrawals.
    pub(super) fn ask_data_centres(&mut self, now: Instant) {
        if !self.followed.is_open() {
            return;
        }
        for data_centre in self.needed_data_centres() {
            let mut seeds = self.table.seeds_of(&data_centre);
            let Some(to) = self.random.draw(&mut seeds, 1).first().copied() else {
                continue;
            };
            let hashes = self.followed.due(now, &data_centre);
            if hashes.is_empty() {
                continue;
            }
            let sequence = self.sequence();
            let request = Withdraw {
                sequence,
                committed: true,
                hashes,
            };
            self.send(to, Body::Withdraw(request));
        }
    }

    pub(super) fn receive_withdraw(&mut self, now: Instant, from: LinkAddress, asked: &Withdraw) {
        self.add_withdrawn(&asked.hashes, Some(from));
        let mut in_force = Vec::new();
        if let Some(seed_state) = &mut self.seed_state {
            if asked.committed {
                seed_state.committed(now, &asked.hashes);
            }
            seed_state.advance_in_force(now);
            in_force.extend(
                asked
                    .hashes
                    .iter()
                    .filter(|key| seed_state.is_in_force(key)),
            );
            let requests = seed_state.spread(now);
            for (to, request) in requests {
                self.send(to, Body::Withdraw(request));
            }
        }
        let answer = WithdrawAck {
            sequence: asked.sequence,
            log_id: self.withdrawn.log_id(),
            held: asked.hashes.clone(),
            in_force,
        };
        self.send(from, Body::WithdrawAck(answer));
    }

    pub(super) fn receive_held(&mut self, now: Instant, from: LinkAddress, answer: &WithdrawAck) {
        if let Some(record) = self.table.at(from)
            && record.seed
        {
            let data_centre = record.data_centre.clone();
            self.followed.confirm(&data_centre, &answer.in_force);
            let all = self.needed_data_centres();
            self.followed.finish(&all);
        }
        if let Some(seed_state) = &mut self.seed_state {
            seed_state.held(now, from, answer);
            let requests = seed_state.spread(now);
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
            hashes: self.withdrawn.since(pull.from, KEYS_IN_PART).to_vec(),
        };
        self.send(from, Body::Withdrawn(part));
    }

    pub(super) fn receive_withdrawn(&mut self, from: LinkAddress, part: &WithdrawnPart) {
        self.lease.read(from, part);
        self.control.read(from, part);
        self.add_withdrawn(&part.hashes, Some(from));
        self.count_again();
        let length = u64::try_from(part.hashes.len()).unwrap_or_default();
        let place = Place {
            log_id: part.log_id,
            end: part.from.saturating_add(length),
        };
        self.read_on(from, place, part.count);
    }

    /// Reads the list of a peer on from where it was read to.
    fn read_on(&mut self, from: LinkAddress, place: Place, count: u64) {
        let Place { log_id, end } = place;
        self.read_lists
            .insert(from, ReadList { log_id, count: end });
        if end < count {
            self.send(from, Body::Pull(Pull { log_id, from: end }));
        }
    }

    /// Reads what the list of a peer that compares tables holds beyond what was read of it.
    pub(super) fn read_list_of(&mut self, from: LinkAddress, digest: &Digest) {
        if digest.digest == self.withdrawn.digest() && digest.count == self.withdrawn.count() {
            return;
        }
        let read = self
            .read_lists
            .get(&from)
            .filter(|list| list.log_id == digest.log_id);
        let end = read.map_or(0, |list| list.count);
        let log_id = digest.log_id;
        if end < digest.count {
            self.send(from, Body::Pull(Pull { log_id, from: end }));
        }
    }
}

/// Confirmations.
impl Gossip {
    pub(super) fn answer_renew(&mut self, now: Instant, from: LinkAddress, renew: Renew) {
        let is_authority = self.is_authority(now);
        let seed_state = self.seed_state.as_ref();
        let status = SeedStatus {
            synced: is_authority || seed_state.is_some_and(SeedState::is_synced),
            authority: is_authority,
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
        let sent = self.lease.sent(from, sequence);
        let sent = sent.or_else(|| self.control.sent(from, sequence));
        let Some(sent) = sent else {
            return;
        };
        if let Some(heartbeat) = confirmation.heartbeat {
            self.latest_heartbeat.observe(sent, heartbeat);
        }
        let version = self.store.version();
        let withdrawn = &self.withdrawn;
        let step = self.lease.confirm(from, confirmation, version, withdrawn);
        self.follow_step(now, from, confirmation.version, step);
        let withdrawn = &self.withdrawn;
        let step = self
            .control
            .confirm(now, from, confirmation, version, withdrawn);
        self.follow_step(now, from, confirmation.version, step);
        self.update_synced();
    }

    fn follow_step(&mut self, now: Instant, from: LinkAddress, version: ConfigVersion, step: Step) {
        let Step::Behind { pull, fetch } = step else {
            return;
        };
        if let Some(pull) = pull {
            self.send(from, Body::Pull(pull));
        }
        if fetch {
            self.hear_version(now, from, version);
        }
    }

    /// Counts confirmations that waited for what the process holds by now.
    fn count_again(&mut self) {
        let version = self.store.version();
        let withdrawn = &self.withdrawn;
        self.lease.caught_up(version, withdrawn);
        self.control.caught_up(version, withdrawn);
        self.update_synced();
    }
}
