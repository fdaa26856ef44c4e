use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use nutmegwheel_types::{WorkspaceId, plain};

use super::{Decision, Refusal, RefusalCause, Spend, WaiterId, options};
use crate::{
    TOKEN,
    messages::{AskItem, AskSeq, GrantItem, Report},
    meter::Meter,
};

plain! {
    /// One workspace's tokens at a door.
    pub(super) struct Account {
        workspace: WorkspaceId,
        batches: VecDeque<Batch>,
        closed: Vec<Report>,
        waiters: VecDeque<WaiterId>,
        pending: Option<Pending>,
        blocked: Option<Blocked>,
        demand: Meter,
        refused: u32,
        last_report: Instant,
        is_report_urgent: bool,
        next_stock: Instant,
    }

    struct Batch {
        seq: AskSeq,
        tokens: u32,
        spent: u32,
        reported: u32,
        ends: Instant,
        tight: bool,
    }

    struct Pending {
        seq: AskSeq,
        sent: Instant,
        /// The tokens asked for on behalf of waiting requests.
        waiting: u32,
        /// All tokens asked for.
        wanted: u32,
    }

    struct Blocked {
        until: Instant,
        retry_at: Instant,
        cause: RefusalCause,
    }
}

impl Batch {
    fn left(&self) -> u32 {
        self.tokens - self.spent
    }

    fn report(&self, closed: bool) -> Report {
        Report {
            batch: self.seq,
            spent: self.spent,
            closed,
        }
    }
}

/// Lifecycle.
impl Account {
    pub(super) fn open(workspace: WorkspaceId, now: Instant) -> Self {
        Account {
            workspace,
            batches: VecDeque::new(),
            closed: Vec::new(),
            waiters: VecDeque::new(),
            pending: None,
            blocked: None,
            demand: Meter::new(now),
            refused: 0,
            last_report: now,
            is_report_urgent: false,
            next_stock: now,
        }
    }

    /// Gives up batches and messages that are over.
    pub(super) fn tick(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        self.demand.advance(now);
        self.close_batches(now);
        self.blocked.take_if(|b| now >= b.until);
        let timed_out =
            |p: &mut Pending| now.saturating_duration_since(p.sent) >= options::ASK_TIMEOUT;
        if self.pending.take_if(timed_out).is_some() {
            let retry = options::RETRY_WITHOUT_STEWARD;
            self.block(RefusalCause::NoSteward, retry, retry, now);
            self.refuse_waiters(now, decisions);
        }
    }

    fn close_batches(&mut self, now: Instant) {
        let is_done = |b: &Batch| b.left() == 0 || now + options::RETURN_MARGIN >= b.ends;
        while let Some(batch) = self.batches.front().filter(|b| is_done(b)) {
            let lapsed = now >= batch.ends && batch.left() > 0;
            if !lapsed {
                self.is_report_urgent |= batch.tight;
                self.closed.push(batch.report(true));
            }
            self.batches.pop_front();
        }
    }
}

/// Access.
impl Account {
    pub(super) fn stock(&self, now: Instant) -> u32 {
        self.batches
            .iter()
            .filter(|b| now < b.ends)
            .map(Batch::left)
            .sum()
    }

    /// Whether spending that is not yet reported holds up the steward's refill.
    pub(super) fn is_report_urgent(&self) -> bool {
        let is_spent = |b: &Batch| b.tight && b.left() == 0;
        self.is_report_urgent || self.batches.front().is_some_and(is_spent)
    }

    pub(super) fn is_urgent(&self, now: Instant) -> bool {
        let must_ask = !self.waiters.is_empty() && self.may_ask(now);
        must_ask || self.is_report_urgent()
    }

    pub(super) fn wants_message(&self, now: Instant) -> bool {
        let report_due =
            now.saturating_duration_since(self.last_report) >= options::REPORT_INTERVAL;
        let may_stock = self.may_ask(now) && now >= self.next_stock;
        let wants_stock = may_stock && self.stock(now) * 2 < self.target();
        self.is_urgent(now) || wants_stock || (report_due && self.has_news())
    }

    fn has_news(&self) -> bool {
        let is_new = |b: &Batch| b.spent > b.reported;
        !self.closed.is_empty() || self.refused > 0 || self.batches.iter().any(is_new)
    }

    fn may_ask(&self, now: Instant) -> bool {
        self.pending.is_none() && self.blocked.as_ref().is_none_or(|b| now >= b.until)
    }

    /// The tokens to keep at hand, or none where they would mostly expire unused.
    fn target(&self) -> u32 {
        let rate = u128::from(self.demand.peek());
        let horizon = options::STOCK_HORIZON.as_millis();
        if rate * 2 < u128::from(TOKEN) {
            return 0;
        }
        let tokens = (rate * horizon).div_ceil(u128::from(TOKEN) * 1000);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}

/// Spending.
impl Account {
    pub(super) fn spend(&mut self, waiter: WaiterId, now: Instant) -> Spend {
        self.demand.note(1, now);
        if self.waiters.is_empty() && self.take(now) {
            return Spend::Spent;
        }
        if let Some(blocked) = self.blocked.as_ref().filter(|b| now < b.until) {
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
        let usable = |b: &&mut Batch| now < b.ends && b.left() > 0;
        let Some(batch) = self.batches.iter_mut().find(usable) else {
            return false;
        };
        batch.spent += 1;
        true
    }
}

/// Messages.
impl Account {
    /// The account's part of a message, or `None` when it has nothing to say.
    pub(super) fn ask(&mut self, seq: AskSeq, now: Instant) -> Option<AskItem> {
        self.close_batches(now);
        let reports = self.take_reports(now);
        let (waiting, stock) = self.wants(now);
        let refused = std::mem::take(&mut self.refused);
        if waiting > 0 || stock > 0 {
            let wanted = waiting.saturating_add(stock);
            self.pending = Some(Pending {
                seq,
                sent: now,
                waiting,
                wanted,
            });
        } else if reports.is_empty() && refused == 0 {
            return None;
        }
        Some(AskItem {
            workspace: self.workspace.clone(),
            waiting,
            stock,
            refused,
            reports,
        })
    }

    pub(super) fn granted(
        &mut self,
        seq: AskSeq,
        item: &GrantItem,
        sent: Instant,
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
                ends: sent + item.term,
                tight: item.tight,
            });
        }
        self.serve_waiters(now, decisions);
        if item.tokens < pending.wanted {
            self.next_stock = now + options::STOCK_RETRY;
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

    fn wants(&self, now: Instant) -> (u32, u32) {
        if !self.may_ask(now) {
            return (0, 0);
        }
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let (stock, target) = (self.stock(now), self.target());
        let is_low = u64::from(stock) * 4 <= u64::from(target) * 3;
        (
            waiting,
            if is_low {
                target.saturating_sub(stock)
            } else {
                0
            },
        )
    }

    fn take_reports(&mut self, now: Instant) -> Vec<Report> {
        let mut reports = std::mem::take(&mut self.closed);
        for batch in self.batches.iter_mut().filter(|b| b.spent > b.reported) {
            batch.reported = batch.spent;
            reports.push(batch.report(false));
        }
        self.last_report = now;
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
        let until = now + empty_for.min(options::MAX_LOCAL_REFUSAL);
        self.blocked = Some(Blocked {
            until,
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
