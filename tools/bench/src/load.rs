//! Open-loop load by callers that resend hard, with times taken from the intended start.

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

/// How often a caller sends a failed request again.
const RESENDS: u32 = 3;
/// The pause before a resend; such callers do not heed `Retry-After`.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// The part of the class's time after which a caller gives up an attempt and resends.
const PATIENCE: f64 = 0.5;

/// What a caller is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Refusals {
    /// Answers 429.
    pub(crate) over_rate: u32,
    /// Answers 503 with the proof that the request did not run.
    pub(crate) not_run: u32,
    /// All other answers but 200, and lost connections.
    pub(crate) failed: u32,
}

plain! {
    /// What became of one client request with its resends.
    pub(crate) struct Record {
        pub(crate) phase: usize,
        pub(crate) workspace: usize,
        pub(crate) class: usize,
        /// When it was to start.
        pub(crate) intended: Instant,
        /// The time from the intended start to the whole answer, `None` when it was not in time.
        pub(crate) took: Option<Duration>,
        pub(crate) attempts: u32,
        pub(crate) refusals: Refusals,
        /// The reasons of the answers that were no success.
        pub(crate) reasons: Vec<String>,
        /// The root id of the attempt that was answered in time.
        pub(crate) root: Option<String>,
    }
}

/// Callers of a deployment that ask any of its doors.
pub(crate) struct Load {
    callers: Arc<Callers>,
    demand: f64,
    doors: Arc<Vec<SocketAddr>>,
    rng: SmallRng,
    requests: JoinSet<Record>,
    phase: usize,
}

struct Callers {
    http: Caller,
    keys: Vec<String>,
    /// The paths and the deadlines of the classes.
    classes: Vec<(String, Duration)>,
    parts: Vec<f64>,
    class_parts: Vec<f64>,
}

/// One client request before it is sent.
struct Request {
    phase: usize,
    workspace: usize,
    class: usize,
    intended: Instant,
    seed: u64,
}

/// Lifecycle.
impl Load {
    pub(crate) fn open(deployment: &Deployment, doors: Vec<SocketAddr>, seed: u64) -> Self {
        let front = deployment.front().name;
        let classes = deployment.classes.iter();
        let classes = classes.map(|class| (format!("/{front}/{}", class.name), class.within));
        let workspaces = 0..deployment.workspaces.len();
        let callers = Callers {
            http: Caller::open(),
            keys: workspaces
                .map(|workspace| format!("Bearer {}", deployment.key(workspace)))
                .collect(),
            classes: classes.collect(),
            parts: deployment.workspaces.iter().map(|w| w.part).collect(),
            class_parts: deployment.classes.iter().map(|class| class.part).collect(),
        };
        Self {
            callers: Arc::new(callers),
            demand: deployment.demand,
            doors: Arc::new(doors),
            rng: SmallRng::seed_from_u64(seed),
            requests: JoinSet::new(),
            phase: 0,
        }
    }

    /// Waits for every request that was sent.
    pub(crate) async fn finish(self) -> Vec<Record> {
        let mut records = self.requests.join_all().await;
        records.sort_by_key(|record| record.intended);
        records
    }
}

/// Sending.
impl Load {
    /// Makes new requests go to these doors.
    pub(crate) fn set_doors(&mut self, doors: Vec<SocketAddr>) {
        self.doors = Arc::new(doors);
    }

    /// Sends the usual demand of every workspace, times its factor, for a time.
    ///
    /// Returns the number of the phase, which its records carry.
    pub(crate) async fn phase(&mut self, time: Duration, factor: impl Fn(usize) -> f64) -> usize {
        let phase = self.phase;
        self.phase += 1;
        let parts: Vec<f64> = self
            .callers
            .parts
            .iter()
            .enumerate()
            .map(|(workspace, part)| part * factor(workspace))
            .collect();
        let rate = self.demand * parts.iter().sum::<f64>();
        let mut intended = Instant::now();
        let end = intended + time;
        loop {
            // The times between arrivals of a Poisson process are distributed exponentially.
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            intended += Duration::from_secs_f64(-uniform.ln() / rate);
            if intended >= end {
                break;
            }
            tokio::time::sleep_until(intended.into()).await;
            let req = Request {
                phase,
                workspace: draw(&parts, &mut self.rng),
                class: draw(&self.callers.class_parts, &mut self.rng),
                intended,
                seed: self.rng.random(),
            };
            let (callers, doors) = (self.callers.clone(), self.doors.clone());
            self.requests
                .spawn(async move { callers.run(req, &doors).await });
        }
        tokio::time::sleep_until(end.into()).await;
        phase
    }
}

/// Draws a place with a probability that is proportional to its weight.
fn draw(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    for (place, weight) in weights.iter().enumerate() {
        if left < *weight {
            return place;
        }
        left -= weight;
    }
    weights.len() - 1
}

impl Callers {
    async fn run(&self, req: Request, doors: &[SocketAddr]) -> Record {
        let mut rng = SmallRng::seed_from_u64(req.seed);
        let (path, within) = &self.classes[req.class];
        let deadline = req.intended + *within;
        let mut record = Record {
            phase: req.phase,
            workspace: req.workspace,
            class: req.class,
            intended: req.intended,
            took: None,
            attempts: 0,
            refusals: Refusals::default(),
            reasons: Vec::new(),
            root: None,
        };
        while record.attempts <= RESENDS && Instant::now() < deadline {
            record.attempts += 1;
            let door = doors[rng.random_range(0..doors.len())];
            let left = deadline.saturating_duration_since(Instant::now());
            let left = left.min(within.mul_f64(PATIENCE));
            let key = &self.keys[req.workspace];
            let answer = self.ask(door, path, key, left, req.seed).await;
            if record.note(answer, deadline) {
                break;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        record
    }

    async fn ask(
        &self,
        door: SocketAddr,
        path: &str,
        key: &str,
        left: Duration,
        number: u64,
    ) -> Option<Answer> {
        let left_ms = left.as_millis().to_string();
        let fields = [
            ("authorization", key),
            ("nutmegwheel-deadline-ms", left_ms.as_str()),
        ];
        let body = number.to_string();
        let answer = self.http.call("POST", door, path, &fields, body);
        tokio::time::timeout(left, answer).await.ok()?.ok()
    }
}

impl Record {
    /// Notes an answer and tells whether the request is done.
    fn note(&mut self, answer: Option<Answer>, deadline: Instant) -> bool {
        let Some(answer) = answer else {
            self.refusals.failed += 1;
            self.reasons.push("lost".into());
            return false;
        };
        let now = Instant::now();
        if answer.status == 200 {
            if now <= deadline {
                self.took = Some(now.saturating_duration_since(self.intended));
                self.root = answer.fields.get("nutmegwheel-request").cloned();
            }
            return true;
        }
        let document = answer.json();
        let detail = document["detail"].as_str().unwrap_or_default();
        let reason = format!("{} {}: {detail}", answer.status, answer.reason());
        self.reasons.push(reason);
        match (answer.status, answer.outcome()) {
            (429, _) => self.refusals.over_rate += 1,
            (503, Some("not-run")) => self.refusals.not_run += 1,
            _ => self.refusals.failed += 1,
        }
        answer.outcome() == Some("do-not-resend")
    }
}
