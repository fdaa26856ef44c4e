use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId, plain_copy};

use super::{
    Answer, BorrowOutcome, CONTACT_TIMEOUT, Fraction, Item, REPORT_INTERVAL, Report,
    equal_fraction, fraction_of,
};
use crate::{Limit, TOKEN, bucket::Bucket};

/// The maximum number of workspaces that an ingress node tracks.
const MAX_WORKSPACES: usize = 65_536;
/// The maximum number of workspaces that get a fraction before their first request.
const MAX_PREALLOCATED: usize = 256;
/// The latest interval has a weight of 1 / `SMOOTHING` in the smoothed demand.
const SMOOTHING: u64 = 3;
/// The longest time for which a denied loan also refuses later requests.
const MAX_DENIAL_REUSE: Duration = Duration::from_millis(200);
/// The time after which to retry if the bucket never holds a token.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The time for which a coordinator counts as unreachable after it did not answer a loan request.
const COORDINATOR_BACKOFF: Duration = Duration::from_millis(500);
/// The time since the last answered report after which at least one was not answered.
const MISSED_REPORT: Duration = REPORT_INTERVAL.saturating_mul(2);
/// Milliseconds per second, and thousandths of a request per request.
const MILLI: u64 = 1000;

plain_copy! {
    /// The contact of an ingress node to the coordinator.
    enum Contact {
        /// The coordinator has not answered yet, and the node has just started. An earlier run of
        /// the node may have spent its fraction.
        Starting,
        /// The coordinator answers.
        Good,
        /// The coordinator answers reports, but did not answer a request to borrow in time. It may
        /// have lent the token nevertheless.
        Late {
            /// The time from which to borrow again.
            until: Instant,
        },
        /// The coordinator answers nothing, but may still count this node as reachable and lend
        /// the rest of the node's equal fraction to others. The node uses half of that rest.
        Doubtful,
        /// Both sides consider each other unreachable.
        Lost,
    }

    /// The result of [`Ingress::spend`].
    pub enum Spend {
        /// A token was spent; the request is admitted.
        Spent,
        /// The node's fraction is used up; the coordinator may lend a token.
        Borrow,
        /// The request exceeds the limit.
        Refused {
            /// The time until a token is available.
            retry_after: Duration,
        },
    }
}

/// The fractions that one ingress node holds.
#[derive(Debug)]
pub struct Ingress {
    workspaces: HashMap<WorkspaceId, WorkspaceAllotment>,
    opened_at: Instant,
    last_contact_at: Option<Instant>,
    backoff_ends_at: Option<Instant>,
    last_report_at: Instant,
}

#[derive(Debug)]
struct WorkspaceAllotment {
    bucket: Bucket,
    fraction: Fraction,
    arrivals: u64,
    /// The smoothed rate of arriving requests, in thousandths of a request per second.
    demand: u64,
    denial: Option<(Instant, Duration)>,
    /// The limit of the workspace, of which `fraction` is a part.
    limit: Limit,
    /// Whether requests spend from an equal fraction, because the coordinator is unreachable.
    is_fallback: bool,
}

impl Ingress {
    /// Creates the state of an ingress node that holds no fraction yet.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            workspaces: HashMap::new(),
            opened_at: now,
            last_contact_at: None,
            backoff_ends_at: None,
            last_report_at: now,
        }
    }

    /// Builds the report to send every [`REPORT_INTERVAL`](super::REPORT_INTERVAL).
    ///
    /// The first of the `limited` workspaces get a fraction before their first request, so that
    /// their buckets are full when a burst arrives.
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

    /// Applies the coordinator's answer to a report that was sent at `sent_at`.
    pub fn apply_answer(&mut self, now: Instant, sent_at: Instant, answer: &Answer) {
        self.last_contact_at = self.last_contact_at.max(Some(sent_at));
        self.backoff_ends_at = None;
        for (workspace, fraction) in &answer.fractions {
            if let Some(state) = self.workspaces.get_mut(workspace) {
                state.set_fraction(now, *fraction);
            }
        }
    }
}

impl Ingress {
    /// Spends a token of a workspace with this limit.
    ///
    /// `ingress_count` is the number of ingress nodes that share the limit, as far as this one
    /// knows.
    pub fn spend(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        limit: Limit,
        ingress_count: usize,
    ) -> Spend {
        let contact = self.contact(now);
        let equal = equal_fraction(ingress_count);
        let is_full = self.workspaces.len() >= MAX_WORKSPACES;
        if is_full && !self.workspaces.contains_key(workspace) {
            return Spend::Borrow;
        }
        let state = self.workspaces.entry(workspace.clone());
        let state = state.or_insert_with(|| WorkspaceAllotment::open(now));
        state.arrivals += 1;
        state.limit = limit;
        match contact {
            Contact::Starting => state.set_limit(now, Limit::ZERO),
            Contact::Good | Contact::Late { .. } => {
                state.set_limit(now, fraction_of(limit, state.fraction));
            }
            Contact::Doubtful => {
                let fraction = state.fraction.midpoint(equal);
                state.set_limit(now, with_whole_token(fraction_of(limit, fraction)));
            }
            Contact::Lost => state.set_fallback_limit(now, fraction_of(limit, equal)),
        }
        if state.bucket.take(TOKEN, now) {
            return Spend::Spent;
        }
        let wait = state.bucket.wait_for(TOKEN);
        match (contact, state.denial) {
            (Contact::Late { until }, _) => {
                let retry_after = until.saturating_duration_since(now);
                let retry_after = wait.map_or(retry_after, |wait| wait.min(retry_after));
                Spend::Refused { retry_after }
            }
            (Contact::Doubtful | Contact::Lost, _) => Spend::Refused {
                retry_after: wait.unwrap_or(DEFAULT_RETRY_AFTER),
            },
            (_, Some((until, retry_after))) if now < until => Spend::Refused { retry_after },
            _ => Spend::Borrow,
        }
    }

    /// Applies the coordinator's answer to a request to borrow a token.
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

    /// Records that the coordinator did not answer a request to borrow a token.
    pub fn record_borrow_timeout(&mut self, now: Instant) {
        self.backoff_ends_at = Some(now + COORDINATOR_BACKOFF);
    }

    fn contact(&self, now: Instant) -> Contact {
        let Some(at) = self.last_contact_at else {
            let is_starting = now < self.opened_at + CONTACT_TIMEOUT;
            return if is_starting {
                Contact::Starting
            } else {
                Contact::Lost
            };
        };
        let age = now.saturating_duration_since(at);
        match self.backoff_ends_at.filter(|until| now < *until) {
            _ if age >= CONTACT_TIMEOUT => Contact::Lost,
            Some(_) if age >= MISSED_REPORT => Contact::Doubtful,
            Some(until) => Contact::Late { until },
            None => Contact::Good,
        }
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

    /// Applies a new fraction immediately, so that the bucket refills at the new rate even before
    /// the next request sets the limit.
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

    /// Sets the limit while the coordinator is unreachable.
    ///
    /// The bucket is topped up to the fraction's share of the burst at first, but to one token at
    /// most, since the coordinator may have lent the rest before.
    fn set_fallback_limit(&mut self, now: Instant, own: Limit) {
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
        self.bucket.set_limit(with_whole_token(own), now);
    }
}

/// Raises the burst to a whole token, so that the smallest fraction admits a request at times.
fn with_whole_token(limit: Limit) -> Limit {
    Limit {
        burst: limit.burst.max(TOKEN),
        ..limit
    }
}
