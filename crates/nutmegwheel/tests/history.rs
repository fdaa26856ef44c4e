//! The recorded history of operators is linearizable while control VMs are frozen and killed.
//!
//! Numbers of changes only go up, so the greatest committed number is a register that only grows,
//! and its history is linearizable exactly when the three rules of [`check`] hold.

mod common;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use common::Setup;

/// How long operators go on.
const RUN: Duration = Duration::from_secs(12);

#[derive(Clone, Copy, Debug)]
enum Seen {
    /// A change was acknowledged as committed by this very request.
    Committed(u64),
    /// A read showed this number as the last one committed.
    Read(u64),
}

#[derive(Clone, Copy, Debug)]
struct Operation {
    began: Instant,
    ended: Instant,
    seen: Seen,
}

#[derive(Default)]
struct History {
    next: AtomicU64,
    started: Mutex<Vec<(u64, Instant)>>,
    operations: Mutex<Vec<Operation>>,
}

impl History {
    fn note(&self, began: Instant, seen: Seen) {
        let ended = Instant::now();
        self.operations
            .lock()
            .unwrap()
            .push(Operation { began, ended, seen });
    }
}

async fn write(setup: &Setup, history: &History, vm: usize, end: Instant) {
    let at = setup.fleet.control[vm].vm.platform;
    while Instant::now() < end {
        let number = 100 + history.next.fetch_add(1, Ordering::SeqCst);
        let rate = format!("\"zemgale\": {{\"rate\": {number}");
        let body = common::CONFIGURATION.replacen("\"zemgale\": {\"rate\": 10.0", &rate, 1);
        let began = Instant::now();
        history.started.lock().unwrap().push((number, began));
        let path = format!("/v1/changes/{number}");
        let answer = setup.fleet.send_as_operator_to(at, "PUT", &path, &body);
        let answer = tokio::time::timeout(Duration::from_secs(4), answer).await;
        if let Ok(Ok(answer)) = answer
            && answer.status == 200
        {
            history.note(began, Seen::Committed(number));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn read(setup: &Setup, history: &History, vm: usize, end: Instant) {
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
            history.note(began, Seen::Read(number));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Freezes one control VM after the other, whichever leads at the time among them.
async fn disturb(setup: &Setup, end: Instant) {
    let mut vm = 0;
    while Instant::now() + Duration::from_secs(3) < end {
        tokio::time::sleep(Duration::from_millis(700)).await;
        setup.fleet.control[vm].signal("STOP");
        tokio::time::sleep(Duration::from_millis(1800)).await;
        setup.fleet.control[vm].signal("CONT");
        vm = (vm + 1) % 3;
    }
}

fn check(history: &History) {
    let operations = history.operations.lock().unwrap().clone();
    let started = history.started.lock().unwrap().clone();
    let value = |operation: &Operation| match operation.seen {
        Seen::Committed(number) | Seen::Read(number) => number,
    };
    for later in &operations {
        let before = operations
            .iter()
            .filter(|earlier| earlier.ended < later.began);
        let floor = before.map(value).max().unwrap_or(0);
        match later.seen {
            // What was committed or seen before is still there.
            Seen::Read(number) => assert!(number >= floor, "{later:?} shows less than {floor}"),
            // A number commits only above all that were committed or seen before.
            Seen::Committed(number) => assert!(number > floor, "{later:?} is not above {floor}"),
        }
        // Nothing is seen before it was asked for; 1 and 2 are those of the setup.
        let asked = |number| {
            let early = started
                .iter()
                .any(|(n, at)| *n == number && *at < later.ended);
            number <= 2 || early
        };
        assert!(asked(value(later)), "{later:?} came from nowhere");
    }
    let count = |committed| {
        let is = |operation: &&Operation| matches!(operation.seen, Seen::Committed(_)) == committed;
        operations.iter().filter(is).count()
    };
    println!("{} changes, {} reads", count(true), count(false));
    assert!(
        count(true) >= 10 && count(false) >= 10,
        "too little was seen"
    );
}

#[tokio::test]
async fn the_history_of_operators_is_linearizable_while_control_vms_freeze() {
    let setup = Setup::start(&[("riga1", 1), ("riga2", 1), ("riga3", 1)], 3).await;
    let history = History::default();
    let end = Instant::now() + RUN;
    tokio::join!(
        write(&setup, &history, 0, end),
        write(&setup, &history, 1, end),
        write(&setup, &history, 2, end),
        read(&setup, &history, 0, end),
        read(&setup, &history, 1, end),
        read(&setup, &history, 2, end),
        disturb(&setup, end),
    );
    check(&history);
}
