//! An exhaustive check of the decisions in small configurations; see docs/spec/AGREEMENT.md.

mod model;

use model::{Budget, Report, Variant, check};

fn assert_holds(name: &str, budget: Budget) {
    let report = check(Variant::Correct, budget);
    let Report {
        states,
        depth,
        repaired,
        ..
    } = report;
    println!("{name}: {states} states, depth {depth}, {repaired} after a whole repair");
    assert!(report.broken.is_none(), "{name}: {:#?}", report.broken);
}

fn assert_caught(variant: Variant, budget: Budget, steps: usize) {
    let report = check(variant, budget);
    let (invariant, trace) = report.broken.expect("the check must find the bug");
    let Report { states, .. } = report;
    println!("{variant:?}: {invariant} broken after {states} states by");
    for step in &trace {
        println!("    {step}");
    }
    assert_eq!(trace.len(), steps, "the shortest trace");
}

#[test]
fn elections_and_crashes() {
    let budget = Budget {
        campaigns: 2,
        proposals: 1,
        crashes: 1,
        ..Budget::default()
    };
    assert_holds("elections and crashes", budget);
}

#[test]
fn a_lost_disk_and_its_repair() {
    let budget = Budget {
        campaigns: 2,
        lost_disks: 1,
        joins: 1,
        ..Budget::default()
    };
    assert_holds("a lost disk and its repair", budget);
}

#[test]
fn a_vote_that_is_not_synced_is_caught() {
    let budget = Budget {
        campaigns: 2,
        crashes: 1,
        ..Budget::default()
    };
    assert_caught(Variant::VoteNotSynced, budget, 7);
}

#[test]
fn entries_that_are_not_synced_are_caught() {
    let budget = Budget {
        campaigns: 2,
        crashes: 1,
        ..Budget::default()
    };
    assert_caught(Variant::EntriesNotSynced, budget, 9);
}

#[test]
fn a_lost_disk_that_votes_is_caught() {
    let budget = Budget {
        campaigns: 2,
        lost_disks: 1,
        ..Budget::default()
    };
    assert_caught(Variant::SameIncarnation, budget, 7);
}

/// Larger worlds, for optimized builds: `cargo test --release --test raft`.
#[cfg(not(debug_assertions))]
mod large {
    use super::{Budget, assert_holds};

    #[test]
    fn a_second_disk_lost_around_a_repair() {
        let budget = Budget {
            campaigns: 1,
            lost_disks: 2,
            joins: 2,
            ..Budget::default()
        };
        assert_holds("a second disk lost around a repair", budget);
    }

    #[test]
    fn snapshots_and_elections() {
        let budget = Budget {
            campaigns: 2,
            proposals: 1,
            snapshots: 1,
            ..Budget::default()
        };
        assert_holds("snapshots and elections", budget);
    }

    #[test]
    fn removals_and_elections() {
        let budget = Budget {
            campaigns: 2,
            removals: 1,
            heartbeats: 1,
            ..Budget::default()
        };
        assert_holds("removals and elections", budget);
    }
}
