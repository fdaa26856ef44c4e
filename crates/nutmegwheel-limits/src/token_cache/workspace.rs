use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use nutmegwheel_types::{WorkspaceId, plain};

use super::{Decision, Refusal, RefusalCause, Spend, WaiterId, timing};
use crate::{
    TOKEN,
    messages::{BatchReport, GrantItem, RequestSeq, TokenRequestItem},
    meter::Meter,
};

plain! {
    /// The tokens of one workspace at an ingress node.
    pub(super) struct WorkspaceTokens {
        workspace: WorkspaceId,
        batches: VecDeque<Batch>,
        closed: Vec<BatchReport>,
        waiters: VecDeque<WaiterId>,
        pending: Option<Pending>,
        blocked: Option<Blocked>,
        demand: Meter,
        refused: u32,
        last_report_at: Instant,
        is_report_urgent: bool,
        next_prefetch_at: Instant,
    }

    struct Batch {
        seq: RequestSeq,
        tokens: u32,
        spent: u32,
        reported: u32,
        expires_at: Instant,
        report_immediately: bool,
    }

    struct Pending {
        seq: RequestSeq,
        sent_at: Instant,
        /// The number of tokens requested for waiting requests.
        waiting: u32,
        /// The number of tokens requested for waiting and for expected requests.
        wanted: u32,
    }

    struct Blocked {
        expires_at: Instant,
        retry_at: Instant,
        cause: RefusalCause,
    }
}

impl Batch {
    fn left(&self) -> u32 {
        self.tokens - self.spent
    }

    fn report(&self, closed: bool) -> BatchReport {
        BatchReport {
            batch: self.seq,
            spent: self.spent,
            closed,
        }
    }
}

impl WorkspaceTokens {
    pub(super) fn open(workspace: WorkspaceId, now: Instant) -> Self {
        WorkspaceTokens {
            workspace,
            batches: VecDeque::new(),
            closed: Vec::new(),
            waiters: VecDeque::new(),
            pending: None,
            blocked: None,
            demand: Meter::new(now),
            refused: 0,
            last_report_at: now,
            is_report_urgent: false,
            next_prefetch_at: now,
        }
    }

    /// Closes batches that are used up or about to expire, and times out requests without a reply.
    pub(super) fn tick(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        self.demand.advance(now);
        self.close_batches(now);
        self.blocked.take_if(|b| now >= b.expires_at);
        let timed_out =
            |p: &mut Pending| now.saturating_duration_since(p.sent_at) >= timing::REQUEST_TIMEOUT;
        if self.pending.take_if(timed_out).is_some() {
            let retry = timing::RETRY_WITHOUT_TOKEN_SERVER;
            self.block(RefusalCause::NoTokenServer, retry, retry, now);
            self.refuse_waiters(now, decisions);
        }
    }

    fn close_batches(&mut self, now: Instant) {
        let is_done = |b: &Batch| b.left() == 0 || now + timing::RETURN_MARGIN >= b.expires_at;
        while let Some(batch) = self.batches.front().filter(|b| is_done(b)) {
            let has_expired = now >= batch.expires_at && batch.left() > 0;
            if !has_expired {
                self.is_report_urgent |= batch.report_immediately;
                self.closed.push(batch.report(true));
            }
            self.batches.pop_front();
        }
    }
}

impl WorkspaceTokens {
    pub(super) fn available(&self, now: Instant) -> u32 {
        self.batches
            .iter()
            .filter(|b| now < b.expires_at)
            .map(Batch::left)
            .sum()
    }

    /// Whether unreported tokens may delay the refill at the token server.
    pub(super) fn is_report_urgent(&self) -> bool {
        let is_spent = |b: &Batch| b.report_immediately && b.left() == 0;
        self.is_report_urgent || self.batches.front().is_some_and(is_spent)
    }

    pub(super) fn is_urgent(&self, now: Instant) -> bool {
        let must_request = !self.waiters.is_empty() && self.may_request(now);
        must_request || self.is_report_urgent()
    }

    pub(super) fn wants_message(&self, now: Instant) -> bool {
        let is_report_due =
            now.saturating_duration_since(self.last_report_at) >= timing::REPORT_INTERVAL;
        let may_prefetch = self.may_request(now) && now >= self.next_prefetch_at;
        let wants_prefetch = may_prefetch && self.available(now) * 2 < self.target();
        self.is_urgent(now) || wants_prefetch || (is_report_due && self.has_unreported())
    }

    fn has_unreported(&self) -> bool {
        let is_unreported = |b: &Batch| b.spent > b.reported;
        !self.closed.is_empty() || self.refused > 0 || self.batches.iter().any(is_unreported)
    }

    fn may_request(&self, now: Instant) -> bool {
        self.pending.is_none() && self.blocked.as_ref().is_none_or(|b| now >= b.expires_at)
    }

