//! Limits divided by a coordinator: the nodes together admit no more than the limit, and little
//! less, under small workspaces spread over many ingress nodes, overload and network partitions.

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
    /// The number of ingress nodes, counted from the first, that can reach the coordinator.
    reachable: usize,
    /// The probability that the coordinator's answer to a borrowing node arrives too late.
    late_loans: f64,
    workspace: WorkspaceId,
    limit: Limit,
    admitted: Vec<Instant>,
    requested: usize,
    steps: u32,
}

impl World {
    fn open(ingress_nodes: usize, rate: f64, burst: u32) -> Self {
        let now = Instant::now();
        let name = |n| ProcessName::from(format!("ingress-{n}"));
        Self {
            now,
            rng: StdRng::seed_from_u64(7),
            ingress_nodes: (0..ingress_nodes)
                .map(|n| (name(n), Ingress::open(now)))
                .collect(),
            leader: Some(Coordinator::open(now)),
            reachable: ingress_nodes,
            late_loans: 0.0,
            workspace: Arc::from("vidzeme"),
            limit: Limit::from_config(rate, f64::from(burst)),
            admitted: Vec::new(),
            requested: 0,
            steps: 0,
        }
    }

    /// Advances the clock by `time`, with `per_second` requests at random ingress nodes.
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
                self.request(ingress);
            }
        }
    }

    fn report(&mut self) {
        let ingress_nodes = self.ingress_nodes.len();
        let reachable = self.reachable;
        let Some(c) = &mut self.leader else { return };
        for (name, ingress) in self.ingress_nodes.iter_mut().take(reachable) {
            let limited = [(&self.workspace, self.limit)];
            let report = ingress.report(self.now, name.clone(), limited.into_iter());
            let answer = c.on_report(self.now, &report, ingress_nodes, |_| Some(self.limit));
            ingress.apply_answer(self.now, self.now, &answer);
        }
    }

    fn request(&mut self, number: usize) {
        self.requested += 1;
        let ingress_nodes = self.ingress_nodes.len();
        let can_reach = number < self.reachable;
        let (_, ingress) = &mut self.ingress_nodes[number];
        let mut spend = ingress.spend(self.now, &self.workspace, self.limit, ingress_nodes);
        if spend == Spend::Borrow {
            match &mut self.leader {
                Some(coordinator) if can_reach => {
                    let outcome =
                        coordinator.borrow(self.now, &self.workspace, self.limit, ingress_nodes);
                    if self.rng.random_bool(self.late_loans) {
                        ingress.record_borrow_timeout(self.now);
                        spend = ingress.spend(self.now, &self.workspace, self.limit, ingress_nodes);
                    } else {
                        ingress.apply_borrow(self.now, &self.workspace, outcome);
                        if outcome == BorrowOutcome::Granted {
                            spend = Spend::Spent;
                        }
                    }
                }
                _ => {
                    ingress.record_borrow_timeout(self.now);
                    spend = ingress.spend(self.now, &self.workspace, self.limit, ingress_nodes);
                }
            }
        }
        if spend == Spend::Spent {
            self.admitted.push(self.now);
        }
    }

    /// The largest number of requests admitted within 5 s.
    fn max_in_five_seconds(&self) -> usize {
        let span = Duration::from_secs(5);
        let within = |from: Instant| {
            let rest = self.admitted.iter().skip_while(move |at| **at < from);
            rest.take_while(|at| **at < from + span).count()
        };
        self.admitted
            .iter()
            .map(|at| within(*at))
            .max()
            .unwrap_or(0)
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn admits_nearly_all_requests_within_rate() {
    // With a rate of 8, each of 15 ingress nodes could hold half a token; 79 is a large workspace.
    for (rate, burst) in [(8.0, 8), (79.0, 79)] {
        let mut world = World::open(15, rate, burst);
        world.run(8 * SECOND, 0.0);
        world.run(60 * SECOND, rate / 1.6);
        let refused = world.requested - world.admitted.len();
        let percent = refused * 100 / world.requested;
        assert!(
            percent < 2,
            "{rate}: {refused} of {} refused",
            world.requested
        );
    }
}

#[test]
fn admits_configured_rate_under_overload() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 40.0);
    world.run(20 * SECOND, 600.0);
    let max = world.max_in_five_seconds();
    assert!(max <= 79 * 5 + 79, "{max} in 5 s");
    let admitted = world.admitted.len();
    assert!(admitted >= 8 * 38 + 20 * 70, "{admitted} admitted");
}

