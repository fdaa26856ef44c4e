//! A data centre in one thread under a virtual clock: seeds, one token server and ingress nodes.
#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_limits::{
    Limit, TOKEN,
    lease::{Candidate, LEASE_TERM, Voter, VoterOptions},
    messages::IngressId,
    share::{Renewal, Share},
    token_cache::{Decision, Spend, TokenCache, WorkspaceSlot},
    token_server::{Options, Output, TokenServer},
};
use nutmegwheel_types::{ProcessName, WorkspaceId};

pub(crate) const SEEDS: [&str; 3] = ["s1", "s2", "s3"];

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn limit(rate: f64, burst: u32) -> Limit {
    Limit::from_config(rate, f64::from(burst))
}

pub(crate) fn share_without_floor(limit: Limit) -> Share {
    Share {
        whole: limit,
        floor: Limit::ZERO,
    }
}

pub(crate) fn candidate(name: &str, incarnation: u64) -> Candidate {
    Candidate {
        name: name.into(),
        incarnation,
    }
}

pub(crate) fn token_server(name: &str, now: Instant) -> TokenServer {
    let candidate = candidate(name, 1);
    TokenServer::open(Options {
        candidate,
        data_centre: "riga1".into(),
        seeds: SEEDS.len(),
        now,
    })
}

pub(crate) fn voter(now: Instant) -> Voter {
    Voter::open(&VoterOptions {
        seeds: SEEDS.len(),
        now,
    })
}

pub(crate) fn ingress(index: usize) -> IngressId {
    IngressId {
        name: format!("n{index}").into(),
        incarnation: 1,
    }
}

pub(crate) struct DataCentre {
    pub(crate) now: Instant,
    pub(crate) voters: BTreeMap<ProcessName, Voter>,
    pub(crate) token_server: TokenServer,
    pub(crate) ingress_nodes: Vec<TokenCache>,
    pub(crate) workspace: WorkspaceId,
    pub(crate) share: Share,
    pub(crate) spent: Vec<Instant>,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) requests: usize,
}

impl DataCentre {
    /// Creates a data centre whose token server has just acquired the lease and has an empty
    /// bucket.
    pub(crate) fn serving(limit: Limit, ingress_nodes: usize) -> Self {
        let start = Instant::now();
        let mut voters: BTreeMap<_, _> = SEEDS.map(|s| (s.into(), voter(start))).into();
        for voter in voters.values_mut() {
            voter.record_control_shares(1);
        }
        let now = start + LEASE_TERM;
        let ingress_nodes = (0..ingress_nodes)
            .map(|i| TokenCache::open(ingress(i)))
            .collect();
        let mut dc = DataCentre {
            now,
            voters,
            token_server: token_server("a", now),
            ingress_nodes,
            workspace: "w".into(),
            share: share_without_floor(limit),
            spent: Vec::new(),
            decisions: Vec::new(),
            requests: 0,
        };
        dc.poll_token_server();
        dc.poll_token_server();
        assert!(dc.token_server.is_serving(dc.now));
        dc
    }

    pub(crate) fn slot(&mut self, ingress: usize) -> WorkspaceSlot {
        self.ingress_nodes[ingress].workspace_slot(&self.workspace, self.now)
    }

    /// Advances the clock in steps of 1 ms, polling the token server and the ingress nodes.
    pub(crate) fn advance(&mut self, millis: u64) {
        for tick in 0..millis {
            self.now += ms(1);
            if tick % 20 == 0 {
                self.poll_token_server();
            }
            (0..self.ingress_nodes.len()).for_each(|i| self.poll_ingress(i, tick % 20 == 0));
        }
    }

    pub(crate) fn spend(&mut self, ingress: usize, waiter: u64) -> Spend {
        let slot = self.slot(ingress);
        let spend = self.ingress_nodes[ingress].spend(slot, waiter, self.now);
        if spend == Spend::Spent {
            self.spent.push(self.now);
        }
        self.poll_ingress(ingress, false);
        spend
    }

    pub(crate) fn poll_ingress(&mut self, index: usize, is_tick: bool) {
        while is_tick || self.ingress_nodes[index].is_urgent() {
            let out = self.ingress_nodes[index].poll(self.now);
            self.decide(out.decisions);
            let Some(req) = out.request else { return };
            self.requests += 1;
            if let Ok(grant) = self.token_server.on_request(&req, self.now) {
                let decisions = self.ingress_nodes[index].apply_grant(&grant, self.now);
                self.decide(decisions);
            }
            if is_tick {
                return;
            }
        }
    }

    fn decide(&mut self, decisions: Vec<Decision>) {
        let spent = decisions.iter().filter(|d| d.spend == Spend::Spent).count();
        self.spent.extend(std::iter::repeat_n(self.now, spent));
        self.decisions.extend(decisions);
    }

    pub(crate) fn poll_token_server(&mut self) {
        for output in self.token_server.poll(self.now, Duration::ZERO) {
            match output {
                Output::Lease(req) => {
                    for (name, voter) in &mut self.voters {
                        let reply = voter.on_request(&req, self.now);
                        self.token_server.on_lease_reply(name, &reply, self.now);
                    }
                }
                Output::Release(release) => {
                    self.voters.values_mut().for_each(|s| s.release(&release));
                }
                Output::Renewal(req) => {
                    let shares = [(self.workspace.clone(), self.share)].into();
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
}

/// Asserts that the tokens spent in any period do not exceed the rate times its length plus the
/// burst.
pub(crate) fn assert_within(spent: &[Instant], limit: Limit) {
    for (i, from) in spent.iter().enumerate() {
        for (j, to) in spent.iter().enumerate().skip(i) {
            let count = (j - i + 1) as u128 * u128::from(TOKEN) * 1_000_000_000;
            let allowed = (*to - *from).as_nanos() * u128::from(limit.rate)
                + u128::from(limit.burst) * 1_000_000_000;
            assert!(
                count <= allowed,
                "{} tokens within {:?}",
                j - i + 1,
                *to - *from
            );
        }
    }
}
