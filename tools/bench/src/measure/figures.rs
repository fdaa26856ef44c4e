//! The figures computed from one run.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use nutmegwheel_support::Run;

use super::{
    round::{Phase, PhaseKind},
    scenario::Scenario,
};
use crate::{deployment::Deployment, load::Record, score};

/// The length of the windows in which a lost request of the top class is compared with served
/// requests of lower classes.
const WINDOW: Duration = Duration::from_millis(250);
/// The time after the trigger from which a refusal counts as wrongful again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// The figures of one run.
pub(crate) struct Figures {
    /// Requests answered in time per second, before the trigger.
    pub(crate) goodput_steady: f64,
    /// Requests answered in time per second, under the trigger.
    pub(crate) goodput_under_trigger: f64,
    /// The goodput under the trigger, relative to that of the same capacity without a surge.
    pub(crate) goodput_ratio: f64,
    /// The time from the end of the trigger until requests succeed again; `None` if they never do.
    pub(crate) recovery: Option<Duration>,
    /// What each workspace within its rate limit got and was entitled to under the trigger.
    pub(crate) shares: Vec<Share>,
    /// Requests that were refused although they were within their rate limit and capacity sufficed.
    pub(crate) wrongful_refusals: usize,
    /// The number of requests within their rate limit for which capacity sufficed.
    pub(crate) sufficient: usize,
    /// The maximum number of retries of one call.
    pub(crate) max_retries: usize,
    /// The fraction of slot time spent on requests that were not answered in time.
    pub(crate) wasted_fraction: f64,
    /// Requests of the top class that were not answered in time while a lower class was served.
    pub(crate) top_class_lost: usize,
    /// The unsuccessful responses to the top class under the trigger, by status and reason.
    pub(crate) top_reasons: BTreeMap<String, usize>,
    /// The fraction of each class answered in time under the trigger.
    pub(crate) classes: Vec<f64>,
    /// The unsuccessful responses under the trigger, by status and reason.
    pub(crate) reasons: BTreeMap<String, usize>,
    /// The unsuccessful responses to the wrongfully refused requests, by status and reason.
    pub(crate) wrongful_reasons: BTreeMap<String, usize>,
    /// The number of requests with a withdrawn key that began to run after the withdrawal had taken
    /// effect; `None` if the scenario withdraws no key.
    pub(crate) late_runs: Option<usize>,
    /// The duration of the trigger phase.
    pub(crate) trigger_time: Duration,
}

/// The requests of a workspace that were answered in time, and the number it was entitled to.
pub(crate) struct Share {
    pub(crate) workspace: usize,
    pub(crate) got: f64,
    pub(crate) due: f64,
}

/// The inputs of the figures.
struct Analysis<'a> {
    scenario: Scenario,
    phases: &'a [Phase],
    records: &'a [Record],
    /// The intended starts of the requests that exceeded the rate and burst of their workspace.
    over_rate: HashSet<Instant>,
}

/// Returns the intended starts of the requests that exceed the rate and burst of their workspace,
/// resends not counted.
fn over_rate(deployment: &Deployment, records: &[Record]) -> HashSet<Instant> {
    let mut buckets: Vec<Option<(f64, Instant)>> = vec![None; deployment.workspaces.len()];
    let mut over = HashSet::new();
    for record in records {
        let (rate, burst) = (
            deployment.rate(record.workspace),
            deployment.burst(record.workspace),
        );
        let bucket = &mut buckets[record.workspace];
        let (tokens, at) = bucket.unwrap_or((burst, record.intended_start));
        let refilled = record.intended_start.duration_since(at).as_secs_f64() * rate;
        let tokens = (tokens + refilled).min(burst);
        let remaining = if tokens >= 1.0 {
            tokens - 1.0
        } else {
            over.insert(record.intended_start);
            tokens
        };
        *bucket = Some((remaining, record.intended_start));
    }
    over
}

/// Computes the figures of one run.
pub(crate) fn analyze(
    scenario: Scenario,
    deployment: &Deployment,
    phases: &[Phase],
    records: &[Record],
    runs: &[Run],
) -> Figures {
    let analysis = Analysis {
        scenario,
        phases,
        records,
        over_rate: over_rate(deployment, records),
    };
    let goodput_steady = analysis.goodput(PhaseKind::Steady);
    let reference = analysis.goodput(PhaseKind::Reference);
    let reference = if reference > 0.0 {
        reference
    } else {
        goodput_steady
    };
    let goodput_under_trigger = analysis.goodput(PhaseKind::Trigger);
    let trigger = analysis.phase(PhaseKind::Trigger);
    let wrongful_refusals: Vec<&Record> = analysis.sufficient().filter(|r| is_refused(r)).collect();
    let classes = 0..deployment.classes.len();
    let of_class =
        |c| score::fraction_in_time(analysis.during(PhaseKind::Trigger).filter(|r| r.class == c));
    Figures {
        goodput_steady,
        goodput_under_trigger,
        goodput_ratio: goodput_under_trigger / reference.max(f64::MIN_POSITIVE),
        recovery: trigger.and_then(|trigger| {
            let end = phases.last().map_or(trigger.ended, |phase| phase.ended);
            score::recovery(records, trigger.ended, end)
        }),
        shares: analysis.shares(deployment, reference),
        wrongful_refusals: wrongful_refusals.len(),
        sufficient: analysis.sufficient().count(),
        max_retries: score::max_retries(runs),
        wasted_fraction: score::wasted_fraction(runs, records),
        top_class_lost: analysis.top_class_lost(),
        top_reasons: reasons(analysis.during(PhaseKind::Trigger).filter(|r| r.class == 0)),
        classes: classes.map(of_class).collect(),
        reasons: reasons(analysis.during(PhaseKind::Trigger)),
        wrongful_reasons: reasons(wrongful_refusals.into_iter()),
        late_runs: None,
        trigger_time: trigger.map_or(Duration::ZERO, Phase::time),
    }
}

