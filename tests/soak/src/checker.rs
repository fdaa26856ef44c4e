//! Checks what callers, backend servers and operators observed against docs/PROMISES.md.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use nutmegwheel_support::Run;

use crate::environment;

/// The deadline that callers give each request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(2);
/// How long after the deadline an answer may still arrive, because the machine may be loaded.
const LATE_TOLERANCE: Duration = Duration::from_secs(1);
/// How long a process counts as affected after a pause, kill or stop has ended: the time within
/// which the process has an up-to-date view, its copy of the replicated state.
const RETURN_GRACE: Duration = Duration::from_secs(5);

/// One send of a request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The body, which identifies the request; resends have the same body.
    pub body: String,
    /// The ingress node that received it.
    pub ingress: String,
    /// The `authorization` field, which contains the API key of the workspace.
    pub key: &'static str,
    /// Whether the request is non-idempotent and may run at most once.
    pub must_not_repeat: bool,
    /// When the caller sent the request.
    pub began: Instant,
    /// When the answer arrived or the connection broke.
    pub ended: Instant,
    /// Whether the send was answered, refused or interrupted.
    pub result: SendResult,
}

/// How a send ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The caller received the answer of a backend server.
    Served {
        /// Whether the answer belongs to this request rather than another.
        is_own: bool,
    },
    /// The caller received a refusal or a failure.
    Refused {
        /// The HTTP status of the response.
        status: u16,
        /// The `reason` in the body of the response.
        reason: String,
        /// The `Nutmegwheel-Outcome` field of the response.
        outcome: String,
    },
    /// The connection broke before an answer.
    Broken,
}

/// One request of an operator and what it observed.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// When the operator sent the request.
    pub began: Instant,
    /// When the answer arrived.
    pub ended: Instant,
    /// The change number that the answer reported.
    pub observation: Observation,
}

/// An observation of an operator.
#[derive(Clone, Copy, Debug)]
pub enum Observation {
    /// The change with this number is committed.
    Committed(u64),
    /// The last committed change has this number.
    Read(u64),
}

/// The period in which a fault kept a process from answering.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// The name of the process that was paused, killed or stopped.
    pub process: String,
    /// When the fault began.
    pub from: Instant,
    /// When the fault ended.
    pub to: Instant,
}

/// What callers, backend servers and operators observed in one run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Every send of every request by callers.
    pub sent: Vec<Sent>,
    /// The requests that backend servers ran.
    pub runs: Vec<Run>,
    /// The committed changes and completed reads of operators.
    pub records: Vec<Record>,
    /// When the system reported that the key was withdrawn everywhere; `None` if it never did.
    pub withdrawn: Option<Instant>,
    /// When processes were paused, killed or stopped.
    pub fault_windows: Vec<FaultWindow>,
}

impl Evidence {
    /// Returns the number of the newest change that an operator observed.
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

/// Returns a line for each violation of a guarantee.
#[must_use]
pub fn check(evidence: &Evidence) -> Vec<String> {
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
        findings.extend(check_answer(sent, ran, evidence));
    }
    findings.extend(find_repeated_runs(evidence, &runs));
    findings.extend(find_false_not_run(evidence, &runs));
    findings.extend(find_runs_of_withdrawn_key(evidence, &runs));
    findings.extend(find_rate_excess(evidence));
    findings.extend(find_stale_reads(&evidence.records));
    findings
}

/// Checks that a served answer belongs to the request and to a run and, unless a fault affected the
/// ingress node, that the connection did not break and the answer arrived in time.
fn check_answer(sent: &Sent, ran: &[&Run], evidence: &Evidence) -> Option<String> {
    match &sent.result {
        SendResult::Served { is_own: false } => {
            return Some(format!("an answer to another request: {sent:?}"));
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
        return Some(format!(
            "a connection broke at a healthy ingress node: {sent:?}"
        ));
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

/// Checks that a non-idempotent request runs at most once, over all sends.
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
    let repeated = ids.into_iter().filter(|id| count(id) > 1);
    repeated
        .map(|id| format!("{id} ran {} times", count(id)))
        .collect()
}

/// Checks that a request whose every send was refused as not run does not run, then or later.
fn find_false_not_run(evidence: &Evidence, runs: &HashMap<&[u8], Vec<&Run>>) -> Vec<String> {
    let mut all_not_run: HashMap<&str, bool> = HashMap::new();
    for sent in &evidence.sent {
        let is_not_run =
            matches!(&sent.result, SendResult::Refused { outcome, .. } if outcome == "not-run");
        let all = all_not_run.entry(&sent.body).or_insert(true);
        *all &= is_not_run;
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

/// Checks that no request runs that was sent with a key after its withdrawal had taken effect.
fn find_runs_of_withdrawn_key(
    evidence: &Evidence,
    runs: &HashMap<&[u8], Vec<&Run>>,
) -> Vec<String> {
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

/// Checks that the limited workspace does not exceed its rate and burst.
///
/// A request may start up to its deadline after its token was taken, so the deadline is added to
/// each interval.
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

/// Checks that committed changes stay visible: an operation that starts after another has ended
/// never observes a lower change number.
fn find_stale_reads(records: &[Record]) -> Vec<String> {
    let stale = records.iter().filter_map(|later| {
        let before = records.iter().filter(|earlier| earlier.ended < later.began);
        let minimum = before.map(Record::number).max().unwrap_or(0);
        (later.number() < minimum).then(|| format!("{later:?} is older than {minimum}"))
    });
    stale.collect()
}
