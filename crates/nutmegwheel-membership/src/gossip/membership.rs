use std::time::Instant;

use super::{Event, Gossip, Outgoing};
use crate::table::Learnt;
use crate::{Announcement, AnnouncementState, Body, Health, LinkAddress, Record, Standing};

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
            own.standing = Standing::Leaving;
            if let Some(announcement) = &mut own.announcement {
                announcement.state = AnnouncementState::Leaving;
            }
        });
        self.flush(now)
    }

    /// Tells the others that the process is gone; the last call before it exits.
    pub fn stop(&mut self, now: Instant) -> Vec<Outgoing> {
        self.state(|own| {
            own.standing = Standing::Leaving;
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

/// Says whether a delay would send work to a process that cannot take it.
fn cannot_wait(record: &Record) -> bool {
    record.standing == Standing::Leaving
        || record.health == Health::Dead
        || record
            .announcement
            .as_ref()
            .is_some_and(|a| a.state == AnnouncementState::Leaving)
}

/// What the process learns about others.
impl Gossip {
    /// Takes records in and passes on at once those whose news cannot wait.
    pub(super) fn learn(&mut self, now: Instant, from: LinkAddress, records: &[Record]) -> usize {
        let mut urgent = Vec::new();
        let mut count = 0;
        for record in records {
            if record.name == self.options.name {
                self.refute(record);
                continue;
            }
            let Some(learnt) = self.table.learn(now, record) else {
                continue;
            };
            count += 1;
            self.rumours.record(&record.name);
            let is_urgent = self.report(&learnt, record);
            if is_urgent && (cannot_wait(record) || !self.rumours.is_full()) {
                urgent.push(record.clone());
            }
        }
        if !urgent.is_empty() {
            self.tell_at_once(&urgent, &[], Some(from));
        }
        count
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
        let was_leaving = before.is_some_and(|b| b.standing == Standing::Leaving);
        if learnt.merge.health && record.health != Health::Alive {
            self.report_health(&record);
            return record.health == Health::Dead;
        }
        if is_new_life && (was_dead || was_leaving) {
            self.events.push(Event::Joined(record.clone()));
        }
        if record.standing == Standing::Leaving && !was_leaving {
            self.events.push(Event::Leaving(record));
        } else if learnt.merge.owner {
            self.events.push(Event::Announced(record));
        }
        true
    }

    fn report_health(&mut self, record: &Record) {
        let record = record.clone();
        let event = match (record.health, record.standing) {
            (Health::Dead, Standing::Leaving) => Event::Left(record),
            (Health::Dead, Standing::Active) => Event::Died(record),
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
        self.send(target, Body::Rumours { records, withdrawn });
    }

    /// Declares dead the suspects that did not refute in time.
    pub(super) fn expire(&mut self, now: Instant) {
        for mut record in self.table.expire(now) {
            record.health = Health::Dead;
            self.learn(now, self.options.link, &[record]);
        }
    }
}
