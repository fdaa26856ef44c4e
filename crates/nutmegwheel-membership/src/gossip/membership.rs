use std::time::Instant;

use super::{Event, Gossip, Outgoing};
use crate::broadcast_queue::Urgency;
use crate::table::MergeOutcome;
use crate::{Announcement, AnnouncementState, Body, Health, LinkAddress, MemberStatus, Record};

/// Updates of this process's record.
impl Gossip {
    /// Announces the backend server, or with `None` that there is none any more.
    pub fn announce(&mut self, now: Instant, announcement: Option<Announcement>) -> Vec<Outgoing> {
        if self.table.own().announcement == announcement {
            return Vec::new();
        }
        self.update_own(|own| own.announcement = announcement);
        self.flush(now)
    }

    /// Announces that the process and its backend server are leaving.
    pub fn leave(&mut self, now: Instant) -> Vec<Outgoing> {
        self.update_own(|own| {
            own.status = MemberStatus::Leaving;
            if let Some(announcement) = &mut own.announcement {
                announcement.state = AnnouncementState::Leaving;
            }
        });
        self.flush(now)
    }

    /// Announces that the process has stopped. This must be the last call before it exits: later
    /// ticks and messages have no effect.
    pub fn stop(&mut self, now: Instant) -> Vec<Outgoing> {
        self.update_own(|own| {
            own.status = MemberStatus::Leaving;
            own.health = Health::Dead;
        });
        self.is_stopped = true;
        self.flush(now)
    }

    fn update_own(&mut self, change: impl FnOnce(&mut Record)) {
        let mut own = self.table.own().clone();
        change(&mut own);
        own.counter += 1;
        self.table.set_own(own.clone());
        self.broadcast(&[own], &[], None);
    }
}

/// An answer with at most this many records counts as updates that other members may lack too; a
/// longer answer is part of a whole table that this process fetches.
const MAX_UPDATE_RECORDS: usize = 12;

/// Classifies an update as urgent if, until it arrives, peers would send work to a process that
/// cannot accept it.
pub(super) fn urgency(record: &Record) -> Urgency {
    let announcement = record.announcement.as_ref();
    let is_leaving = record.status == MemberStatus::Leaving
        || record.health == Health::Dead
        || announcement.is_some_and(|a| a.state == AnnouncementState::Leaving);
    if is_leaving {
        Urgency::Urgent
    } else {
        Urgency::Deferrable
    }
}

/// Updates about other processes.
impl Gossip {
    /// Merges pushed updates and forwards the new ones.
    pub(super) fn apply_updates(&mut self, now: Instant, from: LinkAddress, records: &[Record]) {
        self.merge_records(now, from, records, |_, _| true);
    }

    /// Merges records from anti-entropy, forwards those that other members may have missed too, and
    /// returns how many changed the table.
    pub(super) fn apply_records(
        &mut self,
        now: Instant,
        from: LinkAddress,
        records: &[Record],
    ) -> usize {
        let is_update = records.len() <= MAX_UPDATE_RECORDS;
        self.merge_records(now, from, records, |outcome, record| {
            let is_known = outcome.previous.is_some();
            is_update || (is_known && urgency(record) == Urgency::Urgent)
        })
    }

