use std::time::{Duration, Instant};

use nutmegwheel_types::KeyHash;

use super::{Gossip, is_due};
use crate::table::{BUCKETS, Remote};
use crate::{Body, Digest, LinkAddress, Record};

/// The peers that get urgent news at once.
const FAN_OUT: usize = 4;
/// The peers that get what is on the way at every push.
const PUSH_TO: usize = 2;
/// How often what is on the way is pushed.
const PUSH: Duration = Duration::from_millis(200);
/// How often tables are compared with one peer.
const COMPARE: Duration = Duration::from_secs(3);
/// How often a seed compares tables with one of the contacts of its settings.
const CONTACT: Duration = Duration::from_secs(10);
/// The records that travel on a probe or its answer.
const PIGGYBACKED: usize = 4;
/// How soon tables are compared again after a comparison that brought news.
const COMPARE_AGAIN: Duration = Duration::from_millis(500);
/// The records at which an exchange takes in no further bucket.
const RECORDS_AT_ONCE: usize = 100;
/// The records in one message of an answer to a join.
const RECORDS_IN_JOIN: usize = 24;
/// The bytes of a withdrawn key in a message.
const KEY_BYTES: usize = 34;

/// Passing on what is new.
impl Gossip {
    /// Passes news on at once, to a few members here and, from a gateway, to its partners.
    pub(super) fn tell_at_once(
        &mut self,
        records: &[Record],
        withdrawn: &[KeyHash],
        from: Option<LinkAddress>,
    ) {
        for record in records {
            self.rumours.urgent_record(&record.name);
        }
        for key in withdrawn {
            self.rumours.withdrawn(*key);
        }
        let own = self.table.own().data_centre.clone();
        let mut here = self.table.local().to_vec();
        here.retain(|address| Some(*address) != from);
        for to in self.random.draw(&mut here, FAN_OUT) {
            self.push(to, records.to_vec(), withdrawn.to_vec());
        }
        // Other data centres hear of a member from its own one, so that no news goes in circles.
        let mine: Vec<Record> = records
            .iter()
            .filter(|r| r.data_centre == own)
            .cloned()
            .collect();
        if mine.is_empty() && withdrawn.is_empty() && !records.is_empty() {
            return;
        }
        for way in self.table.remote().to_vec() {
            for to in way.partners {
                self.push(to, mine.clone(), withdrawn.to_vec());
            }
        }
    }

    fn push(&mut self, to: LinkAddress, records: Vec<Record>, withdrawn: Vec<KeyHash>) {
        let bytes: usize = records.iter().map(Record::size).sum();
        self.budget.spend(bytes + withdrawn.len() * KEY_BYTES);
        self.send(to, Body::Rumours { records, withdrawn });
    }

    /// Pushes what is on the way, as far as the budget goes.
    pub(super) fn push_rumours(&mut self, now: Instant) {
        if self.rumours.is_empty() || !self.budget.has_left() {
            return;
        }
        if !is_due(&mut self.timers.pushed, now, PUSH) {
            return;
        }
        let rounds = self.rounds();
        let batch = self.rumours.take(rounds);
        let records = self.records_of(&batch.records);
        let mut here = self.table.local().to_vec();
        for to in self.random.draw(&mut here, PUSH_TO) {
            self.push(to, records.clone(), batch.withdrawn.clone());
        }
    }

    /// Takes records for a probe or its answer.
    pub(super) fn piggyback(&mut self) -> Vec<Record> {
        if self.rumours.is_empty() || !self.budget.has_left() {
            return Vec::new();
        }
        let rounds = self.rounds();
        let names = self.rumours.take_records(rounds, PIGGYBACKED);
        let records = self.records_of(&names);
        self.budget.spend(records.iter().map(Record::size).sum());
        records
    }

    /// How often an item is passed on: enough for all of the data centre to get it.
    fn rounds(&self) -> u32 {
        let members = self.table.local().len().max(2);
        members.ilog2().div_ceil(2)
    }

