use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId, plain_copy};

use super::{Answer, Borrowed, Item, Part, Report, TOUCH, equal_part, part_of};
use crate::{Limit, TOKEN, bucket::Bucket};

/// The workspaces that a door keeps in mind.
const MAX_ACCOUNTS: usize = 65_536;
/// The workspaces that get a part before their first request.
const MAX_PREPARED: usize = 256;
/// The weight of the newest interval in the demand, 1 in this many.
const SMOOTHING: u64 = 3;
/// How long a denial is taken to hold for those that come after, at most.
const LONGEST_DENIAL: Duration = Duration::from_millis(200);
/// When to come back where nothing better is known.
const USUAL_PAUSE: Duration = Duration::from_millis(500);
/// How long a hub that did not answer a wish is taken to be out of touch.
const SILENCE: Duration = Duration::from_millis(500);
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
pub struct Door {
    accounts: HashMap<WorkspaceId, Account>,
    opened: Instant,
    answered: Option<Instant>,
    silent_until: Option<Instant>,
    reported: Instant,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    part: Part,
    arrivals: u64,
    /// In thousandths of a request per second.
    demand: u64,
    denied_until: Option<(Instant, Duration)>,
    /// The whole limit of the workspace.
    whole: Limit,
    /// Whether it spends from an equal part, the hub being out of touch.
    is_alone: bool,
}

/// Lifecycle.
impl Door {
    /// Opens a door without any part.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            accounts: HashMap::new(),
            opened: now,
            answered: None,
            silent_until: None,
            reported: now,
        }
    }

    /// What the hub is to be told; to be sent every [`REPORT_INTERVAL`](super::REPORT_INTERVAL).
    ///
    /// The first of the `limited` workspaces get a part before their first request, so that a burst
    /// finds it full.
    pub fn report<'a>(
        &mut self,
        now: Instant,
        door: ProcessName,
        limited: impl Iterator<Item = (&'a WorkspaceId, Limit)>,
    ) -> Report {
        for (workspace, limit) in limited.take(MAX_PREPARED) {
            let account = self.accounts.entry(workspace.clone());
            account.or_insert_with(|| Account::open(now)).whole = limit;
        }
        let elapsed = now.saturating_duration_since(self.reported).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX).max(1);
        self.reported = now;
        let mut items = Vec::new();
        for (workspace, account) in &mut self.accounts {
            let present = account.arrivals * MILLI * MILLI / elapsed;
            account.arrivals = 0;
            account.demand = (account.demand * (SMOOTHING - 1) + present) / SMOOTHING;
            items.push(Item {
                workspace: workspace.clone(),
                demand: account.demand,
                part: account.part,
            });
        }
        Report { door, items }
    }

    /// Takes over what the hub answered to a report that was sent at `sent`.
    pub fn answered(&mut self, now: Instant, sent: Instant, answer: &Answer) {
        self.answered = self.answered.max(Some(sent));
        self.silent_until = None;
        for (workspace, part) in &answer.parts {
            if let Some(account) = self.accounts.get_mut(workspace) {
                account.take_part(now, *part);
            }
        }
    }
}

/// Spending.
impl Door {
    /// Spends a token of a workspace with this limit; `doors` share it, as far as this one knows.
    pub fn spend(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        limit: Limit,
        doors: usize,
    ) -> Spend {
        let is_in_touch = self.is_in_touch(now);
        let is_opening = self.answered.is_none() && now < self.opened + TOUCH;
        // The hub lends to others what it kept back for this door until it finds it silent too, so
        // the door takes half of that as long as it cannot be sure.
        let equal = equal_part(doors);
        let was_heard = self.was_heard(now);
        let is_full = self.accounts.len() >= MAX_ACCOUNTS;
        if is_full && !self.accounts.contains_key(workspace) {
            return Spend::Borrow;
        }
        let account = self.accounts.entry(workspace.clone());
        let account = account.or_insert_with(|| Account::open(now));
        account.arrivals += 1;
        account.whole = limit;
        let part_alone = if was_heard {
            account.part.midpoint(equal)
        } else {
            equal
        };
        match (is_in_touch, is_opening) {
            (true, _) => account.spend_from(now, part_of(limit, account.part)),
            (false, true) => account.spend_from(now, Limit::ZERO),
            (false, false) => account.spend_alone(now, limit, part_alone),
        }
        if account.bucket.take(TOKEN, now) {
            return Spend::Spent;
        }
        if !is_in_touch && !is_opening {
            let retry_after = account.bucket.wait_for(TOKEN).unwrap_or(USUAL_PAUSE);
            return Spend::Refused { retry_after };
        }
        match account.denied_until {
            Some((until, retry_after)) if now < until => Spend::Refused { retry_after },
            _ => Spend::Borrow,
        }
    }

    /// Takes over what became of a wish for a token.
    pub fn borrowed(&mut self, now: Instant, workspace: &WorkspaceId, borrowed: Borrowed) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        account.denied_until = match borrowed {
            Borrowed::Granted => None,
            Borrowed::Denied { retry_after } => {
                Some((now + retry_after.min(LONGEST_DENIAL), retry_after))
            }
        };
    }

    /// Takes in that the hub did not answer a wish for a token.
    pub fn unanswered(&mut self, now: Instant) {
        self.silent_until = Some(now + SILENCE);
    }

    fn is_in_touch(&self, now: Instant) -> bool {
        let is_silent = self.silent_until.is_some_and(|until| now < until);
        self.was_heard(now) && !is_silent
    }

    fn was_heard(&self, now: Instant) -> bool {
        self.answered
            .is_some_and(|at| now.saturating_duration_since(at) < TOUCH)
    }
}

impl Account {
    fn open(now: Instant) -> Self {
        Self {
            bucket: Bucket::empty(Limit::ZERO, now),
            part: 0,
            arrivals: 0,
            demand: 0,
            denied_until: None,
            whole: Limit::ZERO,
            is_alone: false,
        }
    }

    /// The bucket fills by the new part from now on, although its limit is set when it is used.
    fn take_part(&mut self, now: Instant, part: Part) {
        if self.part != part && !self.is_alone {
            let limit = self.whole;
            self.bucket.set_limit(part_of(limit, part), now);
        }
        self.part = part;
    }

    fn spend_from(&mut self, now: Instant, limit: Limit) {
        self.is_alone = false;
        self.bucket.set_limit(limit, now);
    }

    /// Spends from a part without the hub. However small it is it holds a whole token, and begins
    /// with its share of the burst, up to a token: the hub may have lent the rest before.
    fn spend_alone(&mut self, now: Instant, limit: Limit, part: Part) {
        let mut own = part_of(limit, part);
        if !self.is_alone {
            self.is_alone = true;
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
