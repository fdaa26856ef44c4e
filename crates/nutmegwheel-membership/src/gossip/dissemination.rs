use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use nutmegwheel_types::KeyHash;

use super::membership::urgency;
use super::{Gossip, is_due};
use crate::broadcast_queue::{RetransmitLimits, Urgency};
use crate::table::{BUCKETS, Remote};
use crate::{Body, Digest, LinkAddress, Record, Role};

/// The number of members to which a new urgent update is sent immediately.
const URGENT_FAN_OUT: usize = 4;
/// The number of members to which a new deferrable update is sent immediately.
const DEFERRABLE_FAN_OUT: usize = 2;
/// The number of members to which each push sends queued updates.
const PUSH_FAN_OUT: usize = 2;
const PUSH_INTERVAL: Duration = Duration::from_millis(200);
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(3);
/// The interval of anti-entropy with one of the configured contacts.
const CONTACT_INTERVAL: Duration = Duration::from_secs(10);
/// The interval of anti-entropy with a contact while the process knows no other member of its data
/// centre, or no member of any other data centre: it may have been partitioned, or have joined
/// through a process that had itself just started.
const ISOLATED_CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// The interval of anti-entropy with control VMs that were declared dead.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of addresses at which a process that knows no live control VM looks for one at a
/// time.
const RECONNECT_FAN_OUT: usize = 3;
/// The maximum number of records on a probe or its answer.
const MAX_PIGGYBACKED_RECORDS: usize = 4;
/// The time until the next round of anti-entropy after a round in which updates were received.
const ANTI_ENTROPY_RETRY: Duration = Duration::from_millis(300);
/// This many records fit into one message even with the longest names.
const MAX_RECORDS_PER_MESSAGE: usize = 128;
/// The number of records sent to a joining process when the budget is exhausted: it then knows
/// enough members to run anti-entropy with.
const MAX_JOIN_RECORDS_WITHOUT_BUDGET: usize = 12;
const MAX_HASHES_PER_MESSAGE: usize = 256;
/// The encoded size of a state hash.
const HASH_BYTES: usize = 4;
/// The encoded size of a withdrawn key.
const KEY_BYTES: usize = 34;

/// Rumor mongering: pushing new updates.
impl Gossip {
    /// Pushes updates immediately to a few members of the data centre and, from a gateway, to the
    /// gateways of other data centres.
    pub(super) fn broadcast(
        &mut self,
        records: &[Record],
        withdrawn: &[KeyHash],
        from: Option<LinkAddress>,
    ) {
        for record in records {
            self.broadcasts
                .enqueue_record_uncapped(&record.name, urgency(record));
        }
        for key in withdrawn {
            self.broadcasts.enqueue_key(*key);
        }
        let own = self.table.own().data_centre.clone();
        let mut local = self.table.local().to_vec();
        local.retain(|address| Some(*address) != from);
        for to in self.random.draw(&mut local, fan_out(records)) {
            self.push(to, records.to_vec(), withdrawn.to_vec());
        }
        // Updates about a member reach other data centres only from its own, so that they do not
        // circulate between data centres.
        let mine: Vec<Record> = records
            .iter()
            .filter(|r| r.data_centre == own)
            .cloned()
            .collect();
        if mine.is_empty() && withdrawn.is_empty() && !records.is_empty() {
            return;
        }
        for remote in self.table.remote().to_vec() {
            for to in remote.gateways {
                self.push(to, mine.clone(), withdrawn.to_vec());
            }
        }
    }

    fn push(&mut self, to: LinkAddress, records: Vec<Record>, withdrawn: Vec<KeyHash>) {
        let bytes: usize = records.iter().map(Record::size).sum();
        self.budget.spend(bytes + withdrawn.len() * KEY_BYTES);
        self.send(to, Body::Updates { records, withdrawn });
    }

    /// Pushes queued updates as far as the budget allows.
    pub(super) fn push_broadcasts(&mut self, now: Instant) {
        let Some(min_urgency) = self.min_urgency() else {
            return;
        };
        if self.broadcasts.is_empty(min_urgency)
            || !is_due(&mut self.timers.last_push, now, PUSH_INTERVAL)
        {
            return;
        }
        let limits = self.retransmit_limits();
        let batch = self.broadcasts.take(limits, min_urgency);
        let records = self.records_of(&batch.records);
        let mut local = self.table.local().to_vec();
        for to in self.random.draw(&mut local, PUSH_FAN_OUT) {
            self.push(to, records.clone(), batch.withdrawn.clone());
        }
    }

    /// Takes queued records to piggyback on a probe or its answer.
    pub(super) fn piggyback(&mut self) -> Vec<Record> {
        let Some(min_urgency) = self.min_urgency() else {
            return Vec::new();
        };
        let limits = self.retransmit_limits();
        let names = self
            .broadcasts
            .take_records(limits, min_urgency, MAX_PIGGYBACKED_RECORDS);
        let records = self.records_of(&names);
        self.budget.spend(records.iter().map(Record::size).sum());
        records
    }

