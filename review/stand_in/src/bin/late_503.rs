//! A second copy of a refusal arrives late, while the same request runs on the same connection.

use std::{
    collections::HashMap,
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_stand_in::{
    endpoint::{Behaviour, Endpoint, Exchange},
    fleet::{Fleet, KEY, Plan, desired_state, route},
    http::{self, Message, response},
    record::Record,
    trouble,
};

const WORK: Duration = Duration::from_millis(60);
const CLIENTS: u64 = 4;

const ENDPOINTS: usize = 2;
/// Of the requests, one in so many finds each endpoint full at first.
const FULL_ONE_IN: u64 = 12;

struct Shared {
    record: Record,
    /// How often a request ran, by its id.
    runs: Mutex<HashMap<String, u32>>,
    /// The endpoints, with their connections, that were full when a request came first.
    full: Mutex<HashMap<String, Vec<(String, u64)>>>,
    answers: AtomicU64,
    extra: AtomicU64,
    may_repeat: AtomicBool,
}

impl Behaviour for Shared {
    fn handle(&self, cx: &mut Exchange<'_>, req: Message) -> io::Result<()> {
        let id = req
            .field("x-nutmegwheel-request-id")
            .unwrap_or_default()
            .to_owned();
        let (me, number) = (&cx.endpoint.id, cx.number);
        let arrivals = self.answers.fetch_add(1, Ordering::SeqCst);
        let mut full = self.full.lock().expect("full");
        let is_chosen = full.contains_key(&id) || arrivals.is_multiple_of(FULL_ONE_IN);
        let ran = self.runs.lock().expect("runs").contains_key(&id);
        if is_chosen && !ran {
            let refused = full.entry(id.clone()).or_default();
            if refused.len() < ENDPOINTS && !refused.iter().any(|(by, _)| by == me) {
                refused.push((me.clone(), number));
                drop(full);
                self.record.line(format!(
                    "{me} conn {number}: {id} finds the endpoint full: 503, not executed"
                ));
                let fields = [
                    ("X-Nutmegwheel-Request-Id", id.as_str()),
                    ("X-Nutmegwheel-Not-Executed", "1"),
                ];
                let answer = response(503, &fields, b"");
                cx.connection.send(&answer)?;
                *cx.kept = Some(answer);
                return Ok(());
            }
        }
        let was_here = full
            .get(&id)
            .is_some_and(|r| r.contains(&(me.clone(), number)));
        drop(full);
        self.record.line(format!("{me} conn {number}: {id} runs"));
        *self
            .runs
            .lock()
            .expect("runs")
            .entry(id.clone())
            .or_default() += 1;
        if was_here
            && cx.kept.is_some()
            && self.may_repeat.swap(false, Ordering::SeqCst)
            && let Some(copy) = cx.kept.take()
        {
            self.extra.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!(
                "{me} conn {number}: extra copy of the 503 arrives now"
            ));
            cx.connection.send(&copy)?;
        }
        *cx.kept = None;
        thread::sleep(WORK);
        let seal = cx.endpoint.seal();
        let fields = [
            ("X-Nutmegwheel-Request-Id", id.as_str()),
            ("X-Nutmegwheel-Server-Seal", seal.as_str()),
        ];
        cx.connection
            .send(&response(200, &fields, format!("done {id}").as_bytes()))
    }
}

fn send(fleet: &Fleet, shared: &Shared, id: &str) -> u16 {
    let fields = [
        ("Host", "desk.example"),
        ("X-Nutmegwheel-Request-Id", id),
        ("X-Nutmegwheel-Request-Deadline-Ms", "2000"),
        ("Authorization", KEY),
        ("Content-Type", "text/plain"),
    ];
    let to = fleet.portal().outbound();
    shared.record.line(format!("client: {id} POST /claim/x"));
    let answer = http::call(
        to,
        "POST",
        "/claim/x",
        &fields,
        b"a claim",
        Duration::from_secs(4),
    );
    let status = answer.map_or(0, |a| a.status());
    shared
        .record
        .line(format!("client: {id} answered {status}"));
    status
}

/// Sends requests from several clients for a time. Returns those that were answered with a promise.
fn traffic(fleet: &Fleet, shared: &Arc<Shared>, phase: &str, time: Duration) -> Vec<(String, u16)> {
    let refused = Mutex::new(Vec::new());
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let refused = &refused;
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("{phase}-{client}-{n}");
                    let status = send(fleet, shared, &id);
                    if [408, 421, 429, 503].contains(&status) {
                        refused.lock().expect("refused").push((id, status));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    refused.into_inner().expect("refused")
}

fn run(root: &Path, folder: &Path) -> io::Result<bool> {
    let record = Record::open(folder)?;
    let plan = Plan::service("claims-desk", ENDPOINTS);
    let fleet = Fleet::start(root, plan, &record)?;
    let shared = Arc::new(Shared {
        record: record.clone(),
        runs: Mutex::default(),
        full: Mutex::default(),
        answers: AtomicU64::new(0),
        extra: AtomicU64::new(0),
        may_repeat: AtomicBool::new(false),
    });
    let boot = |id: &str, n: usize| Endpoint::boot(id, &fleet.nodes[n], 41, shared.clone());
    let endpoints = [boot("i-a1", 0)?, boot("i-b1", 1)?, boot("i-c1", 2)?];
    endpoints.iter().for_each(|e| e.start_heartbeats());
    let routes = [route(
        "claim",
        "desk.example",
        "unsafe",
        "claims-desk",
        3,
        2000,
    )];
    fleet.publish(&desired_state(1, 0, &routes, &["claims-desk", "portal"]))?;
    fleet.await_ready()?;
    let end = Instant::now() + Duration::from_secs(20);
    for n in 0.. {
        if send(&fleet, &shared, &format!("warm-{n}")) == 200 {
            break;
        }
        if Instant::now() > end {
            return Err(io::Error::other("the endpoint is not used"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    shared.answers.store(0, Ordering::SeqCst);
    shared.may_repeat.store(trouble(), Ordering::SeqCst);
    let refused = traffic(&fleet, &shared, "r", Duration::from_secs(5));
    let answers = shared.answers.load(Ordering::SeqCst);
    let extra = shared.extra.load(Ordering::SeqCst);
    record.say(format!(
        "extra answers: {extra} of {answers} answers in 5 s"
    ));
    thread::sleep(Duration::from_millis(300));
    let runs = shared.runs.lock().expect("runs");
    let mut broken = false;
    for (id, status) in &refused {
        if runs.contains_key(id) {
            broken = true;
            record.say(format!("REFUSED: {id} was answered {status} and has run"));
        }
    }
    for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
        broken = true;
        record.say(format!("TWICE: {id} ran {count} times"));
    }
    if trouble() && extra == 0 {
        return Err(io::Error::other("no extra answer was sent"));
    }
    Ok(broken)
}

fn main() -> ExitCode {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(Into::into).collect();
    match run(&args[0], &args[1]) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            println!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
