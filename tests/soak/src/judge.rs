//! Compares what callers, backend servers and operators saw with docs/PROMISES.md.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_support::Run;

use crate::environment;

/// The time that callers give a request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(2);
/// How much later than its deadline an answer may come on a machine that does other work too.
const LATE_TOLERANCE: Duration = Duration::from_secs(1);
/// How long a process that was paused, killed or cut off counts as struck after its return: the
/// time in which views are in force.
const RETURN_GRACE: Duration = Duration::from_secs(5);

/// One send of a request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The body, by which runs are told apart; resends of one request share it.
    pub body: String,
    /// The node whose door took it.
    pub ingress: String,
    /// The header field with its key.
    pub key: &'static str,
    /// Whether it may run once at most.
    pub must_not_repeat: bool,
    /// When it was sent.
    pub began: Instant,
    /// When it was answered or broke.
    pub ended: Instant,
    /// How it ended.
    pub result: SendResult,
}

/// How a send ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// With the answer of a backend server.
    Served {
        /// Whether it was the answer to this request.
        is_own: bool,
    },
    /// With a refusal or a failure.
    Refused {
        /// The status.
        status: u16,
        /// The word of the reason.
        reason: String,
        /// The word of the outcome.
        outcome: String,
    },
    /// Without an answer.
    Broken,
}

/// What an operator asked and saw.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// When it was asked.
    pub began: Instant,
    /// When it was answered.
    pub ended: Instant,
    /// What the answer said.
    pub observation: Observation,
}

/// What an operator saw.
#[derive(Clone, Copy, Debug)]
pub enum Observation {
    /// The change of this number is committed.
    Committed(u64),
    /// This is the number of the last change.
    Read(u64),
}

/// When the process of a node could not be expected to answer.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// The process.
    pub process: String,
    /// When the fault began.
    pub from: Instant,
    /// When it was lifted.
    pub to: Instant,
}

/// What everybody saw in one run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The sends of callers.
    pub sent: Vec<Sent>,
    /// What backend servers ran.
    pub runs: Vec<Run>,
    /// What operators saw.
    pub records: Vec<Record>,
    /// When the withdrawal of the key was said to be in force.
    pub withdrawn: Option<Instant>,
    /// When processes were paused, killed or stopped.
    pub fault_windows: Vec<FaultWindow>,
}

impl Evidence {
    /// The number of the newest change that an operator saw.
    pub(crate) fn newest(&self) -> Option<u64> {
        self.records.iter().map(Record::number).max()
    }
}

impl Record {
    fn number(&self) -> u64 {
        match self.observation {
            Observation::Committed(number) | Observation::Read(number) => number,
        }
    }
}

/// Returns a line for each promise that was broken, and each time it was.
#[must_use]
pub fn judge(evidence: &Evidence) -> Vec<String> {
    let mut runs: HashMap<&[u8], Vec<&Run>> = HashMap::new();
    for run in evidence
        .runs
        .iter()
        .filter(|run| run.path == environment::READ || run.path == environment::BILL)
    {
        runs.entry(&run.body).or_default().push(run);
    }
    let mut findings = Vec::new();
    for sent in &evidence.sent {
        let none = Vec::new();
        let ran = runs.get(sent.body.as_bytes()).unwrap_or(&none);
        findings.extend(judge_answer(sent, ran, evidence));
    }
    findings.extend(find_repeated_runs(evidence, &runs));
    findings.extend(find_false_not_run(evidence, &runs));
    findings.extend(withdrawn(evidence, &runs));
    findings.extend(find_rate_excess(evidence));
    findings.extend(find_stale_reads(&evidence.records));
    findings
}

/// Whole and own answers, in time.
fn judge_answer(sent: &Sent, ran: &[&Run], evidence: &Evidence) -> Option<String> {
    match &sent.result {
        SendResult::Served { is_own: false } => {
            return Some(format!("a foreign answer: {sent:?}"));
        }
        SendResult::Served { .. } if ran.is_empty() => {
            return Some(format!("served without a run: {sent:?}"));
        }
        _ => {}
    }
    if is_under_fault(sent, &evidence.fault_windows) {
        return None;
    }
    if sent.result == SendResult::Broken {
        return Some(format!("a connection broke at a sound door: {sent:?}"));
    }
    let took = sent.ended.saturating_duration_since(sent.began);
    (took > DEADLINE + LATE_TOLERANCE).then(|| format!("answered after {took:?}: {sent:?}"))
}

