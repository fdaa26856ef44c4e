use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use nutmegwheel_types::{ProcessName, WorkspaceId};

use super::{Answer, Borrowed, Part, RESERVE_PERCENT, Report, TOUCH, WHOLE, equal_part, part_of};
use crate::{Limit, TOKEN, bucket::Bucket};

/// The longest time in which a new hub only learns what the doors hold: those out of touch with it
/// have fallen back to their equal parts by then.
const LEARNING: Duration = Duration::from_millis(2500);
/// The time for which a new hub takes the reserve to have filled already; its predecessor has been
/// silent for longer, an election timeout at least.
const HEAD_START: Duration = Duration::from_millis(500);
/// What is dealt out in equal parts, in percent of what is dealt out.
const EQUAL_PERCENT: u64 = 15;
/// The least tokens that each door's part has to hold; smaller limits are lent as a whole.
const LEAST_BURST: u64 = 2 * TOKEN;
/// When to come back where the limit allows nothing at all.
const NEVER_PAUSE: Duration = Duration::from_secs(5);

/// Divides the limits of workspaces among doors.
#[derive(Debug)]
pub struct Hub {
    opened: Instant,
    doors: BTreeMap<ProcessName, Known>,
    reserves: HashMap<WorkspaceId, Bucket>,
}

#[derive(Debug)]
struct Known {
    heard: Instant,
    items: HashMap<WorkspaceId, Held>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    demand: u64,
    part: Part,
}

/// Lifecycle.
impl Hub {
    /// Opens a hub that knows no door yet.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            opened: now,
            doors: BTreeMap::new(),
            reserves: HashMap::new(),
        }
    }
}

/// Dividing.
impl Hub {
    /// Takes a report in and answers it. `limit` tells the limits of workspaces, and `doors` how many
    /// doors there are, those out of touch included.
    pub fn report(
        &mut self,
        now: Instant,
        report: &Report,
        doors: usize,
        limit: impl Fn(&WorkspaceId) -> Option<Limit>,
    ) -> Answer {
        self.forget_silent(now);
        let items = report.items.iter().map(|item| {
            let held = Held {
                demand: item.demand,
                part: item.part,
            };
            (item.workspace.clone(), held)
        });
        let known = Known {
            heard: now,
            items: items.collect(),
        };
        self.doors.insert(report.door.clone(), known);
        let mut parts = Vec::new();
        for item in &report.items {
            let part = match limit(&item.workspace) {
                None => 0,
                Some(_) if self.is_learning(now, doors) => item.part,
                Some(limit) => self.part(&report.door, &item.workspace, limit, doors),
            };
            parts.push((item.workspace.clone(), part));
        }
        if let Some(known) = self.doors.get_mut(&report.door) {
            for (workspace, part) in &parts {
                known.items.entry(workspace.clone()).or_default().part = *part;
            }
        }
        Answer { parts }
    }

    /// Lends a token out of what is kept back.
    pub fn borrow(
        &mut self,
        now: Instant,
        workspace: &WorkspaceId,
        limit: Limit,
        doors: usize,
    ) -> Borrowed {
        self.forget_silent(now);
        let kept_back = if self.is_learning(now, doors) {
            // Which doors are in touch shows only by their reports, and parts take no more than
            // the rest.
            WHOLE / 100 * RESERVE_PERCENT
        } else {
            self.in_touch(doors).saturating_sub(self.dealt(workspace))
        };
        let reserve = part_of(limit, kept_back);
        let bucket = self.reserves.entry(workspace.clone());
        // Nobody lent in the time before this hub was opened.
        let since = self.opened.checked_sub(HEAD_START).unwrap_or(self.opened);
        let bucket = bucket.or_insert_with(|| Bucket::empty(reserve, since));
        bucket.set_limit(reserve, now);
        if bucket.take(TOKEN, now) {
            return Borrowed::Granted;
        }
        let retry_after = bucket.wait_for(TOKEN).unwrap_or(NEVER_PAUSE);
        Borrowed::Denied { retry_after }
    }

    /// Whether doors may hold parts that this hub has not heard of.
    fn is_learning(&self, now: Instant, doors: usize) -> bool {
        now < self.opened + LEARNING && self.doors.len() < doors
    }

    /// Those out of touch use their equal parts, which the others' parts leave free.
    fn forget_silent(&mut self, now: Instant) {
        self.doors
            .retain(|_, known| now.saturating_duration_since(known.heard) < TOUCH);
    }

    /// What the doors in touch hold in standing parts.
    fn dealt(&self, workspace: &WorkspaceId) -> Part {
        let items = self.doors.values().map(|known| known.items.get(workspace));
        items
            .flatten()
            .map(|held| held.part)
            .sum::<Part>()
            .min(WHOLE)
    }

    /// What all doors in touch may use together.
    fn in_touch(&self, doors: usize) -> Part {
        let live = self.doors.len();
        let each = equal_part(doors.max(live));
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        each.saturating_mul(live).min(WHOLE)
    }

    /// What is dealt out to them in standing parts: nothing where the parts could not even hold a
    /// few tokens.
    fn shared(&self, limit: Limit, doors: usize) -> Part {
        let all = self.in_touch(doors);
        let shared = all / 100 * (100 - RESERVE_PERCENT);
        let live = u64::try_from(self.doors.len().max(1)).unwrap_or(u64::MAX);
        if part_of(limit, shared).burst / live < LEAST_BURST {
            return 0;
        }
        shared
    }

    /// A part grows only into what the others have given up by their own reports.
    fn part(
        &self,
        door: &ProcessName,
        workspace: &WorkspaceId,
        limit: Limit,
        doors: usize,
    ) -> Part {
        let shared = u64::from(self.shared(limit, doors));
        let mut demand = 0;
        let mut own = 0;
        let mut taken = 0;
        for (name, known) in &self.doors {
            let held = known.items.get(workspace).copied().unwrap_or_default();
            demand += held.demand;
            if name == door {
                own = held.demand;
            } else {
                taken += u64::from(held.part);
            }
        }
        let live = u64::try_from(self.doors.len().max(1)).unwrap_or(u64::MAX);
        let equal = shared * EQUAL_PERCENT / 100 / live;
        let by_demand = match demand {
            0 => (shared - shared * EQUAL_PERCENT / 100) / live,
            demand => (shared - shared * EQUAL_PERCENT / 100) * own / demand,
        };
        let part = (equal + by_demand).min(shared.saturating_sub(taken));
        Part::try_from(part).unwrap_or(WHOLE)
    }
}
