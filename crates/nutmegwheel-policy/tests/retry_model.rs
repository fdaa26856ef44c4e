//! Model check of the chain retry budget, from the specification in docs/POLICY.md.
//!
//! The states drive the real [`ChainBudget`]. A root calls a middle service that calls a leaf; answers
//! may be lost and backend servers may repeat calls. The invariant is that the retries done and
//! the tokens that are left anywhere never pass the tokens of the root.

use std::hash::{Hash, Hasher};

use nutmegwheel_policy::retry::{CallEnd, ChainBudget, ChildKey};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const TOKENS: u32 = 3;
/// The most calls that each backend server makes in a run, repeats included.
const MAX_CALLS: u8 = 3;
const LAYERS: usize = 2;

/// One request that runs, with the calls that it made.
#[derive(Clone, Debug)]
struct Running {
    chain: ChainBudget,
    calls: u8,
}

/// The tree is a line of requests; each but the last waits for the one below, while calls that
/// were abandoned go on below on their own.
#[derive(Clone, Debug)]
struct State {
    line: Vec<(Running, Option<ChildKey>)>,
    /// Requests whose callers have given them up.
    abandoned: Vec<u32>,
    retries: u32,
    is_faulty: bool,
    trace: &'static str,
}

/// What the parent of a request that ended sees of its tokens.
struct Ended {
    unspent: Option<u32>,
}

/// What tells states apart: keys of calls are only names.
type Projection = (Vec<(u32, u8, Vec<(u128, u32)>, bool)>, Vec<u32>, u32);

impl State {
    fn start(is_faulty: bool) -> Self {
        let root = Running {
            chain: ChainBudget::open(TOKENS),
            calls: 0,
        };
        Self {
            line: vec![(root, None)],
            abandoned: Vec::new(),
            retries: 0,
            is_faulty,
            trace: "start",
        }
    }

    fn projection(&self) -> Projection {
        let line = self.line.iter().map(|(running, _)| {
            let chain = &running.chain;
            let mut lent: Vec<_> = chain
                .under_way()
                .map(|(_, call, lent)| (call, lent))
                .collect();
            lent.sort_unstable();
            (chain.available(), running.calls, lent, chain.is_repeat(0))
        });
        (line.collect(), self.abandoned.clone(), self.retries)
    }

    /// The retries done and those that may still be done.
    fn retries_and_tokens(&self) -> u32 {
        let held: u32 = self
            .line
            .iter()
            .map(|(running, _)| running.chain.available())
            .sum();
        self.retries + held + self.abandoned.iter().sum::<u32>()
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        next.extend(self.begin_call());
        next.extend(self.answer(CallEnd::Answered, true));
        next.extend(self.answer(CallEnd::Failed, true));
        next.extend(self.answer(CallEnd::Failed, false));
        next.extend(self.node_retries(true));
        next.extend(self.node_retries(false));
        next.extend(self.spend_abandoned());
        next
    }

    /// The lowest request makes its call, or repeats it.
    fn begin_call(&self) -> Option<Self> {
        let mut next = self.clone();
        let is_leaf = next.line.len() > LAYERS;
        let (running, under_way) = next.line.last_mut()?;
        if is_leaf || running.calls >= MAX_CALLS {
            return None;
        }
        let begun = running.chain.begin(0).ok()?;
        running.calls += 1;
        *under_way = Some(begun.child);
        next.retries += u32::from(begun.is_repeat);
        next.line.push((
            Running {
                chain: ChainBudget::open(begun.tokens),
                calls: 0,
            },
            None,
        ));
        next.trace = if begun.is_repeat { "repeat" } else { "call" };
        Some(next)
    }

    /// The lowest request ends. A lost answer takes its tokens along, and its backend server may
    /// go on spending them.
    fn answer(&self, end: CallEnd, arrives: bool) -> Option<Self> {
        let mut next = self.clone();
        let Ended { unspent } = next.end_lowest(arrives)?;
        let (parent, under_way) = next.line.last_mut()?;
        parent.chain.settle(under_way.take()?, end, unspent);
        next.trace = match (end, arrives) {
            (CallEnd::Answered, _) => "answer",
            (CallEnd::Failed, true) => "refusal",
            (CallEnd::Failed, false) => "lost answer",
        };
        Some(next)
    }

    /// The node above sends the call of the lowest request again.
    fn node_retries(&self, arrives: bool) -> Option<Self> {
        let mut next = self.clone();
        let Ended { unspent } = next.end_lowest(arrives)?;
        let (parent, under_way) = next.line.last_mut()?;
        let tokens = parent.chain.retry((*under_way)?, unspent).ok()?;
        next.retries += 1;
        next.line.push((
            Running {
                chain: ChainBudget::open(tokens),
                calls: 0,
            },
            None,
        ));
        next.trace = if arrives {
            "retry after refusal"
        } else {
            "retry after lost answer"
        };
        Some(next)
    }

    /// Gives the tokens that the parent sees. The faulty variant gives those of a lost answer
    /// back, as if the one that holds them could not spend them any more.
    fn end_lowest(&mut self, arrives: bool) -> Option<Ended> {
        if self.line.len() < 2 {
            return None;
        }
        let (running, _) = self.line.pop()?;
        let tokens = running.chain.close();
        if arrives {
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
        next.trace = "retry by an abandoned request";
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
fn no_reachable_state_passes_the_budget() {
    let mut states = 0;
    let mut most = 0;
    let reached: Vec<_> = bfs_reach(State::start(false), State::successors).collect();
    for state in &reached {
        states += 1;
        most = most.max(state.retries);
        assert!(state.retries_and_tokens() <= TOKENS, "{state:?}");
    }
    let depth = depth(State::start(false));
    println!("model: {states} states, depth {depth}, at most {most} retries of {TOKENS}");
    assert_eq!(most, TOKENS, "the budget can be used up");
}

/// The number of steps to the farthest state.
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
fn giving_back_the_tokens_of_a_lost_answer_is_caught() {
    let is_broken = |state: &State| state.retries > TOKENS;
    let trace = bfs(&State::start(true), State::successors, is_broken);
    let trace = trace.expect("the seeded fault breaks the budget");
    let steps: Vec<_> = trace.iter().map(|state| state.trace).collect();
    println!(
        "seeded fault: {} steps: {}",
        steps.len() - 1,
        steps.join(", ")
    );
    assert!(bfs(&State::start(false), State::successors, is_broken).is_none());
}
