//! The history of operator requests is linearizable while control VMs are frozen.
//!
//! Change numbers only increase, so the greatest committed number is a register that only grows.
//! Its history is linearizable if and only if the three rules of [`check_linearizable`] hold.

mod common;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use common::Setup;

/// The time for which operators send requests.
const DURATION: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, Debug)]
enum Observation {
    /// The request committed a change with this number.
    Committed(u64),
    /// The request read this number as that of the last committed change.
    Read(u64),
}

#[derive(Clone, Copy, Debug)]
struct Operation {
    began: Instant,
    ended: Instant,
    observed: Observation,
}

#[derive(Default)]
struct History {
    next_number: AtomicU64,
    submitted: Mutex<Vec<(u64, Instant)>>,
    operations: Mutex<Vec<Operation>>,
}

impl History {
    fn record(&self, began: Instant, observed: Observation) {
        let ended = Instant::now();
        self.operations.lock().unwrap().push(Operation {
            began,
            ended,
            observed,
        });
    }
}

async fn write_changes(setup: &Setup, history: &History, vm: usize, end: Instant) {
    let at = setup.fleet.control[vm].vm.platform;
    while Instant::now() < end {
        let number = 100 + history.next_number.fetch_add(1, Ordering::SeqCst);
        let rate = format!("\"zemgale\": {{\"rate\": {number}");
        let body = common::CONFIGURATION.replacen("\"zemgale\": {\"rate\": 10.0", &rate, 1);
        let began = Instant::now();
        history.submitted.lock().unwrap().push((number, began));
        let path = format!("/v1/changes/{number}");
        let answer = setup.fleet.send_as_operator_to(at, "PUT", &path, &body);
        let answer = tokio::time::timeout(Duration::from_secs(4), answer).await;
        if let Ok(Ok(answer)) = answer
            && answer.status == 200
        {
            history.record(began, Observation::Committed(number));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn read_changes(setup: &Setup, history: &History, vm: usize, end: Instant) {
    let at = setup.fleet.control[vm].vm.platform;
    while Instant::now() < end {
        let began = Instant::now();
        let answer = setup
            .fleet
            .send_as_operator_to(at, "GET", "/v1/configuration", "");
        let answer = tokio::time::timeout(Duration::from_secs(4), answer).await;
        if let Ok(Ok(answer)) = answer
            && let Some(number) = answer.json()["last_change"].as_u64()
        {
            history.record(began, Observation::Read(number));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Freezes one control VM after the other, whether it is the leader or not.
async fn freeze_control_vms(setup: &Setup, end: Instant) {
    let mut vm = 0;
    while Instant::now() + Duration::from_secs(3) < end {
        tokio::time::sleep(Duration::from_millis(700)).await;
        setup.fleet.control[vm].signal("STOP");
        tokio::time::sleep(Duration::from_millis(1800)).await;
        setup.fleet.control[vm].signal("CONT");
        vm = (vm + 1) % 3;
    }
}

fn check_linearizable(history: &History) {
    let operations = history.operations.lock().unwrap().clone();
    let submitted = history.submitted.lock().unwrap().clone();
    let value = |operation: &Operation| match operation.observed {
        Observation::Committed(number) | Observation::Read(number) => number,
    };
    for later in &operations {
        let before = operations
            .iter()
            .filter(|earlier| earlier.ended < later.began);
        let max = before.map(value).max().unwrap_or(0);
        match later.observed {
            // A read returns at least the maximum of all earlier operations.
            Observation::Read(number) => assert!(number >= max, "{later:?} is below {max}"),
            // A commit is above the maximum of all earlier operations.
            Observation::Committed(number) => assert!(number > max, "{later:?} is not above {max}"),
        }
        // No number is observed before it was submitted; 1 and 2 were submitted by the fixture.
        let was_submitted = |number| {
            let is_earlier = submitted
                .iter()
                .any(|(n, at)| *n == number && *at < later.ended);
            number <= 2 || is_earlier
        };
        assert!(
            was_submitted(value(later)),
            "{later:?} was not submitted before it was observed"
        );
    }
    let count = |committed| {
        let is = |op: &&Operation| matches!(op.observed, Observation::Committed(_)) == committed;
        operations.iter().filter(is).count()
    };
    println!("{} changes, {} reads", count(true), count(false));
    assert!(
        count(true) >= 10 && count(false) >= 10,
        "too few operations succeeded"
    );
}

#[tokio::test]
async fn operator_history_is_linearizable_while_control_vms_freeze() {
    let setup = Setup::start(&[("riga1", 1), ("riga2", 1), ("riga3", 1)], 3).await;
    let history = History::default();
    let end = Instant::now() + DURATION;
    tokio::join!(
        write_changes(&setup, &history, 0, end),
        write_changes(&setup, &history, 1, end),
        write_changes(&setup, &history, 2, end),
        read_changes(&setup, &history, 0, end),
        read_changes(&setup, &history, 1, end),
        read_changes(&setup, &history, 2, end),
        freeze_control_vms(&setup, end),
    );
    check_linearizable(&history);
}
