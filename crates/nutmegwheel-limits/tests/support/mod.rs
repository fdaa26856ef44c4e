//! A data centre in one thread under a virtual clock: seeds, one steward and doors.
#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use nutmegwheel_limits::{
    Limit, TOKEN,
    lease::{Candidate, LEASE_TERM, Seed, SeedOptions},
    messages::DoorId,
    purse::{AccountKey, Decision, Purse, Spend},
    share::{Renewal, Share},
    steward::{Options, Output, Steward},
};
use nutmegwheel_types::{ProcessName, WorkspaceId};

pub(crate) const SEEDS: [&str; 3] = ["s1", "s2", "s3"];

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn limit(rate: f64, burst: u32) -> Limit {
    Limit::from_config(rate, f64::from(burst))
}

pub(crate) fn whole(limit: Limit) -> Share {
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

pub(crate) fn steward(name: &str, now: Instant) -> Steward {
    let candidate = candidate(name, 1);
    Steward::open(Options {
        candidate,
        data_centre: "riga1".into(),
        seeds: SEEDS.len(),
        now,
    })
}

pub(crate) fn seed(now: Instant) -> Seed {
    Seed::open(&SeedOptions {
        seeds: SEEDS.len(),
        now,
    })
}

pub(crate) fn door(index: usize) -> DoorId {
    DoorId {
        name: format!("n{index}").into(),
        incarnation: 1,
    }
}

pub(crate) struct DataCentre {
    pub(crate) now: Instant,
    pub(crate) seeds: BTreeMap<ProcessName, Seed>,
    pub(crate) steward: Steward,
    pub(crate) doors: Vec<Purse>,
    pub(crate) workspace: WorkspaceId,
    pub(crate) share: Share,
    pub(crate) spent: Vec<Instant>,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) asks: usize,
}

impl DataCentre {
    /// A data centre whose steward has just begun, with an empty bucket.
    pub(crate) fn serving(limit: Limit, doors: usize) -> Self {
        let start = Instant::now();
        let mut seeds: BTreeMap<_, _> = SEEDS.map(|s| (s.into(), seed(start))).into();
        for seed in seeds.values_mut() {
            seed.learn_from_control(1);
        }
        let now = start + LEASE_TERM;
        let doors = (0..doors).map(|i| Purse::open(door(i))).collect();
        let mut dc = DataCentre {
            now,
            seeds,
            steward: steward("a", now),
            doors,
            workspace: "w".into(),
            share: whole(limit),
            spent: Vec::new(),
            decisions: Vec::new(),
            asks: 0,
        };
        dc.poll_steward();
        dc.poll_steward();
        assert!(dc.steward.is_serving(dc.now));
        dc
    }

    pub(crate) fn key(&mut self, door: usize) -> AccountKey {
        self.doors[door].account(&self.workspace, self.now)
    }

    /// Moves the clock by a millisecond at a time; the steward and the doors do what is due.
    pub(crate) fn advance(&mut self, millis: u64) {
        for tick in 0..millis {
            self.now += ms(1);
            if tick % 20 == 0 {
                self.poll_steward();
            }
            (0..self.doors.len()).for_each(|i| self.poll_door(i, tick % 20 == 0));
        }
    }

    pub(crate) fn spend(&mut self, door: usize, waiter: u64) -> Spend {
        let key = self.key(door);
        let spend = self.doors[door].spend(key, waiter, self.now);
        if spend == Spend::Spent {
            self.spent.push(self.now);
        }
        self.poll_door(door, false);
        spend
    }

    pub(crate) fn poll_door(&mut self, index: usize, is_tick: bool) {
        while is_tick || self.doors[index].is_urgent() {
            let out = self.doors[index].poll(self.now);
            self.decide(out.decisions);
            let Some(ask) = out.ask else { return };
            self.asks += 1;
            if let Ok(grant) = self.steward.ask(&ask, self.now) {
                let decisions = self.doors[index].granted(&grant, self.now);
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

    pub(crate) fn poll_steward(&mut self) {
        for output in self.steward.poll(self.now, Duration::ZERO) {
            match output {
                Output::Lease(req) => {
                    for (name, seed) in &mut self.seeds {
                        let reply = seed.request(&req, self.now);
                        self.steward.lease_reply(name, &reply, self.now);
                    }
                }
                Output::Release(release) => {
                    self.seeds.values_mut().for_each(|s| s.release(&release));
                }
                Output::Renewal(req) => {
                    let shares = [(self.workspace.clone(), self.share)].into();
                    let renewal = Renewal {
                        number: req.number,
                        version: 1,
                        shares,
                    };
                    self.steward.renewal(&renewal, self.now);
                }
            }
        }
    }
}

/// Asserts that no stretch of time saw more than rate times time plus burst.
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
