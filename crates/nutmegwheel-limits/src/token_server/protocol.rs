use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId};

use super::{Error, Output, RENEWAL_INTERVAL, TokenServer, ledger::Ledger};
use crate::{
    MicroTokens,
    lease::{LeaseReply, RoundOutcome},
    messages::{Grant, TokenRequest, TokenRequestItem},
    share::{Renewal, ShareVersion},
};

impl TokenServer {
    /// Returns the messages that are due. Call it about every 100 ms and after each reply.
    ///
    /// `jitter` is a random time of up to one renewal interval of the lease, which keeps candidates
    /// from splitting the vote repeatedly.
    pub fn poll(&mut self, now: Instant, jitter: Duration) -> Vec<Output> {
        self.apply_limits(now);
        let mut out = Vec::new();
        self.poll_stop(&mut out);
        self.poll_lease(now, jitter, &mut out);
        self.poll_renewal(now, &mut out);
        out
    }

    /// Handles a seed's reply. After [`RoundOutcome::Acquired`] the buckets are empty.
    pub fn on_lease_reply(&mut self, seed: &ProcessName, reply: &LeaseReply, now: Instant) {
        if self.holder.on_reply(seed, reply, now) == RoundOutcome::Acquired {
            self.ledgers.clear();
            self.last_seq.clear();
            self.open_ledgers(now);
        }
    }

    /// Handles the control leader's answer. Returns false if it is outdated and was ignored.
    pub fn on_renewal(&mut self, renewal: &Renewal, now: Instant) -> bool {
        self.apply_limits(now);
        let is_new = self.shares.apply_renewal(renewal);
        self.apply_limits(now);
        self.open_ledgers(now);
        is_new
    }

    /// Answers a token request.
    ///
    /// # Errors
    ///
    /// [`Error::NotTokenServer`] unless [`Self::is_serving`]; the ingress node then tries another
    /// process.
    pub fn on_request(&mut self, req: &TokenRequest, now: Instant) -> Result<Grant, Error> {
        if !self.is_serving(now) {
            if self.is_stopping {
                self.apply_reports(req, now);
            }
            return Err(Error::NotTokenServer {
                ingress: req.ingress.name.clone(),
                seq: req.seq,
            });
        }
        self.apply_limits(now);
        let lease_left = self.holder.remaining(now);
        let last = self.last_seq.entry(req.ingress.clone()).or_default();
        let is_new = req.seq > *last;
        *last = req.seq.max(*last);
        let ledgers = &mut self.ledgers;
        let answer = |item: &TokenRequestItem| {
            let ledger = ledgers.get_mut(&item.workspace)?;
            ledger.answer(&req.ingress, req.seq, item, is_new, lease_left, now)
        };
        Ok(Grant {
            seq: req.seq,
            items: req.items.iter().filter_map(answer).collect(),
        })
    }

    /// The demand by workspace, in millionths of a token per second, for the control leader.
    pub fn demand(&mut self, now: Instant) -> BTreeMap<WorkspaceId, MicroTokens> {
        self.ledgers
            .iter_mut()
            .map(|(w, ledger)| (w.clone(), ledger.demand(now)))
            .collect()
    }

    /// The version of the shares that binds this token server and every later one of its data
    /// centre, or 0 if none can be confirmed now.
    ///
    /// A smaller burst is confirmed only when the outstanding tokens fit into it.
    #[must_use]
    pub fn confirmable_version(&self, now: Instant) -> ShareVersion {
        let fits_limit = self.ledgers.values().all(Ledger::fits_limit);
        if self.is_serving(now) && fits_limit {
            self.holder.quorum_shares()
        } else {
            0
        }
    }

    /// Applies the reports of a request that gets no tokens. A stopping token server can release
    /// its lease as soon as all tokens that it granted are accounted for.
    fn apply_reports(&mut self, req: &TokenRequest, now: Instant) {
        for item in &req.items {
            if let Some(ledger) = self.ledgers.get_mut(&item.workspace) {
                ledger.apply_reports(&req.ingress, &item.reports, now);
            }
        }
    }

    fn poll_stop(&mut self, out: &mut Vec<Output>) {
        if self.is_stopping
            && !self.ledgers.is_empty()
            && self.ledgers.values().all(Ledger::is_idle)
        {
            self.ledgers.clear();
            out.push(Output::Release(self.holder.release()));
        }
    }

    fn poll_lease(&mut self, now: Instant, jitter: Duration, out: &mut Vec<Output>) {
        let is_done = self.is_stopping && self.ledgers.is_empty();
        if now < self.holder.next_round_at() || self.shares.version() == 0 || is_done {
            return;
        }
        if self.holder.is_split(now) {
            out.push(Output::Release(self.holder.release()));
            self.holder.delay(jitter);
            return;
        }
        out.push(Output::Lease(
            self.holder.begin_round(self.shares.version(), now),
        ));
    }

    fn poll_renewal(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_renewal_at {
            return;
        }
        self.next_renewal_at = now + RENEWAL_INTERVAL;
        let confirmed = self.confirmable_version(now);
        let demand = if self.is_serving(now) {
            self.demand(now)
        } else {
            BTreeMap::new()
        };
        out.push(Output::Renewal(
            self.shares.begin_renewal(confirmed, demand, now),
        ));
    }

    /// Applies the current limits to every ledger. Limits fall to the floors as of the time at
    /// which the lease on the shares expired.
    fn apply_limits(&mut self, now: Instant) {
        for (workspace, ledger) in &mut self.ledgers {
            let limit = self.shares.limit(workspace, now);
            ledger.set_limit(limit, self.shares.lease_expires_at(), now);
        }
    }

    /// Opens a ledger for each workspace that has a share and no ledger yet.
    fn open_ledgers(&mut self, now: Instant) {
        if self.is_stopping {
            return;
        }
        for workspace in self.shares.workspaces() {
            let open = || Ledger::empty(self.shares.limit(workspace, now), now);
            self.ledgers.entry(workspace.clone()).or_insert_with(open);
        }
    }
}
