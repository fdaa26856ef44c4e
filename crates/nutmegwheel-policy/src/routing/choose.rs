use std::time::Instant;

use rand::Rng;

use super::{BackendKey, Error, Request, Table};

/// The number of random draws before the whole pool is scanned.
const MAX_RANDOM_DRAWS: usize = 8;

/// The backend servers that a choice considers. Each tier is used only if the one before has no
/// candidate.
#[derive(Clone, Copy)]
pub(super) enum Tier {
    /// Only those that are neither ejected nor unreachable.
    Healthy,
    /// Ejected ones as well.
    Ejected,
    /// Ejected ones and those whose node was recently unreachable as well.
    Unreachable,
}

#[derive(Clone, Copy)]
struct Candidate {
    key: BackendKey,
    projected_load: f64,
    /// The load without the new request. The spill-over threshold is compared with this one, so
    /// that an idle backend server with a low limit does not count as full.
    current_load: f64,
}

impl Table {
    /// Chooses the less loaded of two random backend servers and counts the request as
    /// outstanding there until [`finish`](Table::finish) is called.
    ///
    /// The local data centre is preferred. Work spills over to another one only when the local
    /// choice is loaded beyond [`spill_percent`](super::Options::spill_percent) and the load of the
    /// remote choice is lower by more than
    /// [`spill_margin_percent`](super::Options::spill_margin_percent). Ejected backend servers are
    /// used only when no other is eligible, since an ejection is merely a suspicion. Unreachable
    /// ones are the last resort.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoneReady`] when no backend server accepts new work, and
    /// [`Error::AllTried`] when the request has already been sent to all that do.
    pub fn choose(
        &mut self,
        now: Instant,
        req: &Request<'_>,
        rng: &mut impl Rng,
    ) -> Result<BackendKey, Error> {
        let candidate = self
            .candidate(now, req, Tier::Healthy, rng)
            .or_else(|| self.candidate(now, req, Tier::Ejected, rng))
            .or_else(|| self.candidate(now, req, Tier::Unreachable, rng))
            .ok_or_else(|| self.no_candidate_error())?;
        self.servers[candidate.key].outstanding += 1;
        Ok(candidate.key)
    }

    fn candidate(
        &self,
        now: Instant,
        req: &Request<'_>,
        tier: Tier,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let local = self.less_loaded_of_two(now, &self.local, req, tier, rng);
        let spill_threshold = f64::from(self.options.spill_percent) / 100.0;
        if local.is_some_and(|local| local.current_load < spill_threshold) {
            return local;
        }
        let remote = self.less_loaded_of_two(now, &self.remote, req, tier, rng);
        match (local, remote) {
            (Some(local), Some(remote)) => Some(self.prefer_local(local, remote)),
            (local, remote) => local.or(remote),
        }
    }

    fn prefer_local(&self, local: Candidate, remote: Candidate) -> Candidate {
        let margin = f64::from(self.options.spill_margin_percent) / 100.0;
        if remote.projected_load + margin < local.projected_load {
            remote
        } else {
            local
        }
    }

    fn less_loaded_of_two(
        &self,
        now: Instant,
        pool: &[BackendKey],
        req: &Request<'_>,
        tier: Tier,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let is_eligible = |key: BackendKey| self.is_eligible(now, key, req, tier);
        let mut pair = draw_two(pool, is_eligible, rng);
        // `min_by` returns the first of two equal loads, and the sample of a small pool is ordered.
        if rng.random() {
            pair.swap(0, 1);
        }
        pair.into_iter()
            .flatten()
            .map(|key| Candidate {
                key,
                projected_load: self.servers[key].projected_load(now, req.priority, &self.options),
                current_load: self.servers[key].current_load(now, req.priority, &self.options),
            })
            .min_by(|a, b| a.projected_load.total_cmp(&b.projected_load))
    }

    pub(super) fn is_eligible(
        &self,
        now: Instant,
        key: BackendKey,
        req: &Request<'_>,
        tier: Tier,
    ) -> bool {
        let server = &self.servers[key];
        let is_in_tier = match tier {
            Tier::Healthy => !server.is_ejected(now) && !server.is_unreachable(now),
            Tier::Ejected => !server.is_unreachable(now),
            Tier::Unreachable => true,
        };
        server.is_available() && is_in_tier && !req.tried.contains(&key)
    }

    fn no_candidate_error(&self) -> Error {
        let available = self
            .servers
            .values()
            .filter(|server| server.is_available())
            .count();
        let data_centre = self.data_centre.clone();
        if available == 0 {
            Error::NoneReady {
                data_centre,
                known: self.servers.len(),
            }
        } else {
            Error::AllTried {
                data_centre,
                tried: available,
            }
        }
    }
}

/// Returns two different eligible keys, or fewer if the pool has fewer.
///
/// A few random draws are enough in a mostly healthy pool; otherwise the whole pool is scanned.
pub(super) fn draw_two(
    pool: &[BackendKey],
    is_eligible: impl Fn(BackendKey) -> bool,
    rng: &mut impl Rng,
) -> [Option<BackendKey>; 2] {
    if pool.len() <= MAX_RANDOM_DRAWS {
        return sample_two(pool, is_eligible, rng);
    }
    let mut first = None;
    for _ in 0..MAX_RANDOM_DRAWS {
        let key = pool[rng.random_range(0..pool.len())];
        if first == Some(key) || !is_eligible(key) {
            continue;
        }
        if first.is_some() {
            return [first, Some(key)];
        }
        first = Some(key);
    }
    sample_two(pool, is_eligible, rng)
}

/// Selects two eligible keys by reservoir sampling.
fn sample_two(
    pool: &[BackendKey],
    is_eligible: impl Fn(BackendKey) -> bool,
    rng: &mut impl Rng,
) -> [Option<BackendKey>; 2] {
    let mut chosen = [None, None];
    let eligible = pool.iter().copied().filter(|key| is_eligible(*key));
    for (seen, key) in eligible.enumerate() {
        let index = if seen < 2 {
            seen
        } else {
            rng.random_range(0..=seen)
        };
        if let Some(slot) = chosen.get_mut(index) {
            *slot = Some(key);
        }
    }
    chosen
}