#[test]
fn both_partition_sides_admit_within_limit() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 600.0);
    world.reachable = 10;
    let before = world.admitted.len();
    world.run(6 * SECOND, 600.0);
    assert!(
        world.admitted.len() - before > 6 * 79 / 2,
        "requests are still admitted"
    );
    world.reachable = 15;
    world.run(6 * SECOND, 600.0);
    // The deployment allows a tenth and 20 requests above the limit.
    let allowed = (79 * 5 + 79) * 11 / 10 + 20;
    let max = world.max_in_five_seconds();
    assert!(max <= allowed, "{max} in 5 s, allowed {allowed}");
}

/// The load pattern of deploy/days/cut-behind-a-hot-tenant.toml: the burst is spent when the
/// partition begins. Neither side may count it as unspent.
#[test]
fn partition_grants_no_second_burst() {
    for reachable in [3, 5, 10, 13] {
        let mut world = World::open(15, 143.0, 143);
        world.run(8 * SECOND, 90.0);
        world.run(2 * SECOND, 900.0);
        world.reachable = reachable;
        world.run(6 * SECOND, 900.0);
        world.reachable = 15;
        world.run(6 * SECOND, 900.0);
        let allowed = (143 * 5 + 143) * 11 / 10 + 20;
        let max = world.max_in_five_seconds();
        assert!(
            max < allowed,
            "{reachable} reachable: {max} in 5 s, allowed {allowed}"
        );
    }
}

// Guards against QUOTA: a node whose loan was late took a further token and a larger fraction, although
// the coordinator had lent the token.
#[test]
fn late_loans_grant_no_extra_tokens() {
    for late_loans in [0.1, 0.5, 0.9] {
        let mut world = World::open(62, 160.0, 160);
        world.run(8 * SECOND, 90.0);
        world.late_loans = late_loans;
        world.run(10 * SECOND, 1600.0);
        let allowed = (160 * 5 + 160) * 11 / 10 + 20;
        let max = world.max_in_five_seconds();
        assert!(
            max <= allowed,
            "{late_loans} late: {max} in 5 s, allowed {allowed}"
        );
    }
}

#[test]
fn new_coordinator_collects_reports_first() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 600.0);
    world.leader = None;
    world.run(SECOND, 600.0);
    world.leader = Some(Coordinator::open(world.now));
    world.run(10 * SECOND, 600.0);
    let allowed = (79 * 5 + 79) * 11 / 10 + 20;
    let max = world.max_in_five_seconds();
    assert!(max <= allowed, "{max} in 5 s, allowed {allowed}");
}

#[test]
fn shares_limit_equally_without_coordinator() {
    let mut world = World::open(10, 50.0, 50);
    world.run(4 * SECOND, 30.0);
    world.leader = None;
    world.run(CONTACT_TIMEOUT + REPORT_INTERVAL, 30.0);
    let before = world.admitted.len();
    world.run(20 * SECOND, 400.0);
    let admitted = world.admitted.len() - before;
    assert!(
        (900..=1060).contains(&admitted),
        "{admitted} of 1000 in 20 s"
    );
}

#[test]
fn applies_lowered_limit_immediately() {
    let mut world = World::open(15, 79.0, 79);
    world.run(8 * SECOND, 600.0);
    world.limit = Limit::from_config(10.0, 10.0);
    world.admitted.clear();
    world.run(10 * SECOND, 600.0);
    let max = world.max_in_five_seconds();
    assert!(max <= 10 * 5 + 10, "{max} in 5 s");
}

// The pattern of a loss of power of all control VMs: requests inside a limit of which no node's part
// holds a token. The users' bound: no workspace is served less than a quarter as often as all.
#[test]
fn small_limits_stay_usable_while_coordinator_is_lost() {
    for (nodes, rate, burst) in [(13, 22.0, 22), (68, 60.0, 60), (95, 40.0, 40)] {
        let mut world = World::open(nodes, rate, burst);
        world.run(8 * SECOND, rate / 1.6);
        world.leader = None;
        let (admitted, requested) = (world.admitted.len(), world.requested);
        world.run(2 * SECOND, rate / 1.6);
        let (admitted, requested) = (world.admitted.len() - admitted, world.requested - requested);
        assert!(
            admitted * 4 >= requested,
            "{nodes} nodes: {admitted} of {requested}"
        );
    }
}