    fn records_of(&self, names: &[nutmegwheel_types::ProcessName]) -> Vec<Record> {
        names
            .iter()
            .filter_map(|name| self.table.get(name).cloned())
            .collect()
    }
}

/// Comparing tables.
impl Gossip {
    /// Sends digests to one member here, to one in each data centre this process is a gateway
    /// for, and now and then to a contact of the settings.
    pub(super) fn compare(&mut self, now: Instant) {
        if is_due(&mut self.timers.compared, now, COMPARE) {
            let here = self.table.local().to_vec();
            self.compare_with_one_of(&here);
            for way in self.table.remote().to_vec() {
                let choice = self.partner(&way);
                self.compare_with_one_of(&choice);
            }
        }
        if self.duty.is_some() && is_due(&mut self.timers.contacted, now, CONTACT) {
            let contacts = self.options.contacts.clone();
            self.compare_with_one_of(&contacts);
        }
    }

    /// Mostly the gateways of the other data centre, at times anyone there, in case they are gone.
    fn partner(&mut self, way: &Remote) -> Vec<LinkAddress> {
        const ANYONE_IN: usize = 4;
        if self.random.below(ANYONE_IN) == 0 || way.partners.is_empty() {
            return way.all.clone();
        }
        way.partners.clone()
    }

    fn compare_with_one_of(&mut self, peers: &[LinkAddress]) {
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
            log: self.withdrawn.log(),
            count: self.withdrawn.count(),
            digest: self.withdrawn.digest(),
        }
    }

    /// Answers a digest with the records of some buckets that differ.
    pub(super) fn receive_digest(&mut self, from: LinkAddress, digest: &Digest) {
        self.read_list_of(from, digest);
        let own = self.table.buckets();
        if digest.buckets.len() != own.len() || !self.budget.has_left() {
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
        let (buckets, records) = self.choose(&mut differing);
        self.budget.spend(records.iter().map(Record::size).sum());
        self.send(from, Body::Sync { buckets, records });
    }

    /// Draws as many of the buckets as go into one exchange, with the own records in them.
    fn choose(&mut self, differing: &mut [u32]) -> (Vec<u32>, Vec<Record>) {
        let per_bucket = self.table.all().count().div_ceil(BUCKETS as usize).max(1);
        let count = (RECORDS_AT_ONCE / per_bucket).max(1);
        let buckets = self.random.draw(differing, count);
        let records = self.table.in_buckets(&buckets);
        let records = records.into_iter().cloned().collect();
        (buckets, records)
    }

    /// Takes the records of some buckets in and returns those that the peer lacks.
    pub(super) fn receive_sync(
        &mut self,
        now: Instant,
        from: LinkAddress,
        buckets: &[u32],
        records: &[Record],
    ) {
        let newer = self.newer_than(buckets, records);
        let learnt = self.learn(now, from, records);
        let is_news = learnt > 0 || !newer.is_empty();
        if !newer.is_empty() {
            self.push(from, newer, Vec::new());
        }
        if is_news && self.budget.has_left() {
            self.timers.compared = (now + COMPARE_AGAIN).checked_sub(COMPARE);
            self.send(from, Body::Digest(self.digest()));
        }
    }

    fn newer_than(&self, buckets: &[u32], theirs: &[Record]) -> Vec<Record> {
        let is_newer = |mine: &&Record| {
            let their = theirs.iter().find(|record| record.name == mine.name);
            match their {
                Some(their) => their.clone().merge(mine).any(),
                None => mine.health != crate::Health::Dead,
            }
        };
        let mine = self.table.in_buckets(buckets);
        mine.into_iter().filter(is_newer).cloned().collect()
    }

    /// Answers a process that joins with the whole table.
    pub(super) fn receive_join(&mut self, now: Instant, from: LinkAddress, record: &Record) {
        self.learn(now, from, std::slice::from_ref(record));
        let all: Vec<Record> = self.table.all().cloned().collect();
        for records in all.chunks(RECORDS_IN_JOIN) {
            let records = records.to_vec();
            let withdrawn = Vec::new();
            self.send(from, Body::Rumours { records, withdrawn });
        }
    }
}
