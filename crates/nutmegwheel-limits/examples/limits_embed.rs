//! Embeds the crate in another program: one seed, one token server and one ingress node in one
//! thread.

use std::time::{Duration, Instant};

use nutmegwheel_limits::lease::{Candidate, LEASE_TERM, Voter, VoterOptions};
use nutmegwheel_limits::share::{Renewal, Share};
use nutmegwheel_limits::token_server::{Options, Output, TokenServer};
use nutmegwheel_limits::{Limit, messages::IngressId, token_cache::TokenCache};

fn main() {
    let mut now = Instant::now();
    let mut seed = Voter::open(&VoterOptions { seeds: 1, now });
    seed.record_control_shares(1);
    // A restarted seed grants no lease until every lease that it may have granted before has
    // expired.
    now += LEASE_TERM;
    let candidate = Candidate::new("n1", 1);
    let data_centre = "riga1".into();
    let mut token_server = TokenServer::open(Options {
        candidate,
        data_centre,
        seeds: 1,
        now,
    });
    let mut token_cache = TokenCache::open(IngressId::new("n1", 1));
    for request in 0..400 {
        now += Duration::from_millis(25);
        for output in token_server.poll(now, Duration::ZERO) {
            answer(output, &mut seed, &mut token_server, now);
        }
        let slot = token_cache.workspace_slot(&"vidzeme".into(), now);
        println!("{request}: {:?}", token_cache.spend(slot, request, now));
        if let Some(req) = token_cache.poll(now).request
            && let Ok(grant) = token_server.on_request(&req, now)
        {
            println!("{:?}", token_cache.apply_grant(&grant, now));
        }
    }
}

/// Handles a message as the seed and the control leader would over the network.
fn answer(output: Output, seed: &mut Voter, server: &mut TokenServer, now: Instant) {
    match output {
        Output::Lease(req) => server.on_lease_reply(&"n1".into(), &seed.on_request(&req, now), now),
        Output::Release(release) => seed.release(&release),
        Output::Renewal(req) => {
            let share = Share::lasting(Limit::from_config(50.0, 20.0));
            let (number, shares) = (req.number, [("vidzeme".into(), share)].into());
            server.on_renewal(
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
