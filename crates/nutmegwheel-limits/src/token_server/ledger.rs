use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use nutmegwheel_types::plain;

use super::BATCH_TERM;
use crate::{
    Limit, MicroTokens, TOKEN,
    bucket::Bucket,
    messages::{BatchReport, GrantItem, IngressId, RequestSeq, TokenRequestItem},
    meter::Meter,
    shorten_for_drift,
};

/// The time after which to retry if the data centre has no share, or its bucket never holds a
/// token.
const RETRY_WITHOUT_SHARE: Duration = Duration::from_secs(1);
/// The maximum of `retry_after` in a grant.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

plain! {
    /// The bucket and the outstanding batches of one workspace at the token server.
    #[derive(Hash)]
    pub(super) struct Ledger {
        bucket: Bucket,
        batches: BTreeMap<BatchKey, Batch>,
        expirations: VecDeque<(Instant, BatchKey)>,
        demand: Meter,
        shortfall: Meter,
    }

    #[derive(PartialOrd, Ord, Hash)]
    struct BatchKey {
        ingress: IngressId,
        seq: RequestSeq,
    }

    #[derive(Hash)]
    struct Batch {
        tokens: u32,
        spent: u32,
        grant: GrantItem,
    }
}

impl Ledger {
    pub(super) fn empty(limit: Limit, now: Instant) -> Self {
        Ledger {
            bucket: Bucket::empty(limit, now),
            batches: BTreeMap::new(),
            expirations: VecDeque::new(),
            demand: Meter::new(now),
            shortfall: Meter::new(now),
        }
    }

    /// Drops expired batches and applies a limit. A limit that changed because the lease on the
    /// shares expired applies as of `lease_expires_at`.
    pub(super) fn set_limit(
        &mut self,
        limit: Limit,
        lease_expires_at: Option<Instant>,
        now: Instant,
    ) {
        if self.bucket.limit() != limit {
            let since = lease_expires_at.filter(|at| *at < now).unwrap_or(now);
            self.expire(since);
            self.bucket.set_limit(limit, since);
        }
        self.expire(now);
        self.bucket.refill(now);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires_at, key)) = self.expirations.pop_front() {
            if now < expires_at {
                self.expirations.push_front((expires_at, key));
                return;
            }
            if let Some(batch) = self.batches.remove(&key) {
                self.bucket
                    .consume_reserved(tokens(batch.tokens - batch.spent), expires_at);
            }
        }
    }
}

impl Ledger {
    pub(super) fn fits_limit(&self) -> bool {
        self.bucket.reserved() <= self.bucket.limit().burst
    }

    pub(super) fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    pub(super) fn demand(&mut self, now: Instant) -> MicroTokens {
        self.demand.rate(now)
    }
}

impl Ledger {
    /// Applies the reports, and grants tokens if the message requests some. A repeated message gets
    /// the same grant again, while its batch is outstanding.
    pub(super) fn answer(
        &mut self,
        ingress: &IngressId,
        seq: RequestSeq,
        item: &TokenRequestItem,
        is_new: bool,
        lease_left: Duration,
        now: Instant,
    ) -> Option<GrantItem> {
        self.apply_reports(ingress, &item.reports, now);
        let key = BatchKey {
            ingress: ingress.clone(),
            seq,
        };
        if !is_new {
            return self.batches.get(&key).map(|b| b.grant.clone());
        }
        self.demand.record(u64::from(item.refused), now);
        if item.waiting == 0 && item.prefetch == 0 {
            return None;
        }
        Some(self.grant(key, item, lease_left, now))
    }

    pub(super) fn apply_reports(
        &mut self,
        ingress: &IngressId,
        reports: &[BatchReport],
        now: Instant,
    ) {
        for report in reports {
            self.report(ingress, report, now);
        }
    }

    fn report(&mut self, ingress: &IngressId, report: &BatchReport, now: Instant) {
        let key = BatchKey {
            ingress: ingress.clone(),
            seq: report.batch,
        };
        let Some(batch) = self.batches.get_mut(&key) else {
            return;
        };
        let spent = report.spent.clamp(batch.spent, batch.tokens);
        let newly_spent = spent - batch.spent;
        batch.spent = spent;
        let left = batch.tokens - spent;
        self.demand.record(u64::from(newly_spent), now);
        self.bucket.consume_reserved(tokens(newly_spent), now);
        if report.closed {
            self.bucket.return_reserved(tokens(left), now);
            self.batches.remove(&key);
        }
    }

    fn grant(
        &mut self,
        key: BatchKey,
        item: &TokenRequestItem,
        lease_left: Duration,
        now: Instant,
    ) -> GrantItem {
        let urgent = item.waiting.min(self.available());
        let prefetch = item.prefetch.min(self.prefetch_allowance(urgent));
        let granted = urgent + prefetch;
        self.bucket.reserve(tokens(granted), now);
        let shortfall = item.waiting - urgent;
        let empty_for = self.bucket.wait_for(TOKEN).unwrap_or(RETRY_WITHOUT_SHARE);
        let retry_after = self.retry_after(shortfall, empty_for, now);
        self.shortfall.record(u64::from(shortfall), now);
        self.demand.record(u64::from(shortfall), now);
        let term = BATCH_TERM.min(lease_left);
        let answer = GrantItem {
            workspace: item.workspace.clone(),
            tokens: granted,
            term: shorten_for_drift(term),
            report_immediately: self.may_delay_refill(),
            empty_for,
            retry_after,
        };
        if granted > 0 {
            self.expirations.push_back((now + term, key.clone()));
            let batch = Batch {
                tokens: granted,
                spent: 0,
                grant: answer.clone(),
            };
            self.batches.insert(key, batch);
        }
        answer
    }

    fn available(&self) -> u32 {
        u32::try_from(self.bucket.level() / TOKEN).unwrap_or(u32::MAX)
    }

    /// The number of tokens that may be prefetched. Prefetching leaves at most half the burst
    /// outstanding, and each request gets at most half the available tokens, so that unused batches
    /// starve no other ingress node.
    fn prefetch_allowance(&self, urgent: u32) -> u32 {
        let out = self.bucket.reserved() + tokens(urgent);
        let room = (self.bucket.limit().burst / 2).saturating_sub(out) / TOKEN;
        let level = self.bucket.level().saturating_sub(tokens(urgent)) / (2 * TOKEN);
        u32::try_from(room.min(level)).unwrap_or(u32::MAX)
    }

    /// Whether outstanding tokens occupy so much of the bucket that they may delay the refill.
    fn may_delay_refill(&self) -> bool {
        self.bucket.reserved() >= self.bucket.limit().burst / 4
    }

    /// The time until there is a token for the last of the `shortfall` requests, assuming that
    /// requests refused within about the last second are served first.
    fn retry_after(&mut self, shortfall: u32, empty_for: Duration, now: Instant) -> Duration {
        if shortfall == 0 {
            return Duration::ZERO;
        }
        let ahead = u128::from(self.shortfall.rate(now)) + u128::from(tokens(shortfall - 1));
        let rate = u128::from(self.bucket.limit().rate.max(1));
        let millis = u64::try_from(ahead * 1000 / rate).unwrap_or(u64::MAX);
        empty_for
            .saturating_add(Duration::from_millis(millis))
            .min(MAX_RETRY_AFTER)
    }
}

fn tokens(count: u32) -> MicroTokens {
    MicroTokens::from(count) * TOKEN
}