    /// The number of tokens to hold in advance, or 0 if most of them would expire unused.
    fn target(&self) -> u32 {
        let rate = u128::from(self.demand.last_rate());
        let horizon = timing::PREFETCH_HORIZON.as_millis();
        if rate * 2 < u128::from(TOKEN) {
            return 0;
        }
        let tokens = (rate * horizon).div_ceil(u128::from(TOKEN) * 1000);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

impl WorkspaceTokens {
    pub(super) fn spend(&mut self, waiter: WaiterId, now: Instant) -> Spend {
        self.demand.record(1, now);
        if self.waiters.is_empty() && self.take(now) {
            return Spend::Spent;
        }
        if let Some(blocked) = self.blocked.as_ref().filter(|b| now < b.expires_at) {
            self.refused = self.refused.saturating_add(1);
            let retry_after = blocked.retry_at.saturating_duration_since(now);
            return Spend::Refused(Refusal {
                cause: blocked.cause,
                retry_after,
            });
        }
        self.waiters.push_back(waiter);
        Spend::Waiting
    }

    pub(super) fn cancel(&mut self, waiter: WaiterId) {
        self.waiters.retain(|w| *w != waiter);
    }

    fn take(&mut self, now: Instant) -> bool {
        let usable = |b: &&mut Batch| now < b.expires_at && b.left() > 0;
        let Some(batch) = self.batches.iter_mut().find(usable) else {
            return false;
        };
        batch.spent += 1;
        true
    }
}

impl WorkspaceTokens {
    /// Builds the workspace's part of a message, or returns `None` if there is nothing to send.
    pub(super) fn build_item(&mut self, seq: RequestSeq, now: Instant) -> Option<TokenRequestItem> {
        self.close_batches(now);
        let reports = self.take_reports(now);
        let (waiting, prefetch) = self.wanted_tokens(now);
        let refused = std::mem::take(&mut self.refused);
        if waiting > 0 || prefetch > 0 {
            let wanted = waiting.saturating_add(prefetch);
            self.pending = Some(Pending {
                seq,
                sent_at: now,
                waiting,
                wanted,
            });
        } else if reports.is_empty() && refused == 0 {
            return None;
        }
        Some(TokenRequestItem {
            workspace: self.workspace.clone(),
            waiting,
            prefetch,
            refused,
            reports,
        })
    }

    pub(super) fn apply_grant(
        &mut self,
        seq: RequestSeq,
        item: &GrantItem,
        sent_at: Instant,
        now: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pending) = self.pending.take_if(|p| p.seq == seq) else {
            return;
        };
        if item.tokens > 0 {
            self.batches.push_back(Batch {
                seq,
                tokens: item.tokens,
                spent: 0,
                reported: 0,
                expires_at: sent_at + item.term,
                report_immediately: item.report_immediately,
            });
        }
        self.serve_waiters(now, decisions);
        if item.tokens < pending.wanted {
            self.next_prefetch_at = now + timing::PREFETCH_RETRY;
        }
        if item.tokens < pending.waiting && !self.waiters.is_empty() {
            self.block(
                RefusalCause::OverRate,
                item.empty_for,
                item.retry_after,
                now,
            );
            self.refuse_waiters(now, decisions);
        }
    }

    fn wanted_tokens(&self, now: Instant) -> (u32, u32) {
        if !self.may_request(now) {
            return (0, 0);
        }
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let (available, target) = (self.available(now), self.target());
        let is_low = u64::from(available) * 4 <= u64::from(target) * 3;
        (
            waiting,
            if is_low {
                target.saturating_sub(available)
            } else {
                0
            },
        )
    }

    fn take_reports(&mut self, now: Instant) -> Vec<BatchReport> {
        let mut reports = std::mem::take(&mut self.closed);
        for batch in self.batches.iter_mut().filter(|b| b.spent > b.reported) {
            batch.reported = batch.spent;
            reports.push(batch.report(false));
        }
        self.last_report_at = now;
        self.is_report_urgent = false;
        reports
    }

    fn serve_waiters(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        while !self.waiters.is_empty() && self.take(now) {
            if let Some(waiter) = self.waiters.pop_front() {
                decisions.push(Decision {
                    waiter,
                    spend: Spend::Spent,
                });
            }
        }
    }

    fn block(
        &mut self,
        cause: RefusalCause,
        empty_for: Duration,
        retry_after: Duration,
        now: Instant,
    ) {
        let expires_at = now + empty_for.min(timing::MAX_REFUSAL_REUSE);
        self.blocked = Some(Blocked {
            expires_at,
            retry_at: now + retry_after,
            cause,
        });
    }

    fn refuse_waiters(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let Some(blocked) = &self.blocked else { return };
        let retry_after = blocked.retry_at.saturating_duration_since(now);
        let spend = Spend::Refused(Refusal {
            cause: blocked.cause,
            retry_after,
        });
        decisions.extend(
            self.waiters
                .drain(..)
                .map(|waiter| Decision { waiter, spend }),
        );
    }
}
