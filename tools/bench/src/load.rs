//! Open-loop load from callers that resend aggressively. Latency counts from the intended start of
//! a request, so that a delayed send counts as latency too.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use nutmegwheel_support::{Answer, Caller};
use nutmegwheel_types::plain;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::task::JoinSet;

use crate::deployment::Deployment;

/// How often a caller resends a failed request.
const MAX_RESENDS: u32 = 3;
/// The delay before a resend. These callers ignore `Retry-After`.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// The time after which a caller abandons an attempt and resends, as a fraction of the class's time
/// limit.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.5;

/// The unsuccessful attempts of one request, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FailureCounts {
    /// Responses with status 429.
    pub(crate) over_rate: u32,
    /// Responses with status 503 that guarantee that the request did not run.
    pub(crate) not_run: u32,
    /// Time-outs, lost connections, and responses with any other status except 200.
    pub(crate) failed: u32,
}

plain! {
    /// The result of one client request, resends included.
    pub(crate) struct Record {
        pub(crate) phase: usize,
        pub(crate) workspace: usize,
        pub(crate) class: usize,
        /// When the request was scheduled to start.
        pub(crate) intended_start: Instant,
        /// The time from the intended start to the complete response; `None` if the request was
        /// not answered in time.
        pub(crate) latency: Option<Duration>,
        pub(crate) attempts: u32,
        pub(crate) failures: FailureCounts,
        /// The reasons of the unsuccessful responses.
        pub(crate) reasons: Vec<String>,
        /// The root request id of the attempt that was answered in time, or `None` without one.
        pub(crate) root: Option<String>,
    }
}

/// The callers of a deployment. They send each request to a random ingress node.
pub(crate) struct LoadGenerator {
    callers: Arc<Callers>,
    demand: f64,
    ingress_nodes: Arc<Vec<SocketAddr>>,
    rng: SmallRng,
    requests: JoinSet<Record>,
    phase: usize,
}

struct Callers {
    http: Caller,
    keys: Vec<String>,
    /// The path and the time limit of each class.
    classes: Vec<(String, Duration)>,
    workspace_fractions: Vec<f64>,
    class_fractions: Vec<f64>,
}

/// One client request before it is sent.
struct Request {
    phase: usize,
    workspace: usize,
    class: usize,
    intended_start: Instant,
    seed: u64,
}

impl LoadGenerator {
    pub(crate) fn open(deployment: &Deployment, ingress_nodes: Vec<SocketAddr>, seed: u64) -> Self {
        let front = deployment.front().name;
        let classes = deployment.classes.iter();
        let classes = classes.map(|class| (format!("/{front}/{}", class.name), class.time_limit));
        let workspaces = 0..deployment.workspaces.len();
        let callers = Callers {
            http: Caller::open(),
            keys: workspaces
                .map(|workspace| format!("Bearer {}", deployment.key(workspace)))
                .collect(),
            classes: classes.collect(),
            workspace_fractions: deployment.workspaces.iter().map(|w| w.fraction).collect(),
            class_fractions: deployment
                .classes
                .iter()
                .map(|class| class.fraction)
                .collect(),
        };
        Self {
            callers: Arc::new(callers),
            demand: deployment.demand,
            ingress_nodes: Arc::new(ingress_nodes),
            rng: SmallRng::seed_from_u64(seed),
            requests: JoinSet::new(),
            phase: 0,
        }
    }

    /// Waits for every request that was sent, and returns the records by intended start.
    pub(crate) async fn finish(self) -> Vec<Record> {
        let mut records = self.requests.join_all().await;
        records.sort_by_key(|record| record.intended_start);
        records
    }
}

impl LoadGenerator {
    /// Sets the ingress nodes to which new requests are sent.
    pub(crate) fn set_ingress_nodes(&mut self, ingress_nodes: Vec<SocketAddr>) {
        self.ingress_nodes = Arc::new(ingress_nodes);
    }

