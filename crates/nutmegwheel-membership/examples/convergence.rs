//! Measures convergence and traffic with 50, 200 and 1000 members on a virtual clock.
//!
//! `cargo run --release -p nutmegwheel-membership --example convergence [short] [seed=N] [MEMBERS…]`
//!
//! With `short`, it omits the changes of a day, crashes, message loss and the partition.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use nutmegwheel_membership::{AnnouncementState, WithdrawalState};
use rand::Rng;
use sim::{Sim, Topology};

const LIMIT: Duration = Duration::from_mins(1);
const SEED: u64 = 7;
const SAMPLES: usize = 10;
/// The number of changes in a day, and the seconds of a day.
const DAY: (f64, f64) = (1700.0, 86_400.0);

fn main() {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    let is_short = args.first().is_some_and(|arg| arg == "short");
    if is_short {
        args.remove(0);
    }
    let seed = args.first().and_then(|arg| arg.strip_prefix("seed="));
    let seed = seed.map(|seed| seed.parse().expect("a seed"));
    if seed.is_some() {
        args.remove(0);
    }
    let mut sizes: Vec<usize> = args
        .iter()
        .map(|size| size.parse().expect("a number of members"))
        .collect();
    if sizes.is_empty() {
        sizes.extend([50, 200, 1000]);
    }
    for members in sizes {
        measure(members, seed.unwrap_or(SEED), is_short);
    }
}

fn measure(members: usize, seed: u64, is_short: bool) {
    let topology = Topology {
        members,
        data_centres: 8,
        control: 5,
        seed,
    };
    let mut sim = Sim::open(topology).with_timing();
    println!(
        "\n== {members} members, 8 data centres, 5 control VMs, seed {}",
        topology.seed
    );
    measure_mass_start(&mut sim);
    measure_idle_traffic(&mut sim);
    let leaving = measure_leave_times(&mut sim, Duration::from_secs(3));
    print_summary("leaving seen everywhere, converged fleet", &leaving);
    sim.run_for(Duration::from_secs(10));
    measure_leave_times_under_restarts(&mut sim);
    sim.run_for(Duration::from_secs(30));
    measure_join_times(&mut sim);
    if is_short {
        measure_restart_traffic(&mut sim);
        return print_cost(&sim);
    }
    let mut version = 1;
    measure_convergence_times(&mut sim, &mut version);
    measure_change_traffic(&mut sim, &mut version, 1.0, Duration::from_mins(5));
    measure_change_traffic(&mut sim, &mut version, 20.0, Duration::from_mins(1));
    measure_restart_traffic(&mut sim);
    measure_crash_detection(&mut sim);
    measure_message_loss(&mut sim);
    measure_partition(&mut sim, &mut version);
    print_cost(&sim);
}

/// Starts all members within a second, announces all backend servers at the same time, and then
/// makes some members leave.
fn measure_mass_start(sim: &mut Sim) {
    let joined = sim.run_until(LIMIT, Sim::all_know_all_members);
    println!(
        "all members known everywhere after a mass start: {}",
        format_time(joined)
    );
    print_traffic(sim, "mass start", sim.now.max(Duration::from_secs(1)));
    for index in 0..sim.topology.members {
        sim.announce(index, AnnouncementState::Ready);
    }
    sim.run_for(Duration::from_secs(1));
    let leaving = measure_leave_times(sim, Duration::ZERO);
    print_summary(
        "leaving seen everywhere, right after a mass start",
        &leaving,
    );
    let ready = sim.run_until(LIMIT, Sim::all_members_see_all_ready);
    println!(
        "all announcements ready everywhere, after that: {}",
        format_time(ready)
    );
    sim.run_for(Duration::from_mins(1));
}

/// Measures how soon all members see one leave; sample members leave and restart one by one.
fn measure_leave_times(sim: &mut Sim, pause: Duration) -> Vec<Option<Duration>> {
    let leave = |sample| {
        let index = sim.topology.members - 1 - sample;
        sim.leave(index);
        let time = sim.run_until(LIMIT, |sim| sim.all_members_see_leaving(index));
        sim.restart(index);
        sim.announce(index, AnnouncementState::Ready);
        sim.run_for(pause);
        time
    };
    (0..SAMPLES).map(leave).collect()
}

