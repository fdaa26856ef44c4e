//! A micro-benchmark: `cargo run --release -p nutmegwheel-limits --example limits_bench`.
//!
//! It prints the memory per workspace, the time of a local spend, and the message rates of ingress
//! nodes and token server under an even load. Everything runs in one thread under a virtual clock;
//! replies arrive immediately.

use std::time::{Duration, Instant};

use nutmegwheel_limits::{
    Limit,
    lease::{Candidate, LEASE_TERM, Voter, VoterOptions},
    messages::IngressId,
    share::{Renewal, Share},
    token_cache::{POLL_INTERVAL, Spend, TokenCache},
    token_server::{Options, Output, TokenServer},
};
use nutmegwheel_types::WorkspaceId;

const INGRESS_NODES: usize = 125;
const CALLS_PER_SECOND: u64 = 57;
const SECONDS: u64 = 10;

struct Bench {
    now: Instant,
    voter: Voter,
    token_server: TokenServer,
    workspaces: Vec<WorkspaceId>,
}

fn main() {
    memory();
    for workspaces in [8, 100] {
        load(workspaces);
    }
    spend();
}

impl Bench {
    fn open(workspaces: usize) -> Self {
        let start = Instant::now();
        let mut voter = Voter::open(&VoterOptions {
            seeds: 1,
            now: start,
        });
        voter.record_control_shares(1);
        let candidate = Candidate {
            name: "n1".into(),
            incarnation: 1,
        };
        let now = start + LEASE_TERM;
        let options = Options {
            candidate,
            data_centre: "riga1".into(),
            seeds: 1,
            now,
        };
        let workspaces = (0..workspaces).map(|w| format!("w{w}").into()).collect();
        Bench {
            now,
            voter,
            token_server: TokenServer::open(options),
            workspaces,
        }
    }

    fn poll_token_server(&mut self) {
        for output in self.token_server.poll(self.now, Duration::ZERO) {
            match output {
                Output::Lease(req) => {
                    let reply = self.voter.on_request(&req, self.now);
                    self.token_server
                        .on_lease_reply(&"n1".into(), &reply, self.now);
                }
                Output::Release(release) => self.voter.release(&release),
                Output::Renewal(req) => {
                    let limit = Limit::from_config(10_000.0, 20_000.0);
                    let share = Share {
                        whole: limit,
                        floor: limit,
                    };
                    let shares = self.workspaces.iter().map(|w| (w.clone(), share)).collect();
                    let renewal = Renewal {
                        number: req.number,
                        version: 1,
                        shares,
                    };
                    self.token_server.on_renewal(&renewal, self.now);
                }
            }
        }
    }

    /// Polls an ingress node. Returns the numbers of messages sent and of waiting requests decided.
    fn poll_ingress(&mut self, ingress: &mut TokenCache, is_tick: bool) -> (u64, usize) {
        let (mut requests, mut decided) = (0, 0);
        let mut is_due = is_tick;
        while is_due || ingress.is_urgent() {
            is_due = false;
            let Some(req) = ingress.poll(self.now).request else {
                continue;
            };
            requests += 1;
            let Ok(grant) = self.token_server.on_request(&req, self.now) else {
                continue;
            };
            decided += ingress.apply_grant(&grant, self.now).len();
        }
        (requests, decided)
    }
}

/// Prints the resident memory per workspace, each with one batch of tokens.
fn memory() {
    const WORKSPACES: usize = 100_000;
    let mut bench = Bench::open(WORKSPACES);
    let mut ingress = TokenCache::open(IngressId {
        name: "n1".into(),
        incarnation: 1,
    });
    bench.poll_token_server();
    bench.now += Duration::from_secs(1);
    let before = resident_bytes();
    for workspace in &bench.workspaces {
        let slot = ingress.workspace_slot(workspace, bench.now);
        ingress.spend(slot, 1, bench.now);
    }
    bench.poll_ingress(&mut ingress, true);
    let bytes = resident_bytes().saturating_sub(before) / WORKSPACES;
    println!("{bytes} bytes per workspace at an ingress node, with its batch at the token server");
}

/// The resident set size of this process, or 0 if the platform does not report it.
fn resident_bytes() -> usize {
    const PAGE: usize = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

/// Prints the message rates of ingress nodes whose calls cycle through the workspaces. Each node
/// starts at a different workspace.
fn load(workspaces: usize) {
    let mut bench = Bench::open(workspaces);
    let id = |d| IngressId {
        name: format!("n{d}").into(),
        incarnation: 1,
    };
    let mut ingress_nodes: Vec<_> = (0..INGRESS_NODES)
        .map(|d| TokenCache::open(id(d)))
        .collect();
    let (mut requests, mut calls, mut local) = (0, 0, 0);
    let started = Instant::now();
    for tick in 0..SECONDS * 1000 {
        bench.now += Duration::from_millis(1);
        let is_tick = tick % u64::try_from(POLL_INTERVAL.as_millis()).unwrap_or(1) == 0;
        if is_tick {
            bench.poll_token_server();
        }
        for (d, ingress) in ingress_nodes.iter_mut().enumerate() {
            let due = |at: u64| (at + d as u64) * CALLS_PER_SECOND / 1000;
            if due(tick + 1) > due(tick) {
                let at = usize::try_from(due(tick)).unwrap_or(0) + d;
                let slot = ingress.workspace_slot(&bench.workspaces[at % workspaces], bench.now);
                calls += 1;
                local += u64::from(ingress.spend(slot, tick, bench.now) == Spend::Spent);
            }
            requests += bench.poll_ingress(ingress, is_tick).0;
        }
    }
    let spent = started.elapsed();
    println!(
        "{workspaces} workspaces, {INGRESS_NODES} ingress nodes, {CALLS_PER_SECOND} calls/s each: \
         {} of 1000 calls local, {} messages/s per ingress node, {} messages/s at the token server, \
         {} ms of processor time per second",
        local * 1000 / calls,
        requests / SECONDS / INGRESS_NODES as u64,
        requests / SECONDS,
        spent.as_millis() / u128::from(SECONDS),
    );
}

/// Prints the time to spend a prefetched token. The demand that causes the prefetch is not timed.
fn spend() {
    const DEMAND: u64 = 10_000;
    let mut bench = Bench::open(1);
    let mut ingress = TokenCache::open(IngressId {
        name: "n1".into(),
        incarnation: 1,
    });
    let (mut total, mut count) = (Duration::ZERO, 0);
    for _ in 0..100 {
        bench.now += Duration::from_secs(1);
        bench.poll_token_server();
        let slot = ingress.workspace_slot(&bench.workspaces[0], bench.now);
        for waiter in 0..DEMAND {
            ingress.spend(slot, waiter, bench.now);
            ingress.cancel(slot, waiter);
        }
        bench.poll_ingress(&mut ingress, true);
        bench.now += Duration::from_millis(200);
        bench.poll_ingress(&mut ingress, true);
        let tokens = ingress.available(slot, bench.now);
        let started = Instant::now();
        let spent = (0..tokens).filter(|_| ingress.spend(slot, 1, bench.now) == Spend::Spent);
        count += spent.count() as u128;
        total += started.elapsed();
    }
    println!(
        "{} ns per spend over {count} spends",
        total.as_nanos() / count.max(1)
    );
}