fn is_refused(record: &Record) -> bool {
    record.failures.over_rate > 0 || record.failures.not_run > 0
}

fn reasons<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for reason in records.flat_map(|record| &record.reasons) {
        *counts.entry(reason.clone()).or_default() += 1;
    }
    counts
}

impl Phase {
    fn time(&self) -> Duration {
        self.ended - self.begun
    }
}

impl Analysis<'_> {
    fn phase(&self, kind: PhaseKind) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.kind == kind)
    }

    fn during(&self, kind: PhaseKind) -> impl Iterator<Item = &Record> {
        let records = self.records.iter();
        records.filter(move |record| self.phases[record.phase].kind == kind)
    }

    #[allow(clippy::cast_precision_loss)]
    fn goodput(&self, kind: PhaseKind) -> f64 {
        let time = self.phase(kind).map_or(Duration::ZERO, Phase::time);
        if time.is_zero() {
            return 0.0;
        }
        score::count_in_time(self.during(kind)) as f64 / time.as_secs_f64()
    }

    fn is_within_rate(&self, record: &Record) -> bool {
        let is_trigger = self.phases[record.phase].kind == PhaseKind::Trigger;
        let surges = is_trigger && self.scenario.excluded_workspace() == Some(record.workspace);
        !surges && !self.over_rate.contains(&record.intended_start)
    }

    /// Returns the requests within the rate limit of their workspace for which capacity sufficed.
    fn sufficient(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| {
            let phase = &self.phases[record.phase];
            let suffices = match phase.kind {
                PhaseKind::Steady => true,
                PhaseKind::Trigger => !self.scenario.is_capacity_scarce(),
                PhaseKind::Recovery => record.intended_start > phase.begun + RECOVERY_LIMIT,
                PhaseKind::WarmUp | PhaseKind::Reference => false,
            };
            suffices && self.is_within_rate(record)
        })
    }

    fn top_class_lost(&self) -> usize {
        let Some(trigger) = self.phase(PhaseKind::Trigger) else {
            return 0;
        };
        let window = |record: &Record| {
            let offset = record
                .intended_start
                .saturating_duration_since(trigger.begun);
            offset.as_millis() / WINDOW.as_millis()
        };
        let lower = self.during(PhaseKind::Trigger);
        let lower = lower.filter(|r| r.class > 0 && r.latency.is_some());
        let ran: HashSet<u128> = lower.map(window).collect();
        let top = self.during(PhaseKind::Trigger);
        top.filter(|r| r.class == 0 && r.latency.is_none() && self.is_within_rate(r))
            .filter(|r| ran.contains(&window(r)))
            .count()
    }

    /// Returns what each workspace got and was entitled to under the trigger.
    fn shares(&self, deployment: &Deployment, reference: f64) -> Vec<Share> {
        let time = self
            .phase(PhaseKind::Trigger)
            .map_or(Duration::ZERO, Phase::time);
        let count = deployment.workspaces.len();
        let (mut sent, mut got) = (vec![0.0; count], vec![0.0; count]);
        for record in self.during(PhaseKind::Trigger) {
            sent[record.workspace] += 1.0;
            got[record.workspace] += if record.latency.is_some() { 1.0 } else { 0.0 };
        }
        let due = if self.scenario.is_capacity_scarce() {
            let fractions: Vec<f64> = deployment.workspaces.iter().map(|w| w.fraction).collect();
            max_min_shares(&sent, &fractions, reference * time.as_secs_f64())
        } else {
            sent
        };
        let shares = got.into_iter().zip(due).enumerate();
        shares
            .filter(|(workspace, _)| self.scenario.excluded_workspace() != Some(*workspace))
            .map(|(workspace, (got, due))| Share {
                workspace,
                got,
                due,
            })
            .collect()
    }
}

/// Divides a capacity by weight so that no workspace gets more than it sent (max-min fairness).
fn max_min_shares(sent: &[f64], fractions: &[f64], capacity: f64) -> Vec<f64> {
    let mut due = vec![0.0; sent.len()];
    let mut remaining = capacity;
    let mut unfilled: Vec<usize> = (0..sent.len()).collect();
    while !unfilled.is_empty() {
        let weight: f64 = unfilled.iter().map(|index| fractions[*index]).sum();
        let level = remaining / weight;
        let (satisfied, rest): (Vec<usize>, Vec<usize>) = unfilled
            .iter()
            .partition(|index| sent[**index] <= fractions[**index] * level);
        if satisfied.is_empty() {
            for index in rest {
                due[index] = fractions[index] * level;
            }
            break;
        }
        for index in satisfied {
            due[index] = sent[index];
            remaining -= sent[index];
        }
        unfilled = rest;
    }
    due
}
