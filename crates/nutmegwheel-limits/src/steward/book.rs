use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use nutmegwheel_types::plain;

use super::BATCH_TERM;
use crate::{
    Limit, MicroTokens, TOKEN,
    bucket::Bucket,
    messages::{AskItem, AskSeq, DoorId, GrantItem, Report},
    meter::Meter,
    shorten_for_drift,
};

/// When to come back where a data centre has no share, or its bucket cannot fill.
const RETRY_WITHOUT_SHARE: Duration = Duration::from_secs(1);
/// The longest time to come back that is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

plain! {
    /// What a steward has handed out for one workspace.
    #[derive(Hash)]
    pub(super) struct Book {
        bucket: Bucket,
        batches: BTreeMap<BatchKey, Batch>,
        ends: VecDeque<(Instant, BatchKey)>,
        demand: Meter,
        short: Meter,
    }

    #[derive(PartialOrd, Ord, Hash)]
    struct BatchKey {
        door: DoorId,
        seq: AskSeq,
    }

    #[derive(Hash)]
    struct Batch {
        tokens: u32,
        spent: u32,
        granted: GrantItem,
    }
}

/// Lifecycle.
impl Book {
    pub(super) fn empty(limit: Limit, now: Instant) -> Self {
        Book {
            bucket: Bucket::empty(limit, now),
            batches: BTreeMap::new(),
            ends: VecDeque::new(),
            demand: Meter::new(now),
            short: Meter::new(now),
        }
    }

    /// Drops batches that are over and takes over a limit, which fell to the floor at `whole_until`.
    pub(super) fn set_limit(&mut self, limit: Limit, whole_until: Option<Instant>, now: Instant) {
        if self.bucket.limit() != limit {
            let since = whole_until.filter(|until| *until < now).unwrap_or(now);
            self.expire(since);
            self.bucket.set_limit(limit, since);
        }
        self.expire(now);
        self.bucket.refill(now);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((end, key)) = self.ends.pop_front() {
            if now < end {
                self.ends.push_front((end, key));
                return;
            }
            if let Some(batch) = self.batches.remove(&key) {
                self.bucket.settle(tokens(batch.tokens - batch.spent), end);
            }
        }
    }
}

/// Access.
impl Book {
    pub(super) fn fits(&self) -> bool {
        self.bucket.reserved() <= self.bucket.limit().burst
    }

    pub(super) fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    pub(super) fn demand(&mut self, now: Instant) -> MicroTokens {
        self.demand.rate(now)
    }
}

/// Answers.
impl Book {
    /// Takes in the reports, and grants tokens when the message is new and asks for some.
    pub(super) fn answer(
        &mut self,
        door: &DoorId,
        seq: AskSeq,
        item: &AskItem,
        is_new: bool,
        lease_left: Duration,
        now: Instant,
    ) -> Option<GrantItem> {
        for report in &item.reports {
            self.report(door, report, now);
        }
        let key = BatchKey {
            door: door.clone(),
            seq,
        };
        if !is_new {
            return self.batches.get(&key).map(|b| b.granted.clone());
        }
        self.demand.note(u64::from(item.refused), now);
        if item.waiting == 0 && item.stock == 0 {
            return None;
        }
        Some(self.grant(key, item, lease_left, now))
    }

    fn report(&mut self, door: &DoorId, report: &Report, now: Instant) {
        let key = BatchKey {
            door: door.clone(),
            seq: report.batch,
        };
        let Some(batch) = self.batches.get_mut(&key) else {
            return;
        };
        let spent = report.spent.clamp(batch.spent, batch.tokens);
        let newly_spent = spent - batch.spent;
        batch.spent = spent;
        let left = batch.tokens - spent;
        self.demand.note(u64::from(newly_spent), now);
        self.bucket.settle(tokens(newly_spent), now);
        if report.closed {
            self.bucket.restore(tokens(left), now);
            self.batches.remove(&key);
        }
    }

    fn grant(
        &mut self,
        key: BatchKey,
        item: &AskItem,
        lease_left: Duration,
        now: Instant,
    ) -> GrantItem {
        let urgent = item.waiting.min(self.available());
        let stock = item.stock.min(self.stock_allowance(urgent));
        let granted = urgent + stock;
        self.bucket.reserve(tokens(granted), now);
        let short = item.waiting - urgent;
        let empty_for = self.bucket.wait_for(TOKEN).unwrap_or(RETRY_WITHOUT_SHARE);
        let retry_after = self.retry_after(short, empty_for, now);
        self.short.note(u64::from(short), now);
        self.demand.note(u64::from(short), now);
        let term = BATCH_TERM.min(lease_left);
        let answer = GrantItem {
            workspace: item.workspace.clone(),
            tokens: granted,
            term: shorten_for_drift(term),
            tight: self.is_tight(),
            empty_for,
            retry_after,
        };
        if granted > 0 {
            self.ends.push_back((now + term, key.clone()));
            let batch = Batch {
                tokens: granted,
                spent: 0,
                granted: answer.clone(),
            };
            self.batches.insert(key, batch);
        }
        answer
    }

    fn available(&self) -> u32 {
        u32::try_from(self.bucket.level() / TOKEN).unwrap_or(u32::MAX)
    }

    /// What may go out ahead of need: at most half of the burst lies in doors, and each ask gets at most
    /// half of what is there, so that batches idling in doors starve nobody.
    fn stock_allowance(&self, urgent: u32) -> u32 {
        let out = self.bucket.reserved() + tokens(urgent);
        let room = (self.bucket.limit().burst / 2).saturating_sub(out) / TOKEN;
        let level = self.bucket.level().saturating_sub(tokens(urgent)) / (2 * TOKEN);
        u32::try_from(room.min(level)).unwrap_or(u32::MAX)
    }

    /// Whether tokens at the doors fill so much of the bucket that they may hold up the refill.
    fn is_tight(&self) -> bool {
        self.bucket.reserved() >= self.bucket.limit().burst / 4
    }

    /// When a token will be there for the last of those that came too short, counting others that were
    /// sent away within the last second or so.
    fn retry_after(&mut self, short: u32, empty_for: Duration, now: Instant) -> Duration {
        if short == 0 {
            return Duration::ZERO;
        }
        let ahead = u128::from(self.short.rate(now)) + u128::from(tokens(short - 1));
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
