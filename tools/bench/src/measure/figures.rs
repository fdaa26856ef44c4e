//! The figures of one run.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use nutmegwheel_support::Run;

use super::{
    round::{Kind, Phase},
    scenario::Scenario,
};
use crate::{deployment::Deployment, load::Record, score};

/// The windows in which a lower class is looked for beside a loss of the top class.
const WINDOW: Duration = Duration::from_millis(250);
/// The time after the trigger from which refusals are wrongful.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// What one run showed.
pub(crate) struct Figures {
    /// Whole requests in time, per second, before anything went wrong.
    pub(crate) calm: f64,
    /// The same under the trigger.
    pub(crate) under: f64,
    /// The goodput under the trigger over that of the same capacity without a surge.
    pub(crate) goodput_part: f64,
    /// The time from the trigger's end until requests succeed again.
    pub(crate) recovery: Option<Duration>,
    /// What each workspace inside its rate got and was due under the trigger.
    pub(crate) shares: Vec<Share>,
    /// Requests that were refused though inside their rate and with enough capacity.
    pub(crate) wrongful: usize,
    /// The requests among which the wrongful refusals were counted.
    pub(crate) sufficient: usize,
    /// The most retries of one call.
    pub(crate) most_retries: usize,
    /// The part of the work done for requests that were not answered in time.
    pub(crate) wasted: f64,
    /// Requests of the top class that were lost while a lower class ran.
    pub(crate) top_lost: usize,
    /// The parts of each class in time under the trigger.
    pub(crate) classes: Vec<f64>,
    /// The answers under the trigger that were no success, by status and reason.
    pub(crate) reasons: BTreeMap<String, usize>,
    /// The same where capacity sufficed, by phase.
    pub(crate) wrongful_reasons: BTreeMap<String, usize>,
    /// The times of the trigger's start and end, to be found in the time line.
    pub(crate) lasted: Duration,
}

/// What a workspace got and was due.
pub(crate) struct Share {
    pub(crate) workspace: usize,
    pub(crate) got: f64,
    pub(crate) due: f64,
}

/// Records by phase.
struct Judged<'a> {
    scenario: Scenario,
    phases: &'a [Phase],
    records: &'a [Record],
    /// The intended starts of the requests that passed their workspace's rate and burst.
    over_rate: HashSet<Instant>,
}

/// Finds the requests that pass the rate and burst of their workspace, resends not counted.
fn over_rate(deployment: &Deployment, records: &[Record]) -> HashSet<Instant> {
    let mut buckets: Vec<Option<(f64, Instant)>> = vec![None; deployment.workspaces.len()];
    let mut over = HashSet::new();
    for record in records {
        let (rate, burst) = (
            deployment.rate(record.workspace),
            deployment.burst(record.workspace),
        );
        let bucket = &mut buckets[record.workspace];
        let (tokens, at) = bucket.unwrap_or((burst, record.intended));
        let refilled = record.intended.duration_since(at).as_secs_f64() * rate;
        let tokens = (tokens + refilled).min(burst);
        let left = if tokens >= 1.0 {
            tokens - 1.0
        } else {
            over.insert(record.intended);
            tokens
        };
        *bucket = Some((left, record.intended));
    }
    over
}

/// Judges one run.
pub(crate) fn judge(
    scenario: Scenario,
    deployment: &Deployment,
    phases: &[Phase],
    records: &[Record],
    runs: &[Run],
) -> Figures {
    let judged = Judged {
        scenario,
        phases,
        records,
        over_rate: over_rate(deployment, records),
    };
    let calm = judged.goodput(Kind::Calm);
    let reference = judged.goodput(Kind::Reference);
    let reference = if reference > 0.0 { reference } else { calm };
    let under = judged.goodput(Kind::Trigger);
    let trigger = judged.phase(Kind::Trigger);
    let wrongful: Vec<&Record> = judged.sufficient().filter(|r| is_refused(r)).collect();
    let classes = 0..deployment.classes.len();
    let of_class =
        |class| score::part_in_time(judged.of(Kind::Trigger).filter(|r| r.class == class));
    Figures {
        calm,
        under,
        goodput_part: under / reference.max(f64::MIN_POSITIVE),
        recovery: trigger.and_then(|trigger| {
            let end = phases.last().map_or(trigger.ended, |phase| phase.ended);
            score::recovery(records, trigger.ended, end)
        }),
        shares: judged.shares(deployment, reference),
        wrongful: wrongful.len(),
        sufficient: judged.sufficient().count(),
        most_retries: score::most_retries(runs),
        wasted: score::wasted(runs, records),
        top_lost: judged.top_lost(),
        classes: classes.map(of_class).collect(),
        reasons: reasons(judged.of(Kind::Trigger)),
        wrongful_reasons: reasons(wrongful.into_iter()),
        lasted: trigger.map_or(Duration::ZERO, Phase::time),
    }
}