fn is_under_fault(sent: &Sent, fault_windows: &[FaultWindow]) -> bool {
    fault_windows.iter().any(|fault| {
        fault.process == sent.ingress
            && sent.began < fault.to + RETURN_GRACE
            && fault.from < sent.ended
    })
}

/// What must not be repeated runs once at most, over all sends.
fn find_repeated_runs(evidence: &Evidence, runs: &HashMap<&[u8], Vec<&Run>>) -> Vec<String> {
    let mut ids: Vec<&str> = evidence
        .sent
        .iter()
        .filter(|sent| sent.must_not_repeat)
        .map(|sent| sent.body.as_str())
        .collect();
    ids.sort_unstable();
    ids.dedup();
    let count = |id: &str| runs.get(id.as_bytes()).map_or(0, Vec::len);
    let twice = ids.into_iter().filter(|id| count(id) > 1);
    twice
        .map(|id| format!("{id} ran {} times", count(id)))
        .collect()
}

/// A request whose every send was answered as not run has not run, and doesn't later.
fn find_false_not_run(evidence: &Evidence, runs: &HashMap<&[u8], Vec<&Run>>) -> Vec<String> {
    let mut all_not_run: HashMap<&str, bool> = HashMap::new();
    for sent in &evidence.sent {
        let says_so =
            matches!(&sent.result, SendResult::Refused { outcome, .. } if outcome == "not-run");
        let all = all_not_run.entry(&sent.body).or_insert(true);
        *all &= says_so;
    }
    let refused = all_not_run.into_iter().filter(|(_, all)| *all);
    let ran = refused.filter_map(|(body, _)| Some((body, runs.get(body.as_bytes())?)));
    let findings = ran.map(|(body, runs)| {
        let sends = evidence.sent.iter().filter(|sent| sent.body == body);
        let sends: Vec<&Sent> = sends.collect();
        let runs = runs.iter().map(|run| {
            let after = run.began.saturating_duration_since(sends[0].began);
            (run.backend.as_str(), run.root.as_str(), after)
        });
        let runs: Vec<_> = runs.collect();
        format!("{body} was refused as not run, and ran: {sends:?}, {runs:?}")
    });
    findings.collect()
}

/// A key whose withdrawal is in force starts nothing.
fn withdrawn(evidence: &Evidence, runs: &HashMap<&[u8], Vec<&Run>>) -> Vec<String> {
    let Some(at) = evidence.withdrawn else {
        return Vec::new();
    };
    let sent = evidence
        .sent
        .iter()
        .filter(|sent| sent.key == environment::WITHDRAWN_KEY);
    let after = sent.filter(|sent| sent.began > at);
    let ran = after.filter(|sent| runs.contains_key(sent.body.as_bytes()));
    ran.map(|sent| format!("ran under a withdrawn key: {sent:?}"))
        .collect()
}

/// The limited workspace never starts more than its rate and burst.
///
/// A request may begin to run up to its deadline after its token was spent.
fn find_rate_excess(evidence: &Evidence) -> Vec<String> {
    let limited = evidence
        .runs
        .iter()
        .filter(|run| run.path == environment::READ && run.workspace.as_deref() == Some("zemgale"));
    let mut times: Vec<Instant> = limited.map(|run| run.began).collect();
    times.sort_unstable();
    let mut findings = Vec::new();
    for (first, from) in times.iter().enumerate() {
        let over = times[first..].iter().enumerate().find(|(more, to)| {
            let time = to.saturating_duration_since(*from) + DEADLINE;
            let allowed =
                time.as_secs_f64() * f64::from(environment::RATE) + f64::from(environment::BURST);
            let ran = u32::try_from(more + 1).map_or(f64::INFINITY, f64::from);
            ran > allowed
        });
        if let Some((more, to)) = over {
            let time = to.saturating_duration_since(*from);
            findings.push(format!(
                "{} runs of the limited workspace in {time:?}",
                more + 1
            ));
            break;
        }
    }
    findings
}

/// What was committed or read before is still there: numbers of changes only go up.
fn find_stale_reads(records: &[Record]) -> Vec<String> {
    let older = records.iter().filter_map(|later| {
        let before = records.iter().filter(|earlier| earlier.ended < later.began);
        let minimum = before.map(Record::number).max().unwrap_or(0);
        (later.number() < minimum).then(|| format!("{later:?} is older than {minimum}"))
    });
    older.collect()
}
