//! Model check of the retry budget of a call chain, as specified in docs/POLICY.md.
//!
//! The model runs the real [`ChainBudget`]. A root request calls a middle service, which calls a
//! leaf. Responses may be lost, and backend servers may repeat calls. The invariant is that the sum
//! of all retries and all remaining tokens never exceeds the tokens of the root request.

use std::hash::{Hash, Hasher};

use nutmegwheel_policy::retry::{CallEnd, ChainBudget, ChildKey};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const TOKENS: u32 = 3;
/// The maximum number of calls that each request makes, including repeats.
const MAX_CALLS: u8 = 3;
const LAYERS: usize = 2;

/// A running request and the number of calls that it has made.
#[derive(Clone, Debug)]
struct Running {
    chain: ChainBudget,
    calls: u8,
}

/// The call chain as a list of requests, each of which waits for the next one. Abandoned requests
/// keep running on their own.
#[derive(Clone, Debug)]
struct State {
    requests: Vec<(Running, Option<ChildKey>)>,
    /// The tokens held by requests whose callers no longer wait for them.
    abandoned: Vec<u32>,
    retries: u32,
    is_faulty: bool,
    step: &'static str,
}

/// The tokens of an ended request that its parent gets back.
struct Ended {
    unspent: Option<u32>,
}

/// The part of a state by which states are compared; it omits the keys of calls.
type Projection = (Vec<(u32, u8, Vec<(u128, u32)>, bool)>, Vec<u32>, u32);

impl State {
    fn start(is_faulty: bool) -> Self {
        let root = Running {
            chain: ChainBudget::open(TOKENS),
            calls: 0,
        };
        Self {
            requests: vec![(root, None)],
            abandoned: Vec::new(),
            retries: 0,
            is_faulty,
            step: "start",
        }
    }

    fn projection(&self) -> Projection {
        let requests = self.requests.iter().map(|(running, _)| {
            let chain = &running.chain;
            let mut lent: Vec<_> = chain
                .calls_in_flight()
                .map(|(_, call, lent)| (call, lent))
                .collect();
            lent.sort_unstable();
            (chain.available(), running.calls, lent, chain.is_repeat(0))
        });
        (requests.collect(), self.abandoned.clone(), self.retries)
    }

    /// The retries made so far and those that may still be made.
    fn retries_and_tokens(&self) -> u32 {
        let held: u32 = self
            .requests
            .iter()
            .map(|(running, _)| running.chain.available())
            .sum();
        self.retries + held + self.abandoned.iter().sum::<u32>()
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        next.extend(self.begin_call());
        next.extend(self.end_call(CallEnd::Answered, true));
        next.extend(self.end_call(CallEnd::Failed, true));
        next.extend(self.end_call(CallEnd::Failed, false));
        next.extend(self.node_retries(true));
        next.extend(self.node_retries(false));
        next.extend(self.spend_abandoned());
        next
    }

    /// The last request of the chain makes its call or repeats it.
    fn begin_call(&self) -> Option<Self> {
        let mut next = self.clone();
        let is_leaf = next.requests.len() > LAYERS;
        let (running, call_in_flight) = next.requests.last_mut()?;
        if is_leaf || running.calls >= MAX_CALLS {
            return None;
        }
        let begun = running.chain.begin(0).ok()?;
        running.calls += 1;
        *call_in_flight = Some(begun.child);
        next.retries += u32::from(begun.is_repeat);
        next.requests.push((
            Running {
                chain: ChainBudget::open(begun.tokens),
                calls: 0,
            },
            None,
        ));
        next.step = if begun.is_repeat { "repeat" } else { "call" };
        Some(next)
    }

    /// The last request of the chain ends. The tokens of a lost response are lost for the parent,
    /// but the request may continue to spend them.
    fn end_call(&self, end: CallEnd, is_delivered: bool) -> Option<Self> {
        let mut next = self.clone();
        let Ended { unspent } = next.end_last(is_delivered)?;
        let (parent, call_in_flight) = next.requests.last_mut()?;
        parent.chain.finish(call_in_flight.take()?, end, unspent);
        next.step = match (end, is_delivered) {
            (CallEnd::Answered, _) => "answer",
            (CallEnd::Failed, true) => "refusal",
            (CallEnd::Failed, false) => "lost response",
        };
        Some(next)
    }

    /// The node of the parent retries the call of the last request.
    fn node_retries(&self, is_delivered: bool) -> Option<Self> {
        let mut next = self.clone();
        let Ended { unspent } = next.end_last(is_delivered)?;
        let (parent, call_in_flight) = next.requests.last_mut()?;
        let tokens = parent.chain.retry((*call_in_flight)?, unspent).ok()?;
        next.retries += 1;
        next.requests.push((
            Running {
                chain: ChainBudget::open(tokens),
                calls: 0,
            },
            None,
        ));
        next.step = if is_delivered {
            "retry after refusal"
        } else {
            "retry after lost response"
        };
        Some(next)
    }

    /// Ends the last request of the chain and returns the tokens that the parent gets back. The
    /// faulty variant also returns those of a lost response, although their holder may still spend
    /// them.
    fn end_last(&mut self, is_delivered: bool) -> Option<Ended> {
        if self.requests.len() < 2 {
            return None;
        }
        let (running, _) = self.requests.pop()?;
        let tokens = running.chain.close();
        if is_delivered {
            return Some(Ended {
                unspent: Some(tokens),
            });
        }
        if tokens > 0 {
            self.abandoned.push(tokens);
            self.abandoned.sort_unstable();
        }
        Some(Ended {
            unspent: self.is_faulty.then_some(tokens),
        })
    }

    fn spend_abandoned(&self) -> Option<Self> {
        let mut next = self.clone();
        let tokens = next.abandoned.pop()?;
        if tokens > 1 {
            next.abandoned.push(tokens - 1);
            next.abandoned.sort_unstable();
        }
        next.retries += 1;
        next.step = "retry by an abandoned request";
        Some(next)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.projection() == other.projection()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.projection().hash(hasher);
    }
}

#[test]
fn no_state_exceeds_budget() {
    let mut states = 0;
    let mut max_retries = 0;
    let reached: Vec<_> = bfs_reach(State::start(false), State::successors).collect();
    for state in &reached {
        states += 1;
        max_retries = max_retries.max(state.retries);
        assert!(state.retries_and_tokens() <= TOKENS, "{state:?}");
    }
    let depth = depth(State::start(false));
    println!("model: {states} states, depth {depth}, at most {max_retries} retries of {TOKENS}");
    assert_eq!(max_retries, TOKENS, "the whole budget can be used");
}

/// The number of steps to the most distant state.
fn depth(start: State) -> usize {
    let mut seen = std::collections::HashSet::from([start.clone()]);
    let mut level = vec![start];
    let mut depth = 0;
    loop {
        let next: Vec<_> = level.iter().flat_map(State::successors).collect();
        level = next
            .into_iter()
            .filter(|state| seen.insert(state.clone()))
            .collect();
        if level.is_empty() {
            return depth;
        }
        depth += 1;
    }
}

#[test]
fn detects_fault_returning_lost_tokens() {
    let is_broken = |state: &State| state.retries > TOKENS;
    let steps = bfs(&State::start(true), State::successors, is_broken);
    let steps = steps.expect("the injected fault exceeds the budget");
    let steps: Vec<_> = steps.iter().map(|state| state.step).collect();
    println!(
        "injected fault: {} steps: {}",
        steps.len() - 1,
        steps.join(", ")
    );
    assert!(bfs(&State::start(false), State::successors, is_broken).is_none());
}
