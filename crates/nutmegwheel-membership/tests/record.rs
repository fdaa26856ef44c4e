//! The semilattice laws of merging records, which make the views of the fleet converge.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmegwheel_membership::{Announcement, AnnouncementState, Health, MemberStatus, Record, Role};
use proptest::prelude::*;

/// Generates a record as a correct owner publishes it: incarnation and counter determine its
/// contents.
fn record() -> impl Strategy<Value = Record> {
    let health = prop_oneof![
        Just(Health::Alive),
        Just(Health::Suspect),
        Just(Health::Dead)
    ];
    (1..4_u64, 0..4_u64, health).prop_map(|(incarnation, counter, health)| Record {
        name: Arc::from("process-1"),
        data_centre: Arc::from("dc1"),
        role: Role::Node,
        seed: false,
        link: SocketAddr::from(([10, 0, 0, 1], 7000)),
        callers: None,
        platform: None,
        incarnation,
        counter,
        status: if counter == 3 {
            MemberStatus::Leaving
        } else {
            MemberStatus::Active
        },
        announcement: announcement(incarnation, counter),
        health,
    })
}

fn announcement(incarnation: u64, counter: u64) -> Option<Announcement> {
    let state = match counter {
        0 => return None,
        1 => AnnouncementState::Starting,
        2 => AnnouncementState::Ready,
        _ => AnnouncementState::Leaving,
    };
    Some(Announcement {
        service: Arc::from("dispatch"),
        slots: u16::try_from(incarnation).unwrap() * 70,
        state,
    })
}

fn merged(mut left: Record, right: &Record) -> Record {
    left.merge(right);
    left
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x7265),
        cases: 4096,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_commutative(a in record(), b in record()) {
        prop_assert_eq!(merged(a.clone(), &b), merged(b, &a));
    }

    #[test]
    fn merge_is_associative(a in record(), b in record(), c in record()) {
        let left = merged(merged(a.clone(), &b), &c);
        let right = merged(a, &merged(b, &c));
        prop_assert_eq!(left, right);
    }

    #[test]
    fn merge_is_idempotent(a in record(), b in record()) {
        prop_assert_eq!(merged(a.clone(), &a), a.clone());
        let mut merged_once = merged(a, &b);
        let second = merged_once.merge(&b);
        prop_assert!(!second.has_changes());
    }

    #[test]
    fn merge_reports_changes(a in record(), b in record()) {
        let mut after = a.clone();
        let merge = after.merge(&b);
        prop_assert_eq!(merge.has_changes(), after != a);
    }
}
