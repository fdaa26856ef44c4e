//! Refusals at an ingress node by the shed levels that it knows.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_policy::shed::{Decision, Options, Request, ShedLevels};
use nutmegwheel_types::{Priority, ProcessName, ServiceId};
use rand::{SeedableRng, rngs::StdRng};

const LEVEL: Priority = Priority {
    rank: 1,
    over_share: 0,
    root_hash: 100,
};
const BELOW: Priority = Priority {
    rank: 1,
    over_share: 0,
    root_hash: 101,
};

fn is_refused(levels: &ShedLevels, now: Instant, priority: Priority, is_nested: bool) -> bool {
    let req = Request {
        service: Arc::from("intake"),
        priority,
        is_nested,
        available: 2,
    };
    let mut rng = StdRng::seed_from_u64(1);
    match levels.decide(now, &req, &mut rng) {
        Decision::Pass => false,
        Decision::Refuse { retry_after } => {
            assert!(retry_after >= Options::default().min_retry_after);
            true
        }
    }
}

#[test]
fn refuses_root_requests_shed_by_all_servers() {
    let now = Instant::now();
    let service: ServiceId = Arc::from("intake");
    let (a, b): (ProcessName, ProcessName) = (Arc::from("a"), Arc::from("b"));
    let mut levels = ShedLevels::open(Options::default());
    levels.observe(now, &service, &a, Some(LEVEL));
    assert!(
        !is_refused(&levels, now, BELOW, false),
        "the other backend server may admit it"
    );
    levels.observe(now, &service, &b, Some(LEVEL));
    for (name, priority, is_nested, expected) in [
        ("below the level", BELOW, false, true),
        ("at the level", LEVEL, false, false),
        ("nested call of the class", BELOW, true, false),
        (
            "nested call of a lower class",
            Priority { rank: 2, ..LEVEL },
            true,
            false,
        ),
        (
            "root request of a lower class",
            Priority { rank: 2, ..LEVEL },
            false,
            true,
        ),
        (
            "more important class",
            Priority { rank: 0, ..BELOW },
            false,
            false,
        ),
    ] {
        assert_eq!(
            is_refused(&levels, now, priority, is_nested),
            expected,
            "{name}"
        );
    }
    let later = now + Duration::from_secs(1);
    assert!(!is_refused(&levels, later, BELOW, false), "levels expire");
    levels.observe(now, &service, &a, None);
    assert!(
        !is_refused(&levels, now, BELOW, false),
        "the level of one backend server was cleared"
    );
}