    /// Sends the usual demand of every workspace, multiplied by its factor, for `time`.
    ///
    /// Returns the number of the phase, which its records contain.
    pub(crate) async fn run_phase(
        &mut self,
        time: Duration,
        factor: impl Fn(usize) -> f64,
    ) -> usize {
        let phase = self.phase;
        self.phase += 1;
        let fractions: Vec<f64> = self
            .callers
            .workspace_fractions
            .iter()
            .enumerate()
            .map(|(workspace, fraction)| fraction * factor(workspace))
            .collect();
        let rate = self.demand * fractions.iter().sum::<f64>();
        let mut intended_start = Instant::now();
        let end = intended_start + time;
        loop {
            // The arrivals form a Poisson process, whose inter-arrival times are exponential.
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            intended_start += Duration::from_secs_f64(-uniform.ln() / rate);
            if intended_start >= end {
                break;
            }
            tokio::time::sleep_until(intended_start.into()).await;
            let req = Request {
                phase,
                workspace: draw_weighted(&fractions, &mut self.rng),
                class: draw_weighted(&self.callers.class_fractions, &mut self.rng),
                intended_start,
                seed: self.rng.random(),
            };
            let (callers, ingress_nodes) = (self.callers.clone(), self.ingress_nodes.clone());
            self.requests
                .spawn(async move { callers.run(req, &ingress_nodes).await });
        }
        tokio::time::sleep_until(end.into()).await;
        phase
    }
}

/// Draws an index with a probability proportional to its weight.
fn draw_weighted(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut remaining = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    weights.len() - 1
}

impl Callers {
    async fn run(&self, req: Request, ingress_nodes: &[SocketAddr]) -> Record {
        let mut rng = SmallRng::seed_from_u64(req.seed);
        let (path, time_limit) = &self.classes[req.class];
        let deadline = req.intended_start + *time_limit;
        let mut record = Record {
            phase: req.phase,
            workspace: req.workspace,
            class: req.class,
            intended_start: req.intended_start,
            latency: None,
            attempts: 0,
            failures: FailureCounts::default(),
            reasons: Vec::new(),
            root: None,
        };
        while record.attempts <= MAX_RESENDS && Instant::now() < deadline {
            record.attempts += 1;
            let ingress = ingress_nodes[rng.random_range(0..ingress_nodes.len())];
            let remaining = deadline.saturating_duration_since(Instant::now());
            let remaining = remaining.min(time_limit.mul_f64(ATTEMPT_TIMEOUT_FRACTION));
            let key = &self.keys[req.workspace];
            let answer = self
                .send_attempt(ingress, path, key, remaining, req.seed)
                .await;
            if record.record_answer(answer, deadline) {
                break;
            }
            tokio::time::sleep(RESEND_DELAY).await;
        }
        record
    }

    async fn send_attempt(
        &self,
        ingress: SocketAddr,
        path: &str,
        key: &str,
        remaining: Duration,
        number: u64,
    ) -> Option<Answer> {
        let remaining_ms = remaining.as_millis().to_string();
        let fields = [
            ("authorization", key),
            ("nutmegwheel-deadline-ms", remaining_ms.as_str()),
        ];
        let body = number.to_string();
        let answer = self.http.call("POST", ingress, path, &fields, body);
        tokio::time::timeout(remaining, answer).await.ok()?.ok()
    }
}

impl Record {
    /// Records the result of an attempt and returns whether the request is finished.
    fn record_answer(&mut self, answer: Option<Answer>, deadline: Instant) -> bool {
        let Some(answer) = answer else {
            self.failures.failed += 1;
            self.reasons.push("lost".into());
            return false;
        };
        let now = Instant::now();
        if answer.status == 200 {
            if now <= deadline {
                self.latency = Some(now.saturating_duration_since(self.intended_start));
                self.root = answer.fields.get("nutmegwheel-request").cloned();
            }
            return true;
        }
        let document = answer.json();
        let detail = document["detail"].as_str().unwrap_or_default();
        let reason = format!("{} {}: {detail}", answer.status, answer.reason());
        self.reasons.push(reason);
        match (answer.status, answer.outcome()) {
            (429, _) => self.failures.over_rate += 1,
            (503, Some("not-run")) => self.failures.not_run += 1,
            _ => self.failures.failed += 1,
        }
        answer.outcome() == Some("do-not-resend")
    }
}
