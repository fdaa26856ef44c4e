//! Limits divided by a hub: never more than the limit, and little less, under the loads that doors
//! see: small workspaces spread over many doors, one that sends many times its rate, and cuts.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_limits::{
    Limit,
    allotment::{BorrowOutcome, CONTACT_TIMEOUT, Coordinator, Ingress, REPORT_INTERVAL, Spend},
};
use nutmegwheel_types::{ProcessName, WorkspaceId};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

const STEP: Duration = Duration::from_millis(10);

struct World {
    now: Instant,
    rng: StdRng,
    ingress_nodes: Vec<(ProcessName, Ingress)>,
    leader: Option<Coordinator>,
    /// The doors from here on cannot reach the hub.
    reach: usize,
    workspace: WorkspaceId,
    limit: Limit,
    passed: Vec<Instant>,
    asked: usize,
    steps: u32,
}

impl World {
    fn open(ingress_nodes: usize, rate: f64, burst: u32) -> Self {
        let now = Instant::now();
        let name = |n| ProcessName::from(format!("door-{n}"));
        Self {
            now,
            rng: StdRng::seed_from_u64(7),
            ingress_nodes: (0..ingress_nodes)
                .map(|n| (name(n), Ingress::open(now)))
                .collect(),
            leader: Some(Coordinator::open(now)),
            reach: ingress_nodes,
            workspace: Arc::from("vidzeme"),
            limit: Limit::from_config(rate, f64::from(burst)),
            passed: Vec::new(),
            asked: 0,
            steps: 0,
        }
    }

    /// Lets time pass with `per_second` requests over all doors.
    fn run(&mut self, time: Duration, per_second: f64) {
        let steps = time.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.now += STEP;
            self.steps += 1;
            if self.steps.is_multiple_of(50) {
                self.report();
            }
            let expected = per_second * STEP.as_secs_f64();
            let mut count = expected.floor();
            if self.rng.random_bool(expected - count) {
                count += 1.0;
            }
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            for _ in 0..count as usize {
                let ingress = self.rng.random_range(0..self.ingress_nodes.len());
                self.ask(ingress);
            }
        }
    }

    fn report(&mut self) {
        let ingress_nodes = self.ingress_nodes.len();
        let reach = self.reach;
        let Some(c) = &mut self.leader else { return };
        for (name, ingress) in self.ingress_nodes.iter_mut().take(reach) {
            let limited = [(&self.workspace, self.limit)];
            let report = ingress.report(self.now, name.clone(), limited.into_iter());
            let answer = c.on_report(self.now, &report, ingress_nodes, |_| Some(self.limit));
            ingress.apply_answer(self.now, self.now, &answer);
        }
    }

    fn ask(&mut self, number: usize) {
        self.asked += 1;
        let ingress_nodes = self.ingress_nodes.len();
        let can_reach = number < self.reach;
        let (_, ingress) = &mut self.ingress_nodes[number];
        let mut spend = ingress.spend(self.now, &self.workspace, self.limit, ingress_nodes);
        if spend == Spend::Borrow {
            match &mut self.leader {
                Some(coordinator) if can_reach => {
                    let lent =
                        coordinator.borrow(self.now, &self.workspace, self.limit, ingress_nodes);
                    ingress.apply_borrow(self.now, &self.workspace, lent);
                    if lent == BorrowOutcome::Granted {
                        spend = Spend::Spent;
                    }
                }
                _ => {
                    ingress.record_borrow_timeout(self.now);
                    spend = ingress.spend(self.now, &self.workspace, self.limit, ingress_nodes);
                }
            }
        }
        if spend == Spend::Spent {
            self.passed.push(self.now);
        }
    }

    /// The most requests that passed in any span of 5 s.
    fn most_in_five_seconds(&self) -> usize {
        let span = Duration::from_secs(5);
        let within = |from: Instant| {
            let rest = self.passed.iter().skip_while(move |at| **at < from);
            rest.take_while(|at| **at < from + span).count()
        };
        self.passed.iter().map(|at| within(*at)).max().unwrap_or(0)
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_workspace_inside_its_rate_is_hardly_refused_anywhere() {
    // Of a rate of 8 each of 15 doors could hold half a token; 79 is a large workspace.
    for (rate, burst) in [(8.0, 8), (79.0, 79)] {
        let mut world = World::open(15, rate, burst);
        world.run(8 * SECOND, 0.0);
        world.run(60 * SECOND, rate / 1.6);
        let refused = world.asked - world.passed.len();
        let percent = refused * 100 / world.asked;
        assert!(percent < 2, "{rate}: {refused} of {} refused", world.asked);
    }
}

#[test]
fn a_workspace_far_over_its_rate_gets_its_rate_and_no_more() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 40.0);
    world.run(20 * SECOND, 600.0);
    let most = world.most_in_five_seconds();
    assert!(most <= 79 * 5 + 79, "{most} in 5 s");
    let passed = world.passed.len();
    assert!(passed >= 8 * 38 + 20 * 70, "{passed} passed");
}

