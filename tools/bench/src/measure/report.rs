//! Prints the figures of scenarios as tables and as JSON.

use super::{Run, figures::Figures, round::SystemKind, scenario::Scenario};
use crate::deployment::Deployment;

/// A row of the table: its label, its target, and how its value is computed from a run.
struct Row {
    name: &'static str,
    target: &'static str,
    value: fn(&Figures) -> f64,
    decimals: usize,
}

const ROWS: &[Row] = &[
    Row {
        name: "goodput, calm (1/s)",
        target: "",
        value: |f| f.goodput_steady,
        decimals: 0,
    },
    Row {
        name: "goodput under trigger (1/s)",
        target: "",
        value: |f| f.goodput_under_trigger,
        decimals: 0,
    },
    Row {
        name: "goodput over the same capacity without surge (%)",
        target: ">= 90",
        value: |f| 100.0 * f.goodput_ratio,
        decimals: 1,
    },
    Row {
        name: "recovery (s)",
        target: "<= 5",
        value: |f| f.recovery.map_or(f64::INFINITY, |time| time.as_secs_f64()),
        decimals: 2,
    },
    Row {
        name: "worst-served workspace, of its due (%)",
        target: ">= 95",
        value: |f| 100.0 * worst_served(&[f]),
        decimals: 1,
    },
    Row {
        name: "wrongful refusals (%)",
        target: "< 0.1",
        value: wrongful_percent,
        decimals: 2,
    },
    Row {
        name: "most retries of a call",
        target: "<= 3",
        value: |f| count(f.max_retries),
        decimals: 0,
    },
    Row {
        name: "work wasted (%)",
        target: "",
        value: |f| 100.0 * f.wasted_fraction,
        decimals: 1,
    },
    Row {
        name: "top class lost while a lower ran",
        target: "0",
        value: |f| count(f.top_class_lost),
        decimals: 0,
    },
];

#[allow(clippy::cast_precision_loss)]
fn count(count: usize) -> f64 {
    count as f64
}

fn wrongful_percent(figures: &Figures) -> f64 {
    100.0 * count(figures.wrongful_refusals) / count(figures.sufficient.max(1))
}

/// Returns the minimum over the workspaces of the requests served, relative to those that the
/// workspace was entitled to, over all runs together.
fn worst_served(all: &[&Figures]) -> f64 {
    let Some(first) = all.first() else { return 1.0 };
    let fraction = |index: usize| {
        let got: f64 = all.iter().map(|figures| figures.shares[index].got).sum();
        let due: f64 = all.iter().map(|figures| figures.shares[index].due).sum();
        got / due.max(1.0)
    };
    (0..first.shares.len())
        .map(fraction)
        .fold(f64::INFINITY, f64::min)
}

/// Prints the table of one scenario: the median of the rounds with the minimum and the maximum.
pub(crate) fn print(scenario: Scenario, deployment: &Deployment, runs: &[Run]) {
    let seeds: Vec<String> = runs.iter().map(|run| run.seed.to_string()).collect();
    let mut seeds = seeds;
    seeds.dedup();
    println!(
        "\n{} on {}, seeds {}",
        scenario.name(),
        deployment.name,
        seeds.join(" ")
    );
    println!("{:50}{:>8}{:>26}{:>26}", "", "target", "ours", "baseline");
    let figures = |system| -> Vec<&Figures> {
        let of_system = runs.iter().filter(|run| run.system == system);
        of_system.map(|run| &run.figures).collect()
    };
    let (ours, baseline) = (figures(SystemKind::Ours), figures(SystemKind::Baseline));
    for row in ROWS {
        println!(
            "{:50}{:>8}{:>26}{:>26}",
            row.name,
            row.target,
            row.show(&ours),
            row.show(&baseline),
        );
    }
    let pooled = |figures: &[&Figures]| format!("{:.1}", 100.0 * worst_served(figures));
    println!(
        "{:50}{:>8}{:>26}{:>26}",
        "worst-served workspace, all rounds together (%)",
        ">= 95",
        pooled(&ours),
        pooled(&baseline),
    );
    if let Some(late) = ours.iter().filter_map(|figures| figures.late_runs).max() {
        let name = "runs of a withdrawn key after it was in force";
        println!("{name:50}{:>8}{late:>26}{:>26}", "0", "");
    }
    for (index, class) in deployment.classes.iter().enumerate() {
        let shown = |figures: &[&Figures]| {
            median_and_range(
                figures.iter().map(|f| 100.0 * f.classes[index]).collect(),
                1,
            )
        };
        let name = format!(
            "{} (rank {}) in time under trigger (%)",
            class.name, class.rank
        );
        println!(
            "{name:50}{:>8}{:>26}{:>26}",
            "",
            shown(&ours),
            shown(&baseline)
        );
    }
}

impl Row {
    fn show(&self, figures: &[&Figures]) -> String {
        let values = figures.iter().map(|figures| (self.value)(figures));
        median_and_range(values.collect(), self.decimals)
    }
}

/// Formats the median with the minimum and the maximum.
fn median_and_range(mut values: Vec<f64>, decimals: usize) -> String {
    values.sort_by(f64::total_cmp);
    let Some((min, max)) = values.first().zip(values.last()) else {
        return "not run".into();
    };
    let median = values[values.len() / 2];
    let show = |value: f64| {
        if value.is_finite() {
            format!("{value:.decimals$}")
        } else {
            "never".into()
        }
    };
    format!("{} [{} .. {}]", show(median), show(*min), show(*max))
}

/// Returns one run as JSON.
pub(crate) fn json(run: &Run) -> serde_json::Value {
    let figures = &run.figures;
    let shares = figures.shares.iter();
    let shares = shares.map(|share| {
        serde_json::json!({"workspace": share.workspace, "got": share.got, "due": share.due})
    });
    serde_json::json!({
        "scenario": run.scenario.name(),
        "deployment": run.deployment,
        "system": run.system.name(),
        "seed": run.seed,
        "trigger_s": figures.trigger_time.as_secs_f64(),
        "goodput_calm": figures.goodput_steady,
        "goodput_under": figures.goodput_under_trigger,
        "goodput_part": figures.goodput_ratio,
        "recovery_s": figures.recovery.map(|time| time.as_secs_f64()),
        "worst_served": worst_served(&[figures]),
        "shares": shares.collect::<Vec<_>>(),
        "wrongful": figures.wrongful_refusals,
        "sufficient": figures.sufficient,
        "most_retries": figures.max_retries,
        "wasted": figures.wasted_fraction,
        "top_lost": figures.top_class_lost,
        "top_reasons": figures.top_reasons,
        "late_runs": figures.late_runs,
        "classes_in_time": figures.classes,
        "reasons": figures.reasons,
        "wrongful_reasons": figures.wrongful_reasons,
    })
}