    /// Merges records, forwards those that `should_forward` selects, and returns how many changed
    /// the table.
    ///
    /// If this process holds a newer record that declares a process dead, it answers the sender of
    /// the older one with it.
    fn merge_records(
        &mut self,
        now: Instant,
        from: LinkAddress,
        records: &[Record],
        should_forward: impl Fn(&MergeOutcome, &Record) -> bool,
    ) -> usize {
        let mut to_broadcast = Vec::new();
        let mut outdated = Vec::new();
        let mut count = 0;
        for record in records {
            if record.name == self.options.name {
                self.refute(record);
                continue;
            }
            let Some(outcome) = self.table.merge(now, record) else {
                outdated.extend(self.newer_dead_record(record));
                continue;
            };
            count += 1;
            let should_broadcast = self.emit_events(&outcome, record);
            if !should_forward(&outcome, record) {
                continue;
            }
            let is_deferrable = urgency(record) == Urgency::Deferrable;
            let is_constrained = self.broadcasts.is_full() || !self.budget.is_above_reserve();
            self.broadcasts
                .enqueue_record(&record.name, urgency(record));
            if should_broadcast && !(is_deferrable && is_constrained) {
                to_broadcast.push(record.clone());
            }
        }
        if !to_broadcast.is_empty() {
            self.broadcast(&to_broadcast, &[], Some(from));
        }
        if from != self.options.link {
            self.send_records(from, outdated);
        }
        count
    }

    /// The record of a dead process, if it is newer than the one received. It must be sent back,
    /// because anti-entropy does not compare dead processes.
    fn newer_dead_record(&self, received: &Record) -> Option<Record> {
        let mine = self.table.get(&received.name)?;
        let is_newer = mine.health == Health::Dead && received.clone().merge(mine).has_changes();
        is_newer.then(|| mine.clone())
    }

    /// Adopts an incarnation above the received one, if the peer suspects this process or holds a
    /// newer record of an earlier run.
    fn refute(&mut self, received: &Record) {
        let own = self.table.own();
        let is_older = received.incarnation < own.incarnation;
        let is_known = received.incarnation == own.incarnation
            && received.counter <= own.counter
            && received.health == Health::Alive;
        if is_older || is_known || self.is_stopped {
            return;
        }
        let incarnation = received.incarnation.saturating_add(1);
        self.update_own(|own| own.incarnation = incarnation);
        self.events.push(Event::Refuted(incarnation));
    }

    /// Emits the events for a merged record, and returns whether to broadcast the record immediately.
    fn emit_events(&mut self, outcome: &MergeOutcome, received: &Record) -> bool {
        let Some(record) = self.table.get(&received.name).cloned() else {
            return false;
        };
        let previous = outcome.previous;
        let is_new_incarnation = previous.is_none_or(|p| p.incarnation < record.incarnation);
        let was_dead = previous.is_none_or(|p| p.health == Health::Dead);
        let was_leaving = previous.is_some_and(|p| p.status == MemberStatus::Leaving);
        if outcome.merge.health && record.health != Health::Alive {
            self.emit_health_event(&record);
            return record.health == Health::Dead;
        }
        if is_new_incarnation && (was_dead || was_leaving) {
            self.events.push(Event::Joined(record.clone()));
        }
        if record.status == MemberStatus::Leaving && !was_leaving {
            self.events.push(Event::Leaving(record));
        } else if outcome.merge.owner {
            self.events.push(Event::Announced(record));
        }
        true
    }

    fn emit_health_event(&mut self, record: &Record) {
        let record = record.clone();
        let event = match (record.health, record.status) {
            (Health::Dead, MemberStatus::Leaving) => Event::Left(record),
            (Health::Dead, MemberStatus::Active) => Event::Died(record),
            _ => Event::Suspected(record),
        };
        self.events.push(event);
    }

    /// Marks a member that did not answer as suspect, and notifies it so that it can refute.
    pub(super) fn suspect(&mut self, now: Instant, target: LinkAddress) {
        let Some(mut record) = self.table.get_by_address(target).cloned() else {
            return;
        };
        if record.health != Health::Alive {
            return;
        }
        record.health = Health::Suspect;
        self.apply_updates(now, self.options.link, std::slice::from_ref(&record));
        let records = vec![record];
        let withdrawn = Vec::new();
        self.send(target, Body::Updates { records, withdrawn });
    }

    /// Declares dead the suspects that did not refute in time.
    pub(super) fn expire(&mut self, now: Instant) {
        for mut record in self.table.expire(now) {
            record.health = Health::Dead;
            self.apply_updates(now, self.options.link, &[record]);
        }
    }
}
