//! Splitting the requests of a route among services by weight.
//!
//! Random choices deviate far from the weights in small samples, so smooth weighted round robin is
//! used: any sequence of requests is as close to the weights as whole requests allow. Load is not
//! considered: a request that the chosen service has no capacity for is refused rather than sent to
//! another service.

use std::collections::HashMap;

use nutmegwheel_types::RouteId;
use rand::Rng;

/// The upper bound of the random start offset of a round robin.
const MAX_START_OFFSET: u64 = 256;
/// The maximum number of routes whose state is kept. If it is exceeded, the state of all routes is
/// discarded.
const MAX_ROUTES: usize = 4096;

/// The traffic splits of all routes that lead to several services.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    round_robins: HashMap<RouteId, RoundRobin>,
}

/// Smooth weighted round robin over the services of one route.
#[derive(Debug)]
struct RoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl TrafficSplits {
    /// Chooses the index of a service by its weight, or returns `None` if all weights are 0.
    ///
    /// The sequence starts at a random offset, so that the first requests at many ingress nodes do
    /// not all go to the service with the greatest weight.
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
