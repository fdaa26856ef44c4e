//! The services that share the requests of a route by weight.
//!
//! A draw by chance misses the weights in small samples by a lot. The choice is a wheel, so that
//! every run of requests is as close to the weights as whole requests can be. It never looks at
//! load: what one service has no room for is refused and not moved to another one.

use std::collections::HashMap;

use nutmegwheel_types::RouteId;
use rand::Rng;

/// The most steps that a wheel is turned before its first choice.
const MAX_START_OFFSET: u64 = 256;
/// The most routes whose wheels are kept; past it all wheels start anew.
const MAX_ROUTES: usize = 4096;

/// The wheels of all routes that lead to several services.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    round_robins: HashMap<RouteId, RoundRobin>,
}

/// Smooth weighted round robin over the parts of one route.
#[derive(Debug)]
struct RoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl TrafficSplits {
    /// Chooses a part by its weight, or returns `None` where no weight is above 0.
    ///
    /// Wheels begin at a random place, so that the first requests at many doors do not all go to
    /// the heaviest part.
    pub fn choose(
        &mut self,
        route: &RouteId,
        weights: &[u32],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let is_current = self
            .round_robins
            .get(route)
            .is_some_and(|known| known.weights == weights);
        if !is_current {
            if self.round_robins.len() >= MAX_ROUTES {
                self.round_robins.clear();
            }
            self.round_robins
                .insert(route.clone(), RoundRobin::open(weights, rng));
        }
        self.round_robins.get_mut(route)?.advance()
    }
}

impl RoundRobin {
    fn open(weights: &[u32], rng: &mut impl Rng) -> Self {
        let mut round_robin = Self {
            weights: weights.to_vec(),
            credits: vec![0; weights.len()],
        };
        let total: u64 = weights.iter().copied().map(u64::from).sum();
        for _ in 0..rng.random_range(0..total.clamp(1, MAX_START_OFFSET)) {
            round_robin.advance();
        }
        round_robin
    }

    fn advance(&mut self) -> Option<usize> {
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let total: i64 = self.weights.iter().copied().map(i64::from).sum();
        let weighted = (0..self.weights.len()).filter(|index| self.weights[*index] > 0);
        let chosen = weighted.max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
