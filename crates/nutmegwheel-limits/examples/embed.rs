//! One seed, one steward and one door in one thread: how another program embeds the crate.

use std::time::{Duration, Instant};

use nutmegwheel_limits::{
    Limit,
    lease::{Candidate, LEASE_TERM, Seed, SeedOptions},
    messages::DoorId,
    purse::Purse,
    share::{Renewal, Share},
    steward::{Options, Output, Steward},
};

fn main() {
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
    let options = Options {
        candidate,
        data_centre: "riga1".into(),
        seeds: 1,
        now: start,
    };
    let mut steward = Steward::open(options);
    let mut purse = Purse::open(DoorId {
        name: "n1".into(),
        incarnation: 1,
    });

    // A restarted seed grants no lease before the longest one that it may have forgotten is over.
    let mut now = start + LEASE_TERM;
    let mut passed = 0;
    for request in 0..1000 {
        now += Duration::from_millis(25);
        for output in steward.poll(now, Duration::ZERO) {
            match output {
                Output::Lease(req) => {
                    let reply = seed.request(&req, now);
                    steward.lease_reply(&"n1".into(), &reply, now);
                }
                Output::Release(release) => seed.release(&release),
                Output::Renewal(req) => {
                    let limit = Limit::from_config(50.0, 20);
                    let share = Share {
                        whole: limit,
                        floor: limit,
                    };
                    let shares = [("vidzeme".into(), share)].into();
                    steward.renewal(
                        &Renewal {
                            number: req.number,
                            version: 1,
                            shares,
                        },
                        now,
                    );
                }
            }
        }
        let account = purse.account(&"vidzeme".into(), now);
        println!(
            "request {request}: {:?}",
            purse.spend(account, request, now)
        );
        if let Some(ask) = purse.poll(now).ask
            && let Ok(grant) = steward.ask(&ask, now)
        {
            passed += purse.granted(&grant, now).len();
        }
    }
    println!("{passed} requests were decided by the steward");
}
