use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId, plain_copy};

use super::{
    Answer, BorrowOutcome, CONTACT_TIMEOUT, Fraction, Item, Report, equal_fraction, fraction_of,
};
use crate::{Limit, TOKEN, bucket::Bucket};

/// The workspaces that a door keeps in mind.
const MAX_WORKSPACES: usize = 65_536;
/// The workspaces that get a part before their first request.
const MAX_PREALLOCATED: usize = 256;
/// The weight of the newest interval in the demand, 1 in this many.
const SMOOTHING: u64 = 3;
/// How long a denial is taken to hold for those that come after, at most.
const MAX_DENIAL_REUSE: Duration = Duration::from_millis(200);
/// When to come back where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long a hub that did not answer a wish is taken to be out of touch.
const COORDINATOR_BACKOFF: Duration = Duration::from_millis(500);
/// The thousandths in one, in which demand is counted.
const MILLI: u64 = 1000;

plain_copy! {
    /// What a door does with a request of a workspace.
    pub enum Spend {
        /// It passes.
        Spent,
        /// The own part is used up; the hub may have a token.
        Borrow,
        /// It is over the limit.
        Refused {
            /// When a token will be there.
            retry_after: Duration,
        },
    }
}

/// The parts that one door holds.
#[derive(Debug)]
pub struct Ingress {
    workspaces: HashMap<WorkspaceId, WorkspaceAllotment>,
    opened_at: Instant,
    last_answer_at: Option<Instant>,
    backoff_ends_at: Option<Instant>,
    last_report_at: Instant,
}

#[derive(Debug)]
struct WorkspaceAllotment {
    bucket: Bucket,
    fraction: Fraction,
    arrivals: u64,
    /// In thousandths of a request per second.
    demand: u64,
    denial: Option<(Instant, Duration)>,
    /// The whole limit of the workspace.
    limit: Limit,
    /// Whether it spends from an equal part, the hub being out of touch.
    is_fallback: bool,
}

/// Lifecycle.
impl Ingress {
    /// Opens a door without any part.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            workspaces: HashMap::new(),
            opened_at: now,
            last_answer_at: None,
            backoff_ends_at: None,
            last_report_at: now,
        }
    }

    /// What the hub is to be told; to be sent every [`REPORT_INTERVAL`](super::REPORT_INTERVAL).
    ///
    /// The first of the `limited` workspaces get a part before their first request, so that a burst
    /// finds it full.
    pub fn report<'a>(
        &mut self,
        now: Instant,
        ingress: ProcessName,
        limited: impl Iterator<Item = (&'a WorkspaceId, Limit)>,
    ) -> Report {
        for (workspace, limit) in limited.take(MAX_PREALLOCATED) {
            let state = self.workspaces.entry(workspace.clone());
            state.or_insert_with(|| WorkspaceAllotment::open(now)).limit = limit;
        }
        let elapsed = now
            .saturating_duration_since(self.last_report_at)
            .as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX).max(1);
        self.last_report_at = now;
        let mut items = Vec::new();
        for (workspace, state) in &mut self.workspaces {
            let current = state.arrivals * MILLI * MILLI / elapsed;
            state.arrivals = 0;
            state.demand = (state.demand * (SMOOTHING - 1) + current) / SMOOTHING;
            items.push(Item {
                workspace: workspace.clone(),
                demand: state.demand,
                fraction: state.fraction,
            });
        }
        Report { ingress, items }
    }

    /// Takes over what the hub answered to a report that was sent at `sent`.
    pub fn apply_answer(&mut self, now: Instant, sent_at: Instant, answer: &Answer) {
        self.last_answer_at = self.last_answer_at.max(Some(sent_at));
        self.backoff_ends_at = None;
        for (workspace, fraction) in &answer.fractions {
            if let Some(state) = self.workspaces.get_mut(workspace) {
                state.set_fraction(now, *fraction);
            }
        }
    }
}

