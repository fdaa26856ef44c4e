//! Shares of data centres: sums, decrease before increase, expiry, floors and small bursts, also in
//! random runs.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use nutmegwheel_limits::{
    Limit, MicroTokens, TOKEN,
    share::{
        Change, ChangeSet, LeasedShares, RebalanceOptions, RenewalTracker, SHARE_LEASE_TERM, Table,
        rebalance,
    },
};
use nutmegwheel_types::{DataCentreId, WorkspaceId};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use support::limit;

const NAMES: [&str; 3] = ["riga1", "riga2", "riga3"];

struct Fleet {
    table: Table,
    workspace: WorkspaceId,
    data_centres: BTreeSet<DataCentreId>,
}

impl Fleet {
    fn new() -> Self {
        let data_centres = NAMES.map(Into::into).into();
        Fleet {
            table: Table::default(),
            workspace: "w".into(),
            data_centres,
        }
    }

    fn rebalance(&mut self, configured: Limit, demand: [MicroTokens; 3]) -> bool {
        let demand = NAMES.map(Into::into).into_iter().zip(demand).collect();
        let outcome = rebalance(&RebalanceOptions {
            table: &self.table,
            workspace: &self.workspace,
            configured,
            data_centres: &self.data_centres,
            demand: &demand,
        });
        outcome
            .change
            .is_some_and(|change| self.table.apply(&change).is_ok())
    }

    fn confirm(&mut self, index: usize) {
        let data_centre = NAMES[index].into();
        self.apply(Change::Confirmed {
            data_centre,
            version: self.table.version(),
        });
    }

    fn apply(&mut self, change: Change) {
        let based_on = self.table.version();
        self.table
            .apply(&ChangeSet {
                based_on,
                changes: vec![change],
            })
            .unwrap();
    }

    fn whole(&self, index: usize) -> Limit {
        let entry = self.table.entry(&self.workspace, &NAMES[index].into());
        entry.map_or(Limit::ZERO, |e| e.share.whole)
    }
}

#[test]
fn first_shares_add_up_to_limit() {
    let mut fleet = Fleet::new();
    assert!(fleet.rebalance(limit(120.0, 240), [0; 3]));
    assert_eq!(fleet.table.bound(&fleet.workspace), limit(120.0, 240));
    assert!(
        !fleet.rebalance(limit(120.0, 240), [0; 3]),
        "no share changes"
    );
}

#[test]
fn increase_waits_for_confirmed_decrease() {
    let (mut fleet, configured) = (Fleet::new(), limit(120.0, 240));
    fleet.rebalance(configured, [0; 3]);
    let before = fleet.whole(0);
    let demand = [100 * TOKEN, TOKEN, TOKEN];
    assert!(fleet.rebalance(configured, demand));
    assert_eq!(fleet.whole(0), before, "no increase yet");
    assert!(fleet.whole(1).rate < before.rate);
    fleet.confirm(1);
    assert!(fleet.rebalance(configured, demand));
    assert!(fleet.whole(0).rate > before.rate);
    assert!(fleet.table.bound(&fleet.workspace).fits_in(configured));
    assert!(
        fleet.whole(1).rate >= configured.rate / 6,
        "the share keeps its floor"
    );
}

#[test]
fn lowers_bounds_only_after_confirmation() {
    let mut fleet = Fleet::new();
    fleet.rebalance(limit(120.0, 240), [0; 3]);
    (0..3).for_each(|i| fleet.confirm(i));
    fleet.rebalance(limit(12.0, 24), [0; 3]);
    let assigned = (0..3).fold(Limit::ZERO, |sum, i| sum.plus(fleet.whole(i)));
    assert!(assigned.fits_in(limit(12.0, 24)));
    assert_eq!(fleet.table.bound(&fleet.workspace), limit(120.0, 240));
    (0..3).for_each(|i| fleet.confirm(i));
    assert!(fleet.table.bound(&fleet.workspace).fits_in(limit(12.0, 24)));
}

#[test]
fn single_token_stays_in_one_data_centre() {
    let (mut fleet, configured) = (Fleet::new(), limit(0.5, 1));
    fleet.rebalance(configured, [0, TOKEN, 0]);
    assert_eq!(fleet.whole(1), configured);
    let order = fleet
        .table
        .token_server_order(&fleet.workspace, &"riga3".into());
    assert_eq!(order, ["riga2".into()]);
}