/// Measures how soon all members see one leave while another member restarts every second. A
/// restarted process that does not know the leaving one cannot send it work, and so counts as
/// having seen it leave.
fn measure_leave_times_under_restarts(sim: &mut Sim) {
    const STEP: Duration = Duration::from_millis(20);
    const STEPS: u32 = 50;
    let mut open: Vec<(usize, Duration)> = Vec::new();
    let mut times = Vec::new();
    let first = sim.topology.members - SAMPLES;
    let others = sim.topology.control + 24..first;
    for second in 0..SAMPLES + 10 {
        let restarted = others.start + second % others.len();
        sim.leave(restarted);
        if second < SAMPLES {
            sim.leave(first + second);
            open.push((first + second, sim.now));
        }
        for step in 0..STEPS {
            sim.run_for(STEP);
            if step == STEPS / 2 {
                sim.restart(restarted);
                sim.announce(restarted, AnnouncementState::Ready);
            }
            open.retain(|(index, since)| {
                let is_seen = sim.no_member_sees_active(*index);
                if is_seen {
                    times.push(Some(sim.now.saturating_sub(*since)));
                }
                !is_seen
            });
        }
    }
    times.extend(open.iter().map(|_| None));
    print_summary("leaving seen everywhere, a restart a second", &times);
    for index in first..first + SAMPLES {
        sim.restart(index);
        sim.announce(index, AnnouncementState::Ready);
    }
}

/// Measures the time until a restarted process knows its data centre, and all members.
fn measure_join_times(sim: &mut Sim) {
    let mut local = Vec::new();
    let mut all = Vec::new();
    for sample in 0..SAMPLES {
        let index = sim.topology.members - 1 - sample;
        sim.restart(index);
        let started = sim.now;
        local.push(sim.run_until(LIMIT, |sim| sim.knows_own_data_centre(index)));
        let rest = sim.run_until(LIMIT, |sim| sim.knows_all_members(index));
        all.push(rest.map(|_| sim.now.saturating_sub(started)));
        sim.announce(index, AnnouncementState::Ready);
        sim.run_for(Duration::from_secs(3));
    }
    print_summary("a joining process knows its data centre", &local);
    print_summary("a joining process knows all members", &all);
}

fn measure_idle_traffic(sim: &mut Sim) {
    sim.reset_bytes();
    let time = Duration::from_secs(30);
    sim.run_for(time);
    print_traffic(sim, "idle", time);
}

/// Measures the time until versions and withdrawals reach all members.
fn measure_convergence_times(sim: &mut Sim, version: &mut u64) {
    let mut versions = Vec::new();
    let mut withdrawn = Vec::new();
    let mut in_force = Vec::new();
    for sample in 0..SAMPLES {
        *version += 1;
        let goal = *version;
        sim.publish(0, goal);
        versions.push(sim.run_until(LIMIT, |sim| sim.all_have_version(goal)));
        let index = sim
            .rng
            .random_range(sim.topology.control..sim.topology.members);
        let key = key(1000 + sample);
        sim.withdraw(index, key, false);
        withdrawn.push(sim.run_until(LIMIT, |sim| sim.all_have_withdrawn(&key)));
        sim.withdraw(0, key, true);
        in_force.push(sim.run_until(LIMIT, |sim| {
            sim.processes[0].gossip.withdrawal_state(&key) == WithdrawalState::InForce
        }));
        sim.run_for(Duration::from_secs(3));
    }
    print_summary("new version everywhere", &versions);
    print_summary("withdrawn key held everywhere", &withdrawn);
    print_summary("withdrawal reported in force after its commit", &in_force);
}

/// Measures the traffic under changes, every fifth of which withdraws a key.
fn measure_change_traffic(sim: &mut Sim, version: &mut u64, rate_factor: f64, time: Duration) {
    sim.run_for(Duration::from_secs(10));
    sim.reset_bytes();
    let pause = Duration::from_secs_f64(DAY.1 / DAY.0 / rate_factor);
    let end = sim.now + time;
    let mut changes = 0;
    while sim.now + pause <= end {
        *version += 1;
        changes += 1;
        sim.publish(0, *version);
        if version.is_multiple_of(5) {
            let number = usize::try_from(*version).unwrap();
            sim.withdraw(0, key(10_000 + number), true);
        }
        sim.run_for(pause);
    }
    sim.run_to(end);
    print_traffic(
        sim,
        &format!("{changes} changes, {rate_factor} x 1700 a day"),
        time,
    );
}

/// Measures the traffic while one process after the other restarts.
fn measure_restart_traffic(sim: &mut Sim) {
    let time = Duration::from_secs(30);
    sim.reset_bytes();
    let deaths = sim.counts.false_deaths;
    for round in 0..30 {
        let index =
            sim.topology.control + 24 + round % (sim.topology.members - sim.topology.control - 24);
        sim.leave(index);
        sim.run_for(Duration::from_millis(500));
        sim.restart(index);
        sim.announce(index, AnnouncementState::Ready);
        sim.run_for(Duration::from_millis(500));
    }
    print_traffic(sim, "a planned restart a second", time);
    let converged = sim.run_until(LIMIT, Sim::all_know_all_members);
    println!(
        "all members known everywhere after the last restart: {}",
        format_time(converged)
    );
    println!(
        "false deaths during the restarts: {}",
        sim.counts.false_deaths - deaths
    );
}

