//! Restarts after a panic, and stopping a supervisor and its descendants.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use nutmegwheel_events::{Clock, Journal, Options, SystemTime};
use nutmegwheel_supervisor::Supervisor;

fn open() -> (Arc<Journal>, Supervisor) {
    let opts = Options {
        process: "p".into(),
        capacity: 16,
    };
    let journal = Arc::new(Journal::open(opts, Clock::open(SystemTime)));
    (journal.clone(), Supervisor::open(journal))
}

#[tokio::test(start_paused = true)]
async fn restarts_panicking_task_and_records_each_restart() {
    let (journal, tree) = open();
    let starts = Arc::new(AtomicU32::new(0));
    let count = starts.clone();
    tree.spawn("flaky", move || {
        let count = count.clone();
        async move {
            assert!(count.fetch_add(1, Ordering::SeqCst) >= 2, "fails twice");
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(starts.load(Ordering::SeqCst), 3);
    let restarts = journal.after(0);
    assert_eq!(restarts.len(), 2);
    assert!(restarts.iter().all(|r| r.fields["task"] == "flaky"));
}

#[tokio::test(start_paused = true)]
async fn stopping_root_ends_tasks_of_child() {
    let (_, tree) = open();
    tree.child().spawn("endless", std::future::pending);
    tree.stop();
    tokio::time::timeout(Duration::from_secs(1), tree.stopped())
        .await
        .expect("the tree ends");
}

#[tokio::test(start_paused = true)]
async fn stopping_child_leaves_parent_running() {
    let (_, tree) = open();
    let ticks = Arc::new(AtomicU32::new(0));
    let count = ticks.clone();
    tree.spawn_interval("ticker", Duration::from_millis(10), move || {
        let count = count.clone();
        async move {
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    tree.child().stop();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(ticks.load(Ordering::SeqCst) > 50);
}
