use std::time::Instant;

use super::{Event, Gossip, Outgoing};
use crate::broadcast_queue::Urgency;
use crate::table::Learnt;
use crate::{Announcement, AnnouncementState, Body, Health, LinkAddress, MemberStatus, Record};

/// What the process says about itself.
impl Gossip {
    /// Announces the backend server, or that there is none any more.
    pub fn announce(&mut self, now: Instant, announcement: Option<Announcement>) -> Vec<Outgoing> {
        if self.table.own().announcement == announcement {
            return Vec::new();
        }
        self.state(|own| own.announcement = announcement);
        self.flush(now)
    }

    /// Announces that the process, and its backend server with it, is leaving.
    pub fn leave(&mut self, now: Instant) -> Vec<Outgoing> {
        self.state(|own| {
            own.status = MemberStatus::Leaving;
            if let Some(announcement) = &mut own.announcement {
                announcement.state = AnnouncementState::Leaving;
            }
        });
        self.flush(now)
    }

    /// Tells the others that the process is gone; the last call before it exits.
    pub fn stop(&mut self, now: Instant) -> Vec<Outgoing> {
        self.state(|own| {
            own.status = MemberStatus::Leaving;
            own.health = Health::Dead;
        });
        self.is_stopped = true;
        self.flush(now)
    }

    fn state(&mut self, change: impl FnOnce(&mut Record)) {
        let mut own = self.table.own().clone();
        change(&mut own);
        own.counter += 1;
        self.table.set_own(own.clone());
        self.tell_at_once(&[own], &[], None);
    }
}

/// The records up to which an answer is taken for news that others lack too; more are a table that
/// this process fetches.
const NEWS_RECORDS: usize = 12;

/// Says whether a delay would send work to a process that cannot take it.
pub(super) fn urgency(record: &Record) -> Urgency {
    let announcement = record.announcement.as_ref();
    let is_leaving = record.status == MemberStatus::Leaving
        || record.health == Health::Dead
        || announcement.is_some_and(|a| a.state == AnnouncementState::Leaving);
    if is_leaving {
        Urgency::CannotWait
    } else {
        Urgency::CanWait
    }
}

/// What the process learns about others.
impl Gossip {
    /// Takes news in and passes on at once what cannot wait.
    pub(super) fn learn(&mut self, now: Instant, from: LinkAddress, records: &[Record]) {
        self.take_in(now, from, records, |_, _| true);
    }

    /// Takes in what rumours missed, and passes on what others may have missed with this process.
    pub(super) fn learn_missed(
        &mut self,
        now: Instant,
        from: LinkAddress,
        records: &[Record],
    ) -> usize {
        let is_news = records.len() <= NEWS_RECORDS;
        self.take_in(now, from, records, |learnt, record| {
            let is_known = learnt.before.is_some();
            is_news || (is_known && urgency(record) == Urgency::CannotWait)
        })
    }

    /// Takes records in, and returns how many of them brought something new.
    fn take_in(
        &mut self,
        now: Instant,
        from: LinkAddress,
        records: &[Record],
        is_passed_on: impl Fn(&Learnt, &Record) -> bool,
    ) -> usize {
        let mut at_once = Vec::new();
        let mut outdated = Vec::new();
        let mut count = 0;
        for record in records {
            if record.name == self.options.name {
                self.refute(record);
                continue;
            }
            let Some(learnt) = self.table.learn(now, record) else {
                outdated.extend(self.dead_by_now(record));
                continue;
            };
            count += 1;
            let is_told_at_once = self.report(&learnt, record);
            if !is_passed_on(&learnt, record) {
                continue;
            }
            let may_wait = urgency(record) == Urgency::CanWait;
            let is_scarce = self.broadcasts.is_full() || !self.budget.has_plenty();
            self.broadcasts.record(&record.name, urgency(record));
            if is_told_at_once && !(may_wait && is_scarce) {
                at_once.push(record.clone());
            }
        }
        if !at_once.is_empty() {
            self.tell_at_once(&at_once, &[], Some(from));
        }
        if from != self.options.link {
            self.give(from, outdated);
        }
        count
    }

    /// The own record of a process that a peer takes for living although it is dead: the comparing
    /// of tables leaves the dead out.
    fn dead_by_now(&self, heard: &Record) -> Option<Record> {
        let mine = self.table.get(&heard.name)?;
        let is_newer = mine.health == Health::Dead && heard.clone().merge(mine).any();
        is_newer.then(|| mine.clone())
    }

    /// Goes on above what others hold of an earlier life or of a suspicion.
    fn refute(&mut self, heard: &Record) {
        let own = self.table.own();
        let is_older = heard.incarnation < own.incarnation;
        let is_known = heard.incarnation == own.incarnation
            && heard.counter <= own.counter
            && heard.health == Health::Alive;
        if is_older || is_known || self.is_stopped {
            return;
        }
        let incarnation = heard.incarnation.saturating_add(1);
        self.state(|own| own.incarnation = incarnation);
        self.events.push(Event::Refuted(incarnation));
    }

    /// Reports what a record changed, and says whether it must be passed on at once.
    fn report(&mut self, learnt: &Learnt, heard: &Record) -> bool {
        let Some(record) = self.table.get(&heard.name).cloned() else {
            return false;
        };
        let before = learnt.before;
        let is_new_life = before.is_none_or(|b| b.incarnation < record.incarnation);
        let was_dead = before.is_none_or(|b| b.health == Health::Dead);
        let was_leaving = before.is_some_and(|b| b.status == MemberStatus::Leaving);
        if learnt.merge.health && record.health != Health::Alive {
            self.report_health(&record);
            return record.health == Health::Dead;
        }
        if is_new_life && (was_dead || was_leaving) {
            self.events.push(Event::Joined(record.clone()));
        }
        if record.status == MemberStatus::Leaving && !was_leaving {
            self.events.push(Event::Leaving(record));
        } else if learnt.merge.owner {
            self.events.push(Event::Announced(record));
        }
        true
    }

    fn report_health(&mut self, record: &Record) {
        let record = record.clone();
        let event = match (record.health, record.status) {
            (Health::Dead, MemberStatus::Leaving) => Event::Left(record),
            (Health::Dead, MemberStatus::Active) => Event::Died(record),
            _ => Event::Suspected(record),
        };
        self.events.push(event);
    }

    /// Starts to suspect a member that did not answer, and gives it the chance to refute.
    pub(super) fn suspect(&mut self, now: Instant, target: LinkAddress) {
        let Some(mut record) = self.table.at(target).cloned() else {
            return;
        };
        if record.health != Health::Alive {
            return;
        }
        record.health = Health::Suspect;
        self.learn(now, self.options.link, std::slice::from_ref(&record));
        let records = vec![record];
        let withdrawn = Vec::new();
        self.send(target, Body::Updates { records, withdrawn });
    }

    /// Declares dead the suspects that did not refute in time.
    pub(super) fn expire(&mut self, now: Instant) {
        for mut record in self.table.expire(now) {
            record.health = Health::Dead;
            self.learn(now, self.options.link, &[record]);
        }
    }
}