#[test]
fn removes_entries_of_removed_workspace() {
    let mut fleet = Fleet::new();
    fleet.rebalance(limit(120.0, 240), [0; 3]);
    fleet.rebalance(Limit::ZERO, [0; 3]);
    (0..3).for_each(|i| fleet.confirm(i));
    assert_eq!(fleet.table.workspaces().count(), 0);
}

#[test]
fn refuses_stale_command() {
    let mut fleet = Fleet::new();
    fleet.rebalance(limit(120.0, 240), [0; 3]);
    let share = support::share_without_floor(limit(1.0, 1));
    let (workspace, data_centre) = (fleet.workspace.clone(), NAMES[0].into());
    let changes = vec![Change::Told {
        workspace,
        data_centre,
        share,
    }];
    assert!(
        fleet
            .table
            .apply(&ChangeSet {
                based_on: 0,
                changes
            })
            .is_err()
    );
}

#[test]
fn share_expires_before_leader_moves_it() {
    let (mut fleet, now) = (Fleet::new(), Instant::now());
    fleet.rebalance(limit(120.0, 240), [0; 3]);
    let mut shares = LeasedShares::open(NAMES[0].into());
    let mut leader = RenewalTracker::open(now);
    let req = shares.begin_renewal(0, BTreeMap::new(), now);
    let renewal = leader.renew(&fleet.table, &req, now).unwrap();
    assert!(shares.apply_renewal(&renewal) && !shares.apply_renewal(&renewal));
    let end = shares.lease_expires_at().unwrap();
    assert!(end < now + SHARE_LEASE_TERM);
    assert_eq!(shares.limit(&fleet.workspace, now), fleet.whole(0));
    let floor = shares.limit(&fleet.workspace, end);
    assert!(floor.rate > 0 && floor.rate < fleet.whole(0).rate);
    let early = now
        + SHARE_LEASE_TERM
            .checked_sub(Duration::from_nanos(1))
            .unwrap();
    assert_eq!(leader.begin_expiry(&fleet.table, early), None);
    let set = leader
        .begin_expiry(&fleet.table, now + SHARE_LEASE_TERM)
        .unwrap();
    assert_eq!(
        leader.renew(&fleet.table, &req, now + SHARE_LEASE_TERM),
        None
    );
    fleet.table.apply(&set).unwrap();
    leader.finish_expiry(&set);
    assert_eq!(fleet.whole(0), floor);
    assert!(
        leader
            .renew(&fleet.table, &req, now + SHARE_LEASE_TERM)
            .is_some()
    );
}

#[derive(Clone, Debug)]
enum Event {
    Rebalance([u64; 3]),
    Configure(u32, u32),
    Confirm(usize),
    Expire(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => prop::array::uniform3(0..200 * TOKEN).prop_map(Event::Rebalance),
        1 => (1..500_u32, 1..60_u32).prop_map(|(r, b)| Event::Configure(r, b)),
        3 => (0..3_usize).prop_map(Event::Confirm),
        1 => (0..3_usize).prop_map(Event::Expire),
    ]
}

/// The sum of the bounds never grows beyond the configured limit, in whatever order shares are
/// confirmed or expire.
#[test]
fn bounds_never_exceed_limit_in_random_runs() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let runs = prop::collection::vec(event(), 1..60);
    runner
        .run(&runs, |events| {
            let (mut fleet, mut configured) = (Fleet::new(), limit(100.0, 20));
            for event in events {
                let before = fleet.table.bound(&fleet.workspace);
                match event {
                    Event::Rebalance(demand) => drop(fleet.rebalance(configured, demand)),
                    Event::Configure(rate, burst) => configured = limit(f64::from(rate), burst),
                    Event::Confirm(i) => fleet.confirm(i),
                    Event::Expire(i) => fleet.apply(Change::Expired {
                        data_centre: NAMES[i].into(),
                    }),
                }
                let after = fleet.table.bound(&fleet.workspace);
                prop_assert!(after.rate <= before.rate.max(configured.rate), "{event:?}");
                prop_assert!(
                    after.burst <= before.burst.max(configured.burst),
                    "{event:?}"
                );
            }
            Ok(())
        })
        .unwrap();
}