    /// The minimum urgency of updates that the budget allows to send, or `None` if it allows none.
    fn min_urgency(&self) -> Option<Urgency> {
        if self.budget.is_above_reserve() {
            Some(Urgency::Deferrable)
        } else if self.budget.can_overdraw() {
            Some(Urgency::Urgent)
        } else {
            None
        }
    }

    /// How many times each member sends an update. Deferrable updates reach nearly all members of
    /// the data centre, and anti-entropy reaches the others; urgent updates reach all of them.
    fn retransmit_limits(&self) -> RetransmitLimits {
        let members = self.table.local().len().max(2);
        RetransmitLimits {
            deferrable: members.ilog2().div_ceil(2),
            urgent: members.ilog2(),
        }
    }

    fn records_of(&self, names: &[nutmegwheel_types::ProcessName]) -> Vec<Record> {
        names
            .iter()
            .filter_map(|name| self.table.get(name).cloned())
            .collect()
    }
}

/// The number of members to which a new update is sent immediately. An update without records
/// announces a new version or withdrawn keys, and is urgent.
fn fan_out(records: &[Record]) -> usize {
    let is_deferrable = |record: &Record| urgency(record) == Urgency::Deferrable;
    if !records.is_empty() && records.iter().all(is_deferrable) {
        DEFERRABLE_FAN_OUT
    } else {
        URGENT_FAN_OUT
    }
}

/// Anti-entropy.
impl Gossip {
    /// Sends digests to one member of the data centre, to one member of each data centre for which
    /// this process is a gateway and, at a longer interval, to a contact.
    pub(super) fn run_anti_entropy(&mut self, now: Instant) {
        if is_due(
            &mut self.timers.last_anti_entropy,
            now,
            ANTI_ENTROPY_INTERVAL,
        ) {
            let local = self.table.local().to_vec();
            self.send_digest_to_one_of(&local);
            for remote in self.table.remote().to_vec() {
                let choice = self.remote_candidates(&remote);
                self.send_digest_to_one_of(&choice);
            }
        }
        if let Some(interval) = self.contact_interval()
            && is_due(&mut self.timers.last_contact, now, interval)
        {
            let mut contacts = self.options.contacts.clone();
            if self.seed_state.is_none() {
                contacts.extend(self.table.control());
            }
            self.send_digest_to_one_of(&contacts);
        }
        if is_due(&mut self.timers.last_reconnect, now, RECONNECT_INTERVAL) {
            self.reconnect_to_control();
        }
    }

    /// Sends digests to control VMs that were declared dead. One that restarted knows only the
    /// other control VMs, and no member sends it anything otherwise.
    fn reconnect_to_control(&mut self) {
        // Until then, peers may not have started, and joining looks for them.
        if !self.timers.is_joined {
            return;
        }
        let mut lost = self.table.dead_control().to_vec();
        if self.table.control().is_empty() {
            // With leases, the contacts are the seeds of all data centres.
            if !self.options.needs_lease {
                lost.extend(&self.options.contacts);
            }
            lost.retain(|address| *address != self.options.link);
            lost.sort_unstable();
            lost.dedup();
            for to in self.random.draw(&mut lost, RECONNECT_FAN_OUT) {
                self.send(to, Body::Digest(self.digest()));
            }
        } else if self.runs_contact_anti_entropy() {
            self.send_digest_to_one_of(&lost);
        }
    }

    /// Whether this process compares its records with contacts. Seeds do it for their data centre;
    /// without leases there are no seeds, and every process does.
    fn runs_contact_anti_entropy(&self) -> bool {
        self.seed_state.is_some() || !self.options.needs_lease
    }

    /// The interval of anti-entropy with a contact, or `None` if this process does not run it.
    /// Without seeds, control VMs run it often and nodes rarely.
    fn contact_interval(&self) -> Option<Duration> {
        if !self.runs_contact_anti_entropy() {
            return None;
        }
        let is_seed = self.seed_state.is_some();
        let is_isolated = self.table.local().is_empty() && !is_seed;
        let has_other_data_centres = self.options.data_centres.len() > 1;
        if is_isolated || (has_other_data_centres && !self.table.knows_other_data_centres()) {
            return Some(ISOLATED_CONTACT_INTERVAL);
        }
        let is_control = self.table.own().role == Role::Control;
        Some(if is_control && !is_seed {
            ANTI_ENTROPY_INTERVAL
        } else {
            CONTACT_INTERVAL
        })
    }

    /// The peers to choose from in another data centre: its gateways or, one time in four, all its
    /// members, in case the gateways have failed.
    fn remote_candidates(&mut self, remote: &Remote) -> Vec<LinkAddress> {
        const ANY_MEMBER_ONE_IN: usize = 4;
        if self.random.below(ANY_MEMBER_ONE_IN) == 0 || remote.gateways.is_empty() {
            return remote.all.clone();
        }
        remote.gateways.clone()
    }

    fn send_digest_to_one_of(&mut self, peers: &[LinkAddress]) {
        if peers.is_empty() {
            return;
        }
        let to = peers[self.random.below(peers.len())];
        if to != self.options.link {
            self.send(to, Body::Digest(self.digest()));
        }
    }