/// Spending.
impl Ingress {
    /// Spends a token of a workspace with this limit; `doors` share it, as far as this one knows.
    pub fn spend(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        limit: Limit,
        ingress_count: usize,
    ) -> Spend {
        let is_reachable = self.is_coordinator_reachable(now);
        let is_starting = self.last_answer_at.is_none() && now < self.opened_at + CONTACT_TIMEOUT;
        // The hub lends to others what it kept back for this door until it finds it silent too, so
        // the door takes half of that as long as it cannot be sure.
        let equal = equal_fraction(ingress_count);
        let has_recent_answer = self.has_recent_answer(now);
        let is_full = self.workspaces.len() >= MAX_WORKSPACES;
        if is_full && !self.workspaces.contains_key(workspace) {
            return Spend::Borrow;
        }
        let state = self.workspaces.entry(workspace.clone());
        let state = state.or_insert_with(|| WorkspaceAllotment::open(now));
        state.arrivals += 1;
        state.limit = limit;
        let fallback_fraction = if has_recent_answer {
            state.fraction.midpoint(equal)
        } else {
            equal
        };
        match (is_reachable, is_starting) {
            (true, _) => state.set_limit(now, fraction_of(limit, state.fraction)),
            (false, true) => state.set_limit(now, Limit::ZERO),
            (false, false) => state.set_fallback_limit(now, limit, fallback_fraction),
        }
        if state.bucket.take(TOKEN, now) {
            return Spend::Spent;
        }
        if !is_reachable && !is_starting {
            let retry_after = state.bucket.wait_for(TOKEN).unwrap_or(DEFAULT_RETRY_AFTER);
            return Spend::Refused { retry_after };
        }
        match state.denial {
            Some((until, retry_after)) if now < until => Spend::Refused { retry_after },
            _ => Spend::Borrow,
        }
    }

    /// Takes over what became of a wish for a token.
    pub fn apply_borrow(&mut self, now: Instant, workspace: &WorkspaceId, outcome: BorrowOutcome) {
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return;
        };
        state.denial = match outcome {
            BorrowOutcome::Granted => None,
            BorrowOutcome::Denied { retry_after } => {
                Some((now + retry_after.min(MAX_DENIAL_REUSE), retry_after))
            }
        };
    }

    /// Takes in that the hub did not answer a wish for a token.
    pub fn record_borrow_timeout(&mut self, now: Instant) {
        self.backoff_ends_at = Some(now + COORDINATOR_BACKOFF);
    }

    fn is_coordinator_reachable(&self, now: Instant) -> bool {
        let is_backing_off = self.backoff_ends_at.is_some_and(|until| now < until);
        self.has_recent_answer(now) && !is_backing_off
    }

    fn has_recent_answer(&self, now: Instant) -> bool {
        self.last_answer_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_TIMEOUT)
    }
}

impl WorkspaceAllotment {
    fn open(now: Instant) -> Self {
        Self {
            bucket: Bucket::empty(Limit::ZERO, now),
            fraction: 0,
            arrivals: 0,
            demand: 0,
            denial: None,
            limit: Limit::ZERO,
            is_fallback: false,
        }
    }

    /// The bucket fills by the new part from now on, although its limit is set when it is used.
    fn set_fraction(&mut self, now: Instant, fraction: Fraction) {
        if self.fraction != fraction && !self.is_fallback {
            let limit = self.limit;
            self.bucket.set_limit(fraction_of(limit, fraction), now);
        }
        self.fraction = fraction;
    }

    fn set_limit(&mut self, now: Instant, limit: Limit) {
        self.is_fallback = false;
        self.bucket.set_limit(limit, now);
    }

    /// Spends from a part without the hub. However small it is it holds a whole token, and begins
    /// with its share of the burst, up to a token: the hub may have lent the rest before.
    fn set_fallback_limit(&mut self, now: Instant, limit: Limit, fraction: Fraction) {
        let mut own = fraction_of(limit, fraction);
        if !self.is_fallback {
            self.is_fallback = true;
            let first = Limit {
                rate: own.rate,
                burst: own.burst.min(TOKEN),
            };
            self.bucket.refill(now);
            if self.bucket.level() < first.burst {
                self.bucket = Bucket::full(first, now);
            }
        }
        own.burst = own.burst.max(TOKEN);
        self.bucket.set_limit(own, now);
    }
}