#[test]
fn both_sides_of_a_cut_go_on_and_stay_within_the_limit() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 600.0);
    world.reach = 10;
    let before = world.passed.len();
    world.run(6 * SECOND, 600.0);
    assert!(world.passed.len() - before > 6 * 79 / 2, "service goes on");
    world.reach = 15;
    world.run(6 * SECOND, 600.0);
    // The rule of the deployment: a tenth and 20 more.
    let allowed = (79 * 5 + 79) * 11 / 10 + 20;
    let most = world.most_in_five_seconds();
    assert!(most <= allowed, "{most} in 5 s, allowed {allowed}");
}

/// The load pattern of deploy/days/cut-behind-a-hot-tenant.toml: the burst is spent when the cut
/// comes, and neither side may take it for unspent.
#[test]
fn a_cut_right_after_a_burst_gives_nobody_a_second_burst() {
    for reach in [3, 5, 10, 13] {
        let mut world = World::open(15, 143.0, 143);
        world.run(8 * SECOND, 90.0);
        world.run(2 * SECOND, 900.0);
        world.reach = reach;
        world.run(6 * SECOND, 900.0);
        world.reach = 15;
        world.run(6 * SECOND, 900.0);
        let allowed = (143 * 5 + 143) * 11 / 10 + 20;
        let most = world.most_in_five_seconds();
        assert!(
            most < allowed,
            "{reach} in reach: {most} in 5 s, allowed {allowed}"
        );
    }
}

#[test]
fn a_new_hub_learns_before_it_deals_out() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 600.0);
    world.leader = None;
    world.run(SECOND, 600.0);
    world.leader = Some(Coordinator::open(world.now));
    world.run(10 * SECOND, 600.0);
    let allowed = (79 * 5 + 79) * 11 / 10 + 20;
    let most = world.most_in_five_seconds();
    assert!(most <= allowed, "{most} in 5 s, allowed {allowed}");
}

#[test]
fn doors_without_a_hub_share_the_limit_equally() {
    let mut world = World::open(10, 50.0, 50);
    world.run(4 * SECOND, 30.0);
    world.leader = None;
    world.run(CONTACT_TIMEOUT + REPORT_INTERVAL, 30.0);
    let before = world.passed.len();
    world.run(20 * SECOND, 400.0);
    let passed = world.passed.len() - before;
    assert!((900..=1060).contains(&passed), "{passed} of 1000 in 20 s");
}

#[test]
fn a_lowered_limit_binds_at_once() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 600.0);
    world.limit = Limit::from_config(10.0, 10.0);
    world.passed.clear();
    world.run(10 * SECOND, 600.0);
    let most = world.most_in_five_seconds();
    assert!(most <= 10 * 5 + 10, "{most} in 5 s");
}
