//! A second copy of a 421 arrives late, at the point where the next answer is expected.

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
const CLIENTS: u64 = 16;
const ENDPOINTS: usize = 7;

struct Shared {
    record: Record,
    /// The endpoints that ran a request, by its id.
    runs: Mutex<HashMap<String, Vec<String>>>,
    answers: AtomicU64,
    extra: AtomicU64,
    /// Whether the next request that the restarted endpoint runs finds an extra answer before its own.
    may_repeat: AtomicBool,
}

impl Behaviour for Shared {
    fn handle(&self, cx: &mut Exchange<'_>, req: Message) -> io::Result<()> {
        let id = req
            .field("x-nutmegwheel-request-id")
            .unwrap_or_default()
            .to_owned();
        let (me, number) = (&cx.endpoint.id, cx.number);
        if me.starts_with("i-0") {
            self.answers.fetch_add(1, Ordering::SeqCst);
        }
        let target = req.field("x-nutmegwheel-target-instance");
        if target.is_some_and(|target| target != me) {
            self.record.line(format!(
                "{me} conn {number}: {id} for another instance: 421"
            ));
            let fields = [
                ("X-Nutmegwheel-Request-Id", id.as_str()),
                ("X-Nutmegwheel-Not-Executed", "1"),
            ];
            let answer = response(421, &fields, b"");
            cx.connection.send(&answer)?;
            *cx.kept = Some(answer);
            return Ok(());
        }
        self.record.line(format!("{me} conn {number}: {id} runs"));
        self.runs
            .lock()
            .expect("runs")
            .entry(id.clone())
            .or_default()
            .push(me.clone());
        if cx.kept.is_some()
            && self.may_repeat.swap(false, Ordering::SeqCst)
            && let Some(copy) = cx.kept.take()
        {
            self.extra.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!(
                "{me} conn {number}: extra copy of the 421 before it"
            ));
            cx.connection.send(&copy)?;
        }
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

/// Sends requests from several clients for a time.
fn traffic(fleet: &Fleet, shared: &Arc<Shared>, phase: &str, time: Duration) -> u64 {
    let served = AtomicU64::new(0);
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let served = &served;
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    if send(fleet, shared, &format!("{phase}-{client}-{n}")) == 200 {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    served.load(Ordering::SeqCst)
}

fn run(root: &Path, folder: &Path) -> io::Result<bool> {
    let record = Record::open(folder)?;
    let plan = Plan::service("claims-desk", ENDPOINTS);
    let fleet = Fleet::start(root, plan, &record)?;
    let shared = Arc::new(Shared {
        record: record.clone(),
        runs: Mutex::default(),
        answers: AtomicU64::new(0),
        extra: AtomicU64::new(0),
        may_repeat: AtomicBool::new(false),
    });
    let boot = |id: &str, n: usize| Endpoint::boot(id, &fleet.nodes[n], 41, shared.clone());
    let first = boot("i-0", 0)?;
    let others = (1..=ENDPOINTS).map(|n| boot(&format!("i-{n}"), n));
    let others = others.collect::<io::Result<Vec<_>>>()?;
    first.start_heartbeats();
    others.iter().for_each(|e| e.start_heartbeats());
    let routes = [route(
        "claim",
        "desk.example",
        "unsafe",
        "claims-desk",
        2,
        2000,
    )];
    fleet.publish(&desired_state(1, 0, &routes, &["claims-desk", "portal"]))?;
    fleet.await_ready()?;
    let end = Instant::now() + Duration::from_secs(20);
    for n in 0.. {
        send(&fleet, &shared, &format!("warm-{n}"));
        let used: Vec<String> = shared
            .runs
            .lock()
            .expect("runs")
            .values()
            .flatten()
            .cloned()
            .collect();
        if used.iter().any(|u| u == "i-0") {
            break;
        }
        if Instant::now() > end {
            return Err(io::Error::other("the endpoint is not used"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let served = traffic(&fleet, &shared, "before", Duration::from_secs(3));
    record.say(format!("before: {served} served"));
    shared.answers.store(0, Ordering::SeqCst);

    let restarted;
    if trouble() {
        // Nobody sends anything while the endpoint is down.
        record.line("i-0 crashes");
        first.end();
        thread::sleep(Duration::from_millis(2500));
        restarted = boot("i-0-again", 0)?;
        record.line("i-0-again is up at the same address; its first heartbeat follows");
        shared.may_repeat.store(true, Ordering::SeqCst);
        let late = restarted.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(900));
            late.start_heartbeats();
        });
    } else {
        thread::sleep(Duration::from_millis(2500));
    }
    let served = traffic(&fleet, &shared, "after", Duration::from_secs(5));
    record.say(format!("after: {served} served"));
    let answers = shared.answers.load(Ordering::SeqCst);
    let extra = shared.extra.load(Ordering::SeqCst);
    record.say(format!(
        "extra answers: {extra} of {answers} answers of the endpoint in 5 s"
    ));
    thread::sleep(Duration::from_millis(500));

    let runs = shared.runs.lock().expect("runs");
    let mut broken = false;
    for (id, servers) in runs.iter().filter(|(_, servers)| servers.len() > 1) {
        broken = true;
        record.say(format!("TWICE: {id} ran at {}", servers.join(" and ")));
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
