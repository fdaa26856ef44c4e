//! A micro benchmark: `cargo run --release -p nutmegwheel-limits --example limits_bench`.
//!
//! It prints the time of a local spend, and the messages of doors and steward under an even load, all
//! in one thread under a virtual clock. Answers come at once.

use std::time::{Duration, Instant};

use nutmegwheel_limits::{
    Limit,
    lease::{Candidate, LEASE_TERM, Seed, SeedOptions},
    messages::DoorId,
    purse::{POLL_INTERVAL, Purse, Spend},
    share::{Renewal, Share},
    steward::{Options, Output, Steward},
};
use nutmegwheel_types::WorkspaceId;

const DOORS: usize = 125;
const CALLS_PER_SECOND: u64 = 57;
const SECONDS: u64 = 10;

struct Bench {
    now: Instant,
    seed: Seed,
    steward: Steward,
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
        let mut seed = Seed::open(&SeedOptions {
            seeds: 1,
            now: start,
        });
        seed.learn_from_control(1);
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
            seed,
            steward: Steward::open(options),
            workspaces,
        }
    }

    fn poll_steward(&mut self) {
        for output in self.steward.poll(self.now, Duration::ZERO) {
            match output {
                Output::Lease(req) => {
                    let reply = self.seed.request(&req, self.now);
                    self.steward.lease_reply(&"n1".into(), &reply, self.now);
                }
                Output::Release(release) => self.seed.release(&release),
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
                    self.steward.renewal(&renewal, self.now);
                }
            }
        }
    }

    /// Does what is due at a door, and returns the messages that it sent and the requests decided.
    fn poll_door(&mut self, door: &mut Purse, is_tick: bool) -> (u64, usize) {
        let (mut asks, mut decided) = (0, 0);
        let mut is_due = is_tick;
        while is_due || door.is_urgent() {
            is_due = false;
            let Some(ask) = door.poll(self.now).ask else {
                continue;
            };
            asks += 1;
            let Ok(grant) = self.steward.ask(&ask, self.now) else {
                continue;
            };
            decided += door.granted(&grant, self.now).len();
        }
        (asks, decided)
    }
}

/// The resident memory that accounts take, each with a batch of tokens.
fn memory() {
    const ACCOUNTS: usize = 100_000;
    let mut bench = Bench::open(ACCOUNTS);
    let mut door = Purse::open(DoorId {
        name: "n1".into(),
        incarnation: 1,
    });
    bench.poll_steward();
    bench.now += Duration::from_secs(1);
    let before = resident_bytes();
    for workspace in &bench.workspaces {
        let key = door.account(workspace, bench.now);
        door.spend(key, 1, bench.now);
    }
    bench.poll_door(&mut door, true);
    let bytes = resident_bytes().saturating_sub(before) / ACCOUNTS;
    println!("{bytes} bytes per workspace of a door and of its batch at the steward");
}

/// The resident set of this process, or 0 where the platform does not tell.
fn resident_bytes() -> usize {
    const PAGE: usize = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

/// Doors whose calls go round the workspaces, each door from another one on.
fn load(workspaces: usize) {
    let mut bench = Bench::open(workspaces);
    let id = |d| DoorId {
        name: format!("n{d}").into(),
        incarnation: 1,
    };
    let mut doors: Vec<_> = (0..DOORS).map(|d| Purse::open(id(d))).collect();
    let (mut asks, mut calls, mut local) = (0, 0, 0);
    let began = Instant::now();
    for tick in 0..SECONDS * 1000 {
        bench.now += Duration::from_millis(1);
        let is_tick = tick % u64::try_from(POLL_INTERVAL.as_millis()).unwrap_or(1) == 0;
        if is_tick {
            bench.poll_steward();
        }
        for (d, door) in doors.iter_mut().enumerate() {
            let due = |at: u64| (at + d as u64) * CALLS_PER_SECOND / 1000;
            if due(tick + 1) > due(tick) {
                let at = usize::try_from(due(tick)).unwrap_or(0) + d;
                let key = door.account(&bench.workspaces[at % workspaces], bench.now);
                calls += 1;
                local += u64::from(door.spend(key, tick, bench.now) == Spend::Spent);
            }
            asks += bench.poll_door(door, is_tick).0;
        }
    }
    let spent = began.elapsed();
    println!(
        "{workspaces} workspaces, {DOORS} doors, {CALLS_PER_SECOND} calls/s each: {} of 1000 calls \
         local, {} messages/s per door, {} messages/s at the steward, {} ms of processor time a second",
        local * 1000 / calls,
        asks / SECONDS / DOORS as u64,
        asks / SECONDS,
        spent.as_millis() / u128::from(SECONDS),
    );
}

/// The time of a spend from the stock, which follows a burst of demand that is not timed.
fn spend() {
    const DEMAND: u64 = 10_000;
    let mut bench = Bench::open(1);
    let mut door = Purse::open(DoorId {
        name: "n1".into(),
        incarnation: 1,
    });
    let (mut total, mut count) = (Duration::ZERO, 0);
    for _ in 0..100 {
        bench.now += Duration::from_secs(1);
        bench.poll_steward();
        let key = door.account(&bench.workspaces[0], bench.now);
        for waiter in 0..DEMAND {
            door.spend(key, waiter, bench.now);
            door.cancel(key, waiter);
        }
        bench.poll_door(&mut door, true);
        bench.now += Duration::from_millis(200);
        bench.poll_door(&mut door, true);
        let tokens = door.tokens(key, bench.now);
        let began = Instant::now();
        let spent = (0..tokens).filter(|_| door.spend(key, 1, bench.now) == Spend::Spent);
        count += spent.count() as u128;
        total += began.elapsed();
    }
    println!(
        "{} ns per spend over {count} spends",
        total.as_nanos() / count.max(1)
    );
}
