//! Tests of the faults that are drawn from a seed.

use std::time::Duration;

use nutmegwheel_soak::{Fault, FleetShape, Plan};

const TIME: Duration = Duration::from_secs(15);
const SEEDS: u64 = 200;

fn shape() -> FleetShape {
    FleetShape {
        data_centres: vec!["riga1", "riga2", "riga3"],
        nodes: 3,
        control_vms: 3,
    }
}

#[test]
fn draws_same_faults_only_from_same_seed() {
    assert_eq!(Plan::draw(7, &shape(), TIME), Plan::draw(7, &shape(), TIME));
    assert_ne!(Plan::draw(7, &shape(), TIME), Plan::draw(8, &shape(), TIME));
}

#[test]
fn draws_only_tolerated_faults() {
    let restarts =
        |fault: &Fault| !matches!(fault, Fault::Freeze | Fault::Link(_) | Fault::Backend(_));
    for seed in 0..SEEDS {
        let plan = Plan::draw(seed, &shape(), TIME);
        let mut restarted: Vec<&str> = plan
            .steps
            .iter()
            .filter(|step| restarts(&step.fault))
            .map(|step| step.process.as_str())
            .collect();
        restarted.sort_unstable();
        restarted.dedup();
        assert!(restarted.len() <= 3, "seed {seed}: {restarted:?}");
        let lost = plan
            .steps
            .iter()
            .filter(|step| step.fault == Fault::LoseDisk);
        assert!(lost.count() <= 1, "seed {seed}");
        let ends = plan.steps.iter().map(|step| step.at + step.lasts);
        assert!(ends.max() < Some(TIME), "seed {seed}");
    }
}

#[test]
fn draws_overlapping_faults_of_every_kind() {
    let mut kinds = std::collections::BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..SEEDS {
        let plan = Plan::draw(seed, &shape(), TIME);
        for pair in plan.steps.windows(2) {
            overlaps += u64::from(pair[1].at < pair[0].at + pair[0].lasts);
        }
        for step in plan.steps {
            let text = format!("{:?}", step.fault);
            let is_detail = |c: char| c.is_numeric() || c == '"';
            kinds.insert(text.split(is_detail).next().unwrap_or_default().to_owned());
        }
    }
    // Five kinds of process faults, nine of link faults, six of backend server faults.
    assert_eq!(kinds.len(), 20, "{kinds:?}");
    assert!(overlaps > SEEDS, "{overlaps}");
}
