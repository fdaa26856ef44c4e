//! An endpoint has left; its node restarts; a heartbeat of before arrives late.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex},
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

const ENDPOINTS: usize = 7;
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
/// How late the heartbeat is.
const LATE: Duration = Duration::from_millis(4500);
/// How long the endpoint serves after it has said that it leaves.
const STAYS: Duration = Duration::from_secs(12);

struct Server {
    record: Record,
    /// When an endpoint was reached by which request.
    arrivals: Mutex<Vec<(Instant, String, String)>>,
}

impl Behaviour for Server {
    fn handle(&self, cx: &mut Exchange<'_>, req: Message) -> io::Result<()> {
        let id = req
            .field("x-nutmegwheel-request-id")
            .unwrap_or_default()
            .to_owned();
        let me = cx.endpoint.id.clone();
        let target = req.field("x-nutmegwheel-target-instance");
        if target.is_some_and(|target| target != me) {
            let fields = [
                ("X-Nutmegwheel-Request-Id", id.as_str()),
                ("X-Nutmegwheel-Not-Executed", "1"),
            ];
            return cx.connection.send(&response(421, &fields, b""));
        }
        self.record.line(format!("{me}: {id} runs"));
        self.arrivals
            .lock()
            .expect("arrivals")
            .push((Instant::now(), me, id.clone()));
        thread::sleep(Duration::from_millis(20));
        let seal = cx.endpoint.seal();
        let fields = [
            ("X-Nutmegwheel-Request-Id", id.as_str()),
            ("X-Nutmegwheel-Server-Seal", seal.as_str()),
        ];
        cx.connection.send(&response(200, &fields, b"done"))
    }
}

fn send(fleet: &Fleet, record: &Record, id: &str) -> u16 {
    let fields = [
        ("Host", "desk.example"),
        ("X-Nutmegwheel-Request-Id", id),
        ("X-Nutmegwheel-Request-Deadline-Ms", "2000"),
        ("Authorization", KEY),
    ];
    let to = fleet.portal().outbound();
    let answer = http::call(
        to,
        "POST",
        "/claim/x",
        &fields,
        b"a claim",
        Duration::from_secs(3),
    );
    let status = answer.map_or(0, |a| a.status());
    record.line(format!(
        "client at {}: {id} answered {status}",
        fleet.portal().name
    ));
    status
}

fn run(root: &Path, folder: &Path) -> io::Result<bool> {
    let record = Record::open(folder)?;
    let plan = Plan::service("claims-desk", ENDPOINTS);
    let mut fleet = Fleet::start(root, plan, &record)?;
    let server = Arc::new(Server {
        record: record.clone(),
        arrivals: Mutex::default(),
    });
    let boot = |id: &str, n: usize| Endpoint::boot(id, &fleet.nodes[n], 41, server.clone());
    let leaving = boot("i-0", 0)?;
    let others = (1..=ENDPOINTS).map(|n| boot(&format!("i-{n}"), n));
    let others = others.collect::<io::Result<Vec<_>>>()?;
    leaving.heartbeat().ok();
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
        send(&fleet, &record, &format!("warm-{n}"));
        if n % 20 == 0 {
            leaving.heartbeat().ok();
        }
        let arrivals = server.arrivals.lock().expect("arrivals");
        if arrivals.iter().any(|(_, me, _)| me == "i-0") {
            break;
        }
        drop(arrivals);
        if Instant::now() > end {
            return Err(io::Error::other("the endpoint is not used"));
        }
        thread::sleep(Duration::from_millis(50));
    }

    // The endpoint's last heartbeat is on its way when it says that it leaves.
    let late = leaving.next_heartbeat();
    let written = Instant::now();
    record.line("i-0 sends a heartbeat, which is delayed");
    thread::sleep(Duration::from_millis(200));
    let status = leaving.deregister()?;
    let left = Instant::now();
    record.say(format!(
        "i-0 says that it leaves (DELETE), answered {status}"
    ));
    if status != 200 {
        return Err(io::Error::other("the DELETE was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(200));
    let name = fleet.nodes[0].name.clone();
    let mut in_touch = Instant::now();
    if trouble() {
        let machine = fleet.nodes[0].clone();
        fleet.kill(&name);
        thread::sleep(Duration::from_millis(300));
        fleet.launch(&machine, false)?;
        in_touch = Instant::now() + CONTACT;
    }
    let mut delivered = false;
    let mut n = 0;
    while left.elapsed() < STAYS {
        if !delivered && written.elapsed() >= LATE {
            delivered = true;
            let status = leaving.deliver(&late).unwrap_or(0);
            record.say(format!(
                "the late heartbeat arrives after {} ms, answered {status}",
                written.elapsed().as_millis()
            ));
        }
        send(&fleet, &record, &format!("r-{n}"));
        n += 1;
        thread::sleep(Duration::from_millis(50));
    }
    let arrivals = server.arrivals.lock().expect("arrivals");
    let late = arrivals
        .iter()
        .filter(|(at, me, _)| me == "i-0" && *at > left + DRAIN && *at > in_touch);
    let late: Vec<_> = late.collect();
    if let Some((at, _, id)) = late.first() {
        let after = at.duration_since(left).as_millis();
        record.say(format!("DRAIN: {id} reached i-0 {after} ms after its DELETE was acknowledged; {} such requests", late.len()));
    }
    Ok(!late.is_empty())
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
