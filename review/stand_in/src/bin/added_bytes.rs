//! Additional bytes after a complete answer arrive late, at the point where the next answer is expected.

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

/// The additional bytes: they bear no request's id and no seal.
const ADDITIONAL: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 16\r\n\r\nanother's answer";

struct Shared {
    record: Record,
    answers: AtomicU64,
    extra: AtomicU64,
    may_add: AtomicBool,
    /// The seals that the endpoint gave, by the id of the request.
    seals: Mutex<HashMap<String, String>>,
}

impl Behaviour for Shared {
    fn handle(&self, cx: &mut Exchange<'_>, req: Message) -> io::Result<()> {
        let id = req
            .field("x-nutmegwheel-request-id")
            .unwrap_or_default()
            .to_owned();
        let (me, number) = (&cx.endpoint.id, cx.number);
        let is_faulty = me == "i-a1";
        let answers = self
            .answers
            .fetch_add(u64::from(is_faulty), Ordering::SeqCst);
        self.record.line(format!("{me} conn {number}: {id} runs"));
        // The connection has carried a complete answer before.
        if is_faulty
            && cx.kept.is_some()
            && answers > 20
            && self.may_add.swap(false, Ordering::SeqCst)
        {
            self.extra.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!(
                "{me} conn {number}: additional bytes after the answer before"
            ));
            cx.connection.send(ADDITIONAL)?;
        }
        thread::sleep(WORK);
        let seal = format!("{}.{id}", cx.endpoint.seal());
        self.seals
            .lock()
            .expect("seals")
            .insert(id.clone(), seal.clone());
        let fields = [
            ("X-Nutmegwheel-Request-Id", id.as_str()),
            ("X-Nutmegwheel-Server-Seal", seal.as_str()),
        ];
        cx.connection
            .send(&response(200, &fields, format!("done {id}").as_bytes()))?;
        *cx.kept = Some(Vec::new());
        Ok(())
    }
}

/// Sends a request. Returns what is wrong with a success.
fn send(fleet: &Fleet, shared: &Shared, id: &str) -> (u16, Option<String>) {
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
    let Ok(answer) = answer else {
        shared.record.line(format!("client: {id} got no answer"));
        return (0, None);
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let seal = answer.field("x-nutmegwheel-server-seal").map(str::to_owned);
    shared.record.line(format!(
        "client: {id} answered {}, seal {seal:?}, body {body:?}",
        answer.status()
    ));
    let given = shared.seals.lock().expect("seals").get(id).cloned();
    let is_wrong =
        answer.status() == 200 && (seal.is_none() || seal != given || body != format!("done {id}"));
    (
        answer.status(),
        is_wrong.then(|| format!("seal {seal:?}, body {body:?}")),
    )
}

/// Sends requests from several clients for a time. Returns the successes that are not the endpoint's.
fn traffic(fleet: &Fleet, shared: &Arc<Shared>, time: Duration) -> Vec<(String, String)> {
    let wrong = Mutex::new(Vec::new());
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let wrong = &wrong;
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("r-{client}-{n}");
                    if let (_, Some(what)) = send(fleet, shared, &id) {
                        wrong.lock().expect("wrong").push((id, what));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
    });
    wrong.into_inner().expect("wrong")
}

fn run(root: &Path, folder: &Path) -> io::Result<bool> {
    let record = Record::open(folder)?;
    let plan = Plan::service("claims-desk", 2);
    let fleet = Fleet::start(root, plan, &record)?;
    let shared = Arc::new(Shared {
        record: record.clone(),
        answers: AtomicU64::new(0),
        extra: AtomicU64::new(0),
        may_add: AtomicBool::new(false),
        seals: Mutex::default(),
    });
    let boot = |id: &str, n: usize| Endpoint::boot(id, &fleet.nodes[n], 41, shared.clone());
    let endpoints = [boot("i-a1", 0)?, boot("i-b1", 1)?, boot("i-c1", 2)?];
    endpoints.iter().for_each(|e| e.start_heartbeats());
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
        if send(&fleet, &shared, &format!("warm-{n}")).0 == 200 {
            break;
        }
        if Instant::now() > end {
            return Err(io::Error::other("the endpoint is not used"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    shared.answers.store(0, Ordering::SeqCst);
    shared.may_add.store(trouble(), Ordering::SeqCst);
    let wrong = traffic(&fleet, &shared, Duration::from_secs(5));
    let answers = shared.answers.load(Ordering::SeqCst);
    let extra = shared.extra.load(Ordering::SeqCst);
    record.say(format!(
        "additional bytes after {extra} of {answers} answers of the endpoint in 5 s"
    ));
    for (id, what) in &wrong {
        record.say(format!("MIXED: {id} was answered 200 with {what}"));
    }
    let broken = !wrong.is_empty();
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
