//! Control VMs that are removed for good, and others that take their place at new addresses with
//! empty disks.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use stand_in::{Fleet, LIMIT, Vm, document};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
/// The time within which a proper order is confirmed on the platform.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// The time after which a control VM that was removed counts as replaced, counted from the start
/// of its successor: the users' bound for catching up.
const CATCH_UP: Duration = Duration::from_secs(4);

/// How a control VM is removed.
#[derive(Clone, Copy, Debug)]
enum Removal {
    /// It is stopped with SIGTERM, after its successor has started.
    Planned,
    /// It is gone at once, before its successor starts.
    Sudden,
}

async fn start() -> Fleet {
    let fleet = Fleet::start(PROGRAM, SERVERS).await;
    assert_eq!(fleet.publish(1, 0, &document()).await, 200);
    fleet
}

async fn publish_in_time(fleet: &Fleet, version: u64, base: u64) {
    let began = Instant::now();
    assert_eq!(fleet.put(version, base, &document()).await, 200);
    let took = began.elapsed();
    assert!(took < ACK_LIMIT, "version {version}: {took:?}");
}

async fn version_at(fleet: &Fleet, vm: &Vm) -> Option<String> {
    let shown = fleet.send("GET", vm.control(), "/-/config", "").await?;
    Some(shown.json()["version"].as_str()?.to_owned())
}

async fn await_version(fleet: &Fleet, vm: &Vm, version: u64) {
    let end = Instant::now() + LIMIT;
    let expected = format!("r{version}");
    while version_at(fleet, vm).await.as_ref() != Some(&expected) {
        let logs = fleet.control.iter().map(|vm| fleet.log(&vm.name));
        assert!(
            Instant::now() < end,
            "{}: {}",
            vm.name,
            logs.collect::<String>()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn replace(fleet: &mut Fleet, old: &Vm, how: Removal) -> Vm {
    let successor = match how {
        Removal::Planned => {
            let successor = fleet.add_control(old.data_centre);
            tokio::time::sleep(Duration::from_secs(1)).await;
            fleet.signal(&old.name, "TERM");
            assert_eq!(fleet.wait_for_exit(&old.name, LIMIT).await, Some(0));
            successor
        }
        Removal::Sudden => {
            fleet.kill(&old.name);
            fleet.add_control(old.data_centre)
        }
    };
    fleet.forget_control(&old.name);
    successor
}

// Guards against LOST and changes without an acknowledgement: the members of the log change without
// a person, so that the loss of one of the others is borne afterwards. Twice in a row, so that
// in the end no acknowledged change is on a disk of the start.
#[tokio::test(flavor = "multi_thread")]
async fn successors_of_removed_control_vms_bear_loss_of_another() {
    for how in [Removal::Planned, Removal::Sudden] {
        let mut fleet = start().await;
        let [first, second, third] = [0, 1, 2].map(|n: usize| fleet.control[n].clone());
        let mut version = 1;
        let mut successors = Vec::new();
        for old in [&first, &second] {
            let successor = replace(&mut fleet, old, how).await;
            publish_in_time(&fleet, version + 1, version).await;
            version += 1;
            tokio::time::sleep(CATCH_UP).await;
            await_version(&fleet, &successor, version).await;
            successors.push(successor);
        }
        // Only the two successors are left.
        fleet.kill(&third.name);
        fleet.forget_control(&third.name);
        let began = Instant::now();
        publish_in_time(&fleet, version + 1, version).await;
        for successor in &successors {
            await_version(&fleet, successor, version + 1).await;
        }
        assert!(began.elapsed() < LIMIT, "{how:?}");
    }
}

// Guards against LOST while a change is being acknowledged: what was confirmed is held by those that
// are left.
#[tokio::test(flavor = "multi_thread")]
async fn change_in_progress_survives_removal() {
    let mut fleet = start().await;
    for round in 0..3_u64 {
        let old = fleet.control[0].clone();
        let (version, base) = (round + 2, round + 1);
        let (confirmed, ()) = {
            let changed = document();
            let put = fleet.put(version, base, &changed);
            let removed = async {
                tokio::time::sleep(Duration::from_millis(3 * round)).await;
                fleet.signal(&old.name, "KILL");
            };
            tokio::join!(put, removed)
        };
        assert_eq!(confirmed, 200);
        fleet.kill(&old.name);
        fleet.forget_control(&old.name);
        let successor = fleet.add_control(old.data_centre);
        await_version(&fleet, &successor, version).await;
        tokio::time::sleep(CATCH_UP).await;
    }
}

// Guards against a removed member that votes again, or shows an older state, when it comes back with
// its disk.
#[tokio::test(flavor = "multi_thread")]
async fn removed_control_vm_that_returns_follows_and_decides_nothing() {
    let mut fleet = start().await;
    let old = fleet.control[0].clone();
    let successor = replace(&mut fleet, &old, Removal::Sudden).await;
    publish_in_time(&fleet, 2, 1).await;
    tokio::time::sleep(CATCH_UP).await;
    await_version(&fleet, &successor, 2).await;
    fleet.launch(&old, false);
    let end = Instant::now() + CATCH_UP;
    while Instant::now() < end {
        let shown = version_at(&fleet, &old).await;
        assert!(
            shown.is_none() || shown.as_deref() == Some("r2"),
            "{shown:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Its successor is lost: the two others are a majority, with or without it.
    fleet.kill(&successor.name);
    publish_in_time(&fleet, 3, 2).await;
}
