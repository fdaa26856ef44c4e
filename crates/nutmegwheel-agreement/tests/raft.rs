//! Exhaustive model checks of the Raft state machine in small configurations; see
//! docs/spec/AGREEMENT.md.

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
    println!("{name}: {states} states, depth {depth}, {repaired} after a complete repair");
    assert!(
        report.violation.is_none(),
        "{name}: {:#?}",
        report.violation
    );
}

fn assert_finds(variant: Variant, budget: Budget, steps: usize) {
    let report = check(variant, budget);
    let (invariant, trace) = report.violation.expect("the check must find a violation");
    let Report { states, .. } = report;
    println!("{variant:?}: {invariant} broken after {states} states by");
    for step in &trace {
        println!("    {step}");
    }
    assert_eq!(trace.len(), steps, "the shortest trace");
}

#[test]
fn holds_under_elections_and_crashes() {
    let budget = Budget {
        campaigns: 2,
        proposals: 1,
        crashes: 1,
        ..Budget::default()
    };
    assert_holds("elections and crashes", budget);
}

#[test]
fn holds_under_disk_loss_and_repair() {
    let budget = Budget {
        campaigns: 2,
        lost_disks: 1,
        joins: 1,
        ..Budget::default()
    };
    assert_holds("disk loss and repair", budget);
}

#[test]
fn finds_unsynced_vote() {
    let budget = Budget {
        campaigns: 2,
        crashes: 1,
        ..Budget::default()
    };
    assert_finds(Variant::VoteNotSynced, budget, 7);
}

#[test]
fn finds_unsynced_entries() {
    let budget = Budget {
        campaigns: 2,
        crashes: 1,
        ..Budget::default()
    };
    assert_finds(Variant::EntriesNotSynced, budget, 9);
}

#[test]
fn finds_vote_after_disk_loss() {
    let budget = Budget {
        campaigns: 2,
        lost_disks: 1,
        ..Budget::default()
    };
    assert_finds(Variant::SameIncarnation, budget, 7);
}

/// Checks of larger state spaces, only in optimized builds: `cargo test --release --test raft`.
#[cfg(not(debug_assertions))]
mod large {
    use super::{Budget, assert_holds};

    #[test]
    fn holds_under_second_disk_loss_during_repair() {
        let budget = Budget {
            campaigns: 1,
            lost_disks: 2,
            joins: 2,
            ..Budget::default()
        };
        assert_holds("second disk loss during a repair", budget);
    }

    #[test]
    fn holds_under_snapshots_and_elections() {
        let budget = Budget {
            campaigns: 2,
            proposals: 1,
            snapshots: 1,
            ..Budget::default()
        };
        assert_holds("snapshots and elections", budget);
    }

    #[test]
    fn holds_under_removals_and_elections() {
        let budget = Budget {
            campaigns: 2,
            removals: 1,
            heartbeats: 1,
            ..Budget::default()
        };
        assert_holds("removals and elections", budget);
    }
}