fn is_refused(record: &Record) -> bool {
    record.refusals.over_rate > 0 || record.refusals.not_run > 0
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

impl Judged<'_> {
    fn phase(&self, kind: Kind) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.kind == kind)
    }

    fn of(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        let records = self.records.iter();
        records.filter(move |record| self.phases[record.phase].kind == kind)
    }

    #[allow(clippy::cast_precision_loss)]
    fn goodput(&self, kind: Kind) -> f64 {
        let time = self.phase(kind).map_or(Duration::ZERO, Phase::time);
        if time.is_zero() {
            return 0.0;
        }
        score::in_time(self.of(kind)) as f64 / time.as_secs_f64()
    }

    fn is_inside_rate(&self, record: &Record) -> bool {
        let is_trigger = self.phases[record.phase].kind == Kind::Trigger;
        let surges = is_trigger && self.scenario.over_rate() == Some(record.workspace);
        !surges && !self.over_rate.contains(&record.intended)
    }

    /// The requests inside their workspace's rate for which there was capacity.
    fn sufficient(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| {
            let phase = &self.phases[record.phase];
            let suffices = match phase.kind {
                Kind::Calm => true,
                Kind::Trigger => !self.scenario.is_scarce(),
                Kind::After => record.intended > phase.begun + RECOVERY_LIMIT,
                Kind::WarmUp | Kind::Reference => false,
            };
            suffices && self.is_inside_rate(record)
        })
    }

    fn top_lost(&self) -> usize {
        let Some(trigger) = self.phase(Kind::Trigger) else {
            return 0;
        };
        let window = |record: &Record| {
            let offset = record.intended.saturating_duration_since(trigger.begun);
            offset.as_millis() / WINDOW.as_millis()
        };
        let lower = self.of(Kind::Trigger);
        let lower = lower.filter(|r| r.class > 0 && r.took.is_some());
        let ran: HashSet<u128> = lower.map(window).collect();
        let top = self.of(Kind::Trigger);
        top.filter(|r| r.class == 0 && r.took.is_none() && self.is_inside_rate(r))
            .filter(|r| ran.contains(&window(r)))
            .count()
    }

    /// What each workspace got and was due under the trigger.
    fn shares(&self, deployment: &Deployment, reference: f64) -> Vec<Share> {
        let time = self
            .phase(Kind::Trigger)
            .map_or(Duration::ZERO, Phase::time);
        let count = deployment.workspaces.len();
        let (mut sent, mut got) = (vec![0.0; count], vec![0.0; count]);
        for record in self.of(Kind::Trigger) {
            sent[record.workspace] += 1.0;
            got[record.workspace] += if record.took.is_some() { 1.0 } else { 0.0 };
        }
        let due = if self.scenario.is_scarce() {
            let parts: Vec<f64> = deployment.workspaces.iter().map(|w| w.part).collect();
            fill(&sent, &parts, reference * time.as_secs_f64())
        } else {
            sent
        };
        let shares = got.into_iter().zip(due).enumerate();
        shares
            .filter(|(workspace, _)| self.scenario.over_rate() != Some(*workspace))
            .map(|(workspace, (got, due))| Share {
                workspace,
                got,
                due,
            })
            .collect()
    }
}

/// Divides a capacity by weight, nobody getting more than it sent (max-min fairness).
fn fill(sent: &[f64], parts: &[f64], capacity: f64) -> Vec<f64> {
    let mut due = vec![0.0; sent.len()];
    let mut left = capacity;
    let mut open: Vec<usize> = (0..sent.len()).collect();
    while !open.is_empty() {
        let weight: f64 = open.iter().map(|place| parts[*place]).sum();
        let level = left / weight;
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|place| sent[**place] <= parts[**place] * level);
        if full.is_empty() {
            rest.iter()
                .for_each(|place| due[*place] = parts[*place] * level);
            break;
        }
        for place in full {
            due[place] = sent[place];
            left -= sent[place];
        }
        open = rest;
    }
    due
}