    fn digest(&self) -> Digest {
        Digest {
            buckets: self.table.buckets().to_vec(),
            log_id: self.withdrawn.log_id(),
            count: self.withdrawn.count(),
            digest: self.withdrawn.digest(),
        }
    }

    /// Answers a digest with the hashes of this process's records in some of the buckets that
    /// differ.
    pub(super) fn receive_digest(&mut self, from: LinkAddress, digest: &Digest) {
        self.pull_missing_keys(from, digest);
        let own = self.table.buckets();
        if digest.buckets.len() != own.len() || !self.budget.has_available() {
            return;
        }
        let pairs = own.iter().zip(&digest.buckets).enumerate();
        let mut differing: Vec<u32> = pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .filter_map(|(bucket, _)| u32::try_from(bucket).ok())
            .collect();
        if differing.is_empty() {
            return;
        }
        let buckets = self.sample_buckets(&mut differing);
        let listed = self.table.live_in_buckets(&buckets);
        let hashes: Vec<u32> = listed.iter().map(|record| record.state_hash()).collect();
        self.budget.spend(hashes.len() * HASH_BYTES);
        self.send(from, Body::Sync { buckets, hashes });
    }

    /// Samples as many buckets as have room for their hashes in one message.
    fn sample_buckets(&mut self, differing: &mut [u32]) -> Vec<u32> {
        let per_bucket = self.table.all().count().div_ceil(BUCKETS as usize).max(1);
        let count = (MAX_HASHES_PER_MESSAGE / per_bucket).max(1);
        self.random.draw(differing, count)
    }

    /// Sends the records that a peer lacks, and requests those that only the peer has.
    pub(super) fn receive_sync(&mut self, from: LinkAddress, buckets: &[u32], theirs: &[u32]) {
        let theirs: BTreeSet<u32> = theirs.iter().copied().collect();
        let listed = self.table.live_in_buckets(buckets);
        let mine: BTreeSet<u32> = listed.iter().map(|record| record.state_hash()).collect();
        let lacking = listed
            .into_iter()
            .filter(|record| !theirs.contains(&record.state_hash()));
        let lacking: Vec<Record> = lacking.cloned().collect();
        let mut wanted: Vec<u32> = theirs.difference(&mine).copied().collect();
        let wanted = self.random.draw(&mut wanted, MAX_RECORDS_PER_MESSAGE);
        if !wanted.is_empty() {
            self.budget.spend(wanted.len() * HASH_BYTES);
            self.send(from, Body::RecordRequest(wanted));
        }
        self.send_records(from, lacking);
    }

    pub(super) fn answer_record_request(&mut self, from: LinkAddress, hashes: &[u32]) {
        let hashes: BTreeSet<u32> = hashes.iter().copied().collect();
        let wanted = self
            .table
            .live()
            .filter(|record| hashes.contains(&record.state_hash()));
        let wanted = wanted.cloned().collect();
        self.send_records(from, wanted);
    }

    /// Sends as many records as fit into one message, or none if the budget is exhausted.
    pub(super) fn send_records(&mut self, to: LinkAddress, mut records: Vec<Record>) {
        records.truncate(MAX_RECORDS_PER_MESSAGE);
        if records.is_empty() || !self.budget.has_available() {
            return;
        }
        self.budget.spend(records.iter().map(Record::size).sum());
        self.send(to, Body::Records(records));
    }

    /// Merges records that this process lacked, and schedules the next round of anti-entropy soon,
    /// so that the table is fetched in parts from many members.
    pub(super) fn receive_records(&mut self, now: Instant, from: LinkAddress, records: &[Record]) {
        self.timers.is_joined |= records.iter().any(|record| record.link == from);
        if self.apply_records(now, from, records) > 0 {
            self.timers.last_anti_entropy =
                (now + ANTI_ENTROPY_RETRY).checked_sub(ANTI_ENTROPY_INTERVAL);
        }
    }

    /// Answers a joining process with its own record, which shows whether an earlier incarnation is
    /// known, and with the members of its data centre.
    pub(super) fn receive_join(&mut self, now: Instant, from: LinkAddress, record: &Record) {
        self.apply_updates(now, from, std::slice::from_ref(record));
        let is_other_member =
            |r: &&Record| r.data_centre == record.data_centre && r.name != record.name;
        let mut members: Vec<Record> = self.table.live().filter(is_other_member).cloned().collect();
        if !self.budget.has_available() {
            members.truncate(MAX_JOIN_RECORDS_WITHOUT_BUDGET);
        }
        let known = self.table.get(&record.name).cloned();
        let mut answer: Vec<Record> = known.into_iter().collect();
        answer.push(self.table.own().clone());
        answer.extend(members);
        for records in answer.chunks(MAX_RECORDS_PER_MESSAGE) {
            self.budget.spend(records.iter().map(Record::size).sum());
            self.send(from, Body::Records(records.to_vec()));
        }
    }
}
