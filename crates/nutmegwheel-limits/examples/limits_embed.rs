//! One seed, one steward and one door in one thread: how another program embeds the crate.

use std::time::{Duration, Instant};

use nutmegwheel_limits::lease::{Candidate, LEASE_TERM, Seed, SeedOptions};
use nutmegwheel_limits::share::{Renewal, Share};
use nutmegwheel_limits::steward::{Options, Output, Steward};
use nutmegwheel_limits::{Limit, messages::DoorId, purse::Purse};

fn main() {
    let mut now = Instant::now();
    let mut seed = Seed::open(&SeedOptions { seeds: 1, now });
    seed.learn_from_control(1);
    // A restarted seed grants no lease before the longest one that it may have forgotten is over.
    now += LEASE_TERM;
    let candidate = Candidate::new("n1", 1);
    let data_centre = "riga1".into();
    let mut steward = Steward::open(Options {
        candidate,
        data_centre,
        seeds: 1,
        now,
    });
    let mut purse = Purse::open(DoorId::new("n1", 1));
    for request in 0..400 {
        now += Duration::from_millis(25);
        for output in steward.poll(now, Duration::ZERO) {
            answer(output, &mut seed, &mut steward, now);
        }
        let account = purse.account(&"vidzeme".into(), now);
        println!("{request}: {:?}", purse.spend(account, request, now));
        if let Some(ask) = purse.poll(now).ask
            && let Ok(grant) = steward.ask(&ask, now)
        {
            println!("{:?}", purse.granted(&grant, now));
        }
    }
}

/// What the seed and the control leader would answer over the network.
fn answer(output: Output, seed: &mut Seed, steward: &mut Steward, now: Instant) {
    match output {
        Output::Lease(req) => steward.lease_reply(&"n1".into(), &seed.request(&req, now), now),
        Output::Release(release) => seed.release(&release),
        Output::Renewal(req) => {
            let share = Share::lasting(Limit::from_config(50.0, 20.0));
            let (number, shares) = (req.number, [("vidzeme".into(), share)].into());
            steward.renewal(
                &Renewal {
                    number,
                    version: 1,
                    shares,
                },
                now,
            );
        }
    }
}
