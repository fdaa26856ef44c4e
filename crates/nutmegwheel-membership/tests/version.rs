//! The version that a process holds never decreases, whatever messages it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegwheel_membership::{
    Body, Change, Configuration, ConfigurationPart, Confirmation, Event, Gossip, Message, Options,
    PartitionPolicy, Role, Seed,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RUNS: u64 = 300;
const STEPS: u32 = 200;
const PEERS: u8 = 5;
/// The greatest version, small so that equal and older ones are frequent.
const VERSIONS: u64 = 30;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

fn process(rng: &mut StdRng) -> Gossip {
    let seeds = (1..4).map(|host| Seed {
        name: Arc::from(format!("seed-{host}")),
        link: address(host),
    });
    Gossip::open(Options {
        name: Arc::from("process"),
        data_centre: Arc::from("dc0"),
        role: Role::Node,
        link: address(0),
        callers: None,
        platform: None,
        incarnation: 1,
        nonce: rng.random(),
        seeds: seeds.collect(),
        contacts: Vec::new(),
        data_centres: Vec::new(),
        partition_policy: PartitionPolicy::Serve,
        needs_lease: true,
    })
}

fn message(rng: &mut StdRng) -> Message {
    let version = rng.random_range(0..=VERSIONS);
    let body = match rng.random_range(0..4) {
        0 => Body::Fetch {
            from_version: rng.random_range(0..=VERSIONS),
            offset: rng.random_range(0..20),
        },
        1 => Body::Confirmation(Confirmation {
            sequence: rng.random(),
            synced: true,
            authority: rng.random(),
            version,
            log_id: 1,
            count: 0,
            digest: 0,
            heartbeat: None,
        }),
        _ => Body::Configuration(part(rng)),
    };
    Message { version, body }
}

/// Generates mostly a whole configuration, and sometimes a part out of order.
fn part(rng: &mut StdRng) -> ConfigurationPart {
    let version = rng.random_range(1..=VERSIONS);
    let is_whole = rng.random_bool(0.8);
    ConfigurationPart {
        version,
        base: if rng.random() { 0 } else { version - 1 },
        offset: if is_whole { 0 } else { rng.random_range(0..8) },
        length: 8,
        bytes: vec![0; if is_whole { 8 } else { rng.random_range(0..8) }],
    }
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        snapshot: Arc::from([1; 8]),
        change: Some(Arc::from([2; 4])),
    }
}

/// Stores or rejects each fetched configuration and returns their number.
fn apply_fetched(gossip: &mut Gossip, now: Instant, rng: &mut StdRng) -> usize {
    let mut fetched = 0;
    for event in gossip.take_events() {
        let Event::ConfigurationFetched(Change { version, .. }) = event else {
            continue;
        };
        fetched += 1;
        assert!(version > gossip.freshness(now).version);
        if rng.random_bool(0.2) {
            gossip.reject_configuration(now);
        } else {
            gossip.set_configuration(now, configuration(version));
        }
    }
    fetched
}

#[test]
fn random_messages_never_lower_the_version() {
    let mut fetched = 0;
    for run in 0..RUNS {
        let mut rng = StdRng::seed_from_u64(run);
        let mut gossip = process(&mut rng);
        let mut now = Instant::now();
        let mut held = 0;
        for step in 0..STEPS {
            now += Duration::from_millis(rng.random_range(0..300));
            match rng.random_range(0..10) {
                0 => drop(gossip.tick(now)),
                1 if rng.random_bool(0.1) => {
                    let version = rng.random_range(0..=VERSIONS);
                    gossip.set_configuration(now, configuration(version));
                }
                _ => {
                    let from = address(rng.random_range(1..PEERS));
                    gossip.receive(now, from, message(&mut rng));
                }
            }
            fetched += apply_fetched(&mut gossip, now, &mut rng);
            let version = gossip.freshness(now).version;
            assert!(
                version >= held,
                "run {run}, step {step}: {held} to {version}"
            );
            held = version;
        }
    }
    assert!(
        fetched > 100,
        "the messages must lead to fetches: {fetched}"
    );
}
