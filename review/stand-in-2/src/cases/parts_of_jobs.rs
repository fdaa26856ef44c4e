//! A tenant sends many times its usual. The ids of its requests consist of the id of a job, a dot and
//! the number of a part.

use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::Verdict;
use crate::{
    client,
    endpoint::{Answer, Endpoint, Run},
    fleet::{self, Fleet, Route},
    http::Message,
    record::Record,
};

const SERVICE: &str = "huvo11a";
const JOB: &str = "/leny950/job";
const PART: &str = "/leny950/part";
const RATE: usize = 20;
const BURST: usize = 20;
/// What the tenant sends usually, and while it sends many times its usual, in requests a second.
const USUAL: u32 = 15;
const MANY: u32 = 8 * USUAL;
const TIME: Duration = Duration::from_secs(8);
const WINDOW: Duration = Duration::from_secs(5);
const SLACK: usize = 20;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(record.clone(), &[SERVICE; 3])?;
    let route = Route {
        prefix: "/leny950/",
        kind: "safe",
        timeout_ms: 1000,
        to: format!(r#""service":"{SERVICE}""#),
    };
    let config = fleet::config(2, 0, &[route], &[SERVICE]);
    let limit = format!(r#""rate_per_s":{RATE},"burst":{BURST}"#);
    let config = config.replace(r#""rate_per_s":1000,"burst":1000"#, &limit);
    fleet.start_all(&config)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let sidecars = fleet.sidecars();
    let behaviour = Arc::new(|_: &str, req: &Message| {
        let work = if req.path() == JOB { 800 } else { 20 };
        Answer {
            status: 200,
            work: Duration::from_millis(work),
            body: b"done".to_vec(),
            ..Answer::default()
        }
    });
    let mut endpoints = Vec::new();
    for machine in &sidecars {
        endpoints.push(Endpoint::start(
            &fleet,
            *machine,
            64,
            runs.clone(),
            behaviour.clone(),
        )?);
    }
    // The tenant's part of the limit reaches the nodes meanwhile.
    thread::sleep(Duration::from_secs(6));
    let to = fleet.address(sidecars[0], fleet.ports.outbound);
    let rate = if has_trouble { MANY } else { USUAL };
    let (sent, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let is_over = AtomicBool::new(false);
    let job = Mutex::new(client::new_id());
    thread::scope(|scope| {
        // One job after the other; each is a request of its own.
        scope.spawn(|| {
            while !is_over.load(Ordering::SeqCst) {
                let id = client::new_id();
                job.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone_from(&id);
                sent.fetch_add(1, Ordering::SeqCst);
                let res = client::send(record, to, "GET", JOB, &id, 5000, b"");
                if !res.is_ok_and(|res| res.status() == 200) {
                    refused.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(100));
                }
            }
        });
        let begin = Instant::now();
        let mut number = 0;
        while begin.elapsed() < TIME {
            number += 1;
            let id = format!(
                "{}.{number}",
                job.lock().unwrap_or_else(PoisonError::into_inner)
            );
            let (sent, refused) = (&sent, &refused);
            scope.spawn(move || {
                sent.fetch_add(1, Ordering::SeqCst);
                let res = client::send(record, to, "GET", PART, &id, 5000, b"");
                if res.is_ok_and(|res| res.status() == 429) {
                    refused.fetch_add(1, Ordering::SeqCst);
                }
            });
            let due = begin + Duration::from_secs(1) * number / rate;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let in_window = |first: &Run| {
        let window = first.at..first.at + WINDOW;
        runs.iter().filter(|run| window.contains(&run.at)).count()
    };
    let most = runs.iter().map(in_window).max().unwrap_or(0);
    let window_s = usize::try_from(WINDOW.as_secs()).unwrap_or(usize::MAX);
    let allowed = (RATE * window_s + BURST) * 11 / 10 + SLACK;
    Ok(Verdict {
        is_broken: most > allowed,
        text: format!(
            "{most} requests of the tenant ran in some 5 s, {allowed} are allowed; {} were sent, {} \
             refused",
            sent.load(Ordering::SeqCst),
            refused.load(Ordering::SeqCst),
        ),
    })
}
