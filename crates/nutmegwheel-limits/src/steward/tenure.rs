use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId};

use super::{Error, Output, RENEWAL_INTERVAL, Steward, book::Book};
use crate::{
    MicroTokens,
    lease::{LeaseReply, RoundOutcome},
    messages::{Ask, AskItem, Grant},
    share::{Renewal, ShareVersion},
};

/// Timer and answers.
impl Steward {
    /// Does what is due; to be called every 100 ms or so and after each answer taken in.
    ///
    /// `jitter` is a random time of up to one renewal interval of the lease, which keeps candidates
    /// from splitting the votes over and over.
    pub fn poll(&mut self, now: Instant, jitter: Duration) -> Vec<Output> {
        self.sync(now);
        let mut out = Vec::new();
        self.poll_stop(&mut out);
        self.poll_lease(now, jitter, &mut out);
        self.poll_renewal(now, &mut out);
        out
    }

    /// Takes in a seed's answer; after [`RoundOutcome::Acquired`] the buckets are empty.
    pub fn lease_reply(&mut self, seed: &ProcessName, reply: &LeaseReply, now: Instant) {
        if self.holder.reply(seed, reply, now) == RoundOutcome::Acquired {
            self.books.clear();
            self.doors.clear();
            self.open_books(now);
        }
    }

    /// Takes in the control leader's answer, and says whether it was of use.
    pub fn renewal(&mut self, renewal: &Renewal, now: Instant) -> bool {
        self.sync(now);
        let is_new = self.held.renewed(renewal);
        self.sync(now);
        self.open_books(now);
        is_new
    }

    /// Answers a door.
    ///
    /// # Errors
    ///
    /// [`Error::NotSteward`] when it must not; the door then asks another process.
    pub fn ask(&mut self, ask: &Ask, now: Instant) -> Result<Grant, Error> {
        if !self.is_serving(now) {
            return Err(Error::NotSteward {
                door: ask.door.name.clone(),
                seq: ask.seq,
            });
        }
        self.sync(now);
        let lease_left = self.holder.remaining(now);
        let last = self.doors.entry(ask.door.clone()).or_default();
        let is_new = ask.seq > *last;
        *last = ask.seq.max(*last);
        let books = &mut self.books;
        let answer = |item: &AskItem| {
            let book = books.get_mut(&item.workspace)?;
            book.answer(&ask.door, ask.seq, item, is_new, lease_left, now)
        };
        Ok(Grant {
            seq: ask.seq,
            items: ask.items.iter().filter_map(answer).collect(),
        })
    }

    /// What the doors asked for per second, for the control leader.
    pub fn demand(&mut self, now: Instant) -> BTreeMap<WorkspaceId, MicroTokens> {
        self.books
            .iter_mut()
            .map(|(w, book)| (w.clone(), book.demand(now)))
            .collect()
    }

    /// The version that this steward and every later one of its data centre are held to.
    ///
    /// A smaller burst is confirmed only when the tokens at the doors fit into it.
    #[must_use]
    pub fn confirmable(&self, now: Instant) -> ShareVersion {
        let fits = self.books.values().all(Book::fits);
        if self.is_serving(now) && fits {
            self.holder.backed_shares()
        } else {
            0
        }
    }

    fn poll_stop(&mut self, out: &mut Vec<Output>) {
        if self.is_stopping && !self.books.is_empty() && self.books.values().all(Book::is_idle) {
            self.books.clear();
            out.push(Output::Release(self.holder.release()));
        }
    }

    fn poll_lease(&mut self, now: Instant, jitter: Duration, out: &mut Vec<Output>) {
        let is_done = self.is_stopping && self.books.is_empty();
        if now < self.holder.next_try() || self.held.version() == 0 || is_done {
            return;
        }
        if self.holder.is_split(now) {
            out.push(Output::Release(self.holder.release()));
            self.holder.delay(jitter);
            return;
        }
        out.push(Output::Lease(
            self.holder.begin_round(self.held.version(), now),
        ));
    }

    fn poll_renewal(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + RENEWAL_INTERVAL;
        let confirmed = self.confirmable(now);
        let demand = if self.is_serving(now) {
            self.demand(now)
        } else {
            BTreeMap::new()
        };
        out.push(Output::Renewal(
            self.held.begin_renewal(confirmed, demand, now),
        ));
    }

    /// Brings every book to the limits in force, down to the floors exactly when the lease on the rest
    /// ended.
    fn sync(&mut self, now: Instant) {
        for (workspace, book) in &mut self.books {
            let limit = self.held.limit(workspace, now);
            book.set_limit(limit, self.held.whole_until(), now);
        }
    }

    /// Opens a book for each workspace that has a share and none yet.
    fn open_books(&mut self, now: Instant) {
        if self.is_stopping {
            return;
        }
        for workspace in self.held.workspaces() {
            let open = || Book::empty(self.held.limit(workspace, now), now);
            self.books.entry(workspace.clone()).or_insert_with(open);
        }
    }
}