fn measure_crash_detection(sim: &mut Sim) {
    let mut found = Vec::new();
    let mut back = Vec::new();
    for sample in 0..5 {
        let index = sim.topology.members - 1 - sample;
        sim.crash(index);
        found.push(sim.run_until(LIMIT, |sim| sim.all_members_see_dead(index)));
        sim.restart(index);
        back.push(sim.run_until(LIMIT, Sim::all_know_all_members));
    }
    print_summary("crash detected everywhere", &found);
    print_summary("restarted and known everywhere", &back);
}

fn measure_message_loss(sim: &mut Sim) {
    for loss_rate in [0.01, 0.05] {
        let (deaths, suspicions) = (sim.counts.false_deaths, sim.counts.suspicions);
        sim.loss_rate = loss_rate;
        sim.run_for(Duration::from_mins(1));
        sim.loss_rate = 0.0;
        println!(
            "{} % of messages lost for 60 s: {} false deaths seen, {} suspicions seen (over all views)",
            loss_rate * 100.0,
            sim.counts.false_deaths - deaths,
            sim.counts.suspicions - suspicions,
        );
        sim.run_for(Duration::from_secs(10));
    }
}

/// Partitions a data centre for 30 s, makes changes on the other side, and heals the partition.
fn measure_partition(sim: &mut Sim, version: &mut u64) {
    const DATA_CENTRE: usize = 7;
    let deaths = sim.counts.false_deaths;
    sim.partition(DATA_CENTRE);
    sim.run_for(Duration::from_secs(10));
    *version += 3;
    let goal = *version;
    sim.publish(0, goal);
    let key = key(77);
    sim.withdraw(0, key, true);
    sim.run_for(Duration::from_secs(20));
    let state = sim.processes[0].gossip.withdrawal_state(&key);
    println!("a withdrawal during a partition of dc7: {state:?}");
    let (serving, all) = sim.count_serving(DATA_CENTRE);
    println!("serving in the partitioned data centre after 30 s: {serving} of {all}");
    println!(
        "false deaths by the partition: {}",
        sim.counts.false_deaths - deaths
    );
    sim.heal();
    let healed = sim.run_until(LIMIT, |sim| {
        sim.all_have_version(goal) && sim.all_have_withdrawn(&key) && sim.all_know_all_members()
    });
    println!(
        "version and withdrawal everywhere after healing: {}",
        format_time(healed)
    );
    let in_force = sim.run_until(LIMIT, |sim| {
        sim.processes[0].gossip.withdrawal_state(&key) == WithdrawalState::InForce
    });
    println!("and reported in force: {}", format_time(in_force));
}

fn print_cost(sim: &Sim) {
    let counts = &sim.counts;
    println!(
        "cost: {} ns a tick ({} ticks), {} ns a receive ({} receives)",
        counts.tick_time.as_nanos() / u128::from(counts.ticks.max(1)),
        counts.ticks,
        counts.receive_time.as_nanos() / u128::from(counts.receives.max(1)),
        counts.receives,
    );
}

fn print_traffic(sim: &Sim, what: &str, time: Duration) {
    let seconds = time.as_secs().max(1);
    let sent: Vec<u64> = sim.running().map(|p| p.sent / seconds).collect();
    let received: Vec<u64> = sim.running().map(|p| p.received / seconds).collect();
    let mean = |all: &[u64]| all.iter().sum::<u64>() / u64::try_from(all.len()).unwrap();
    let max = |all: &[u64]| all.iter().max().copied().unwrap_or_default();
    println!(
        "{what}: B/s sent mean {} max {}, received mean {} max {}",
        mean(&sent),
        max(&sent),
        mean(&received),
        max(&received),
    );
    let up = u64::try_from(sent.len()).unwrap();
    for (kind, total) in &sim.counts.sent_by_kind {
        print!("  {kind} {}", total / seconds / up);
    }
    println!();
}

fn print_summary(what: &str, times: &[Option<Duration>]) {
    let missed = times.iter().filter(|time| time.is_none()).count();
    let mut done: Vec<Duration> = times.iter().copied().flatten().collect();
    done.sort_unstable();
    let median = done.get(done.len() / 2).copied();
    println!(
        "{what}: p50 {} max {} ({} samples, {missed} not within 60 s)",
        format_time(median),
        format_time(done.last().copied()),
        times.len(),
    );
}

fn format_time(time: Option<Duration>) -> String {
    time.map_or_else(
        || "not within 60 s".into(),
        |time| format!("{} ms", time.as_millis()),
    )
}

fn key(number: usize) -> [u8; 32] {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&number.to_be_bytes());
    key
}
