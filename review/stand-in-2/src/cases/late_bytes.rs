//! An endpoint sends the first bytes of a rejection a second time, at the point where the next
//! response is expected.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use super::Verdict;
use crate::{
    client,
    endpoint::{Answer, Endpoint, Run},
    fleet::{self, Fleet, Route},
    http::Message,
    record::Record,
};

const SERVICE: &str = "wuno96b";
const PATH: &str = "/puka111/order";
const REQUESTS: usize = 320;
/// The faulty endpoint spoils one answer in so many, 2.5 in 100.
const SPOILED_ONE_IN: u32 = 40;
/// The beginning of a rejection, as the pages show it.
const CUT_REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Nutmegwheel-Not-Executed: 1";

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(record.clone(), &[SERVICE; 2])?;
    let route = Route {
        prefix: "/puka111/",
        kind: "unsafe",
        timeout_ms: 1500,
        to: format!(r#""service":"{SERVICE}""#),
    };
    fleet.start_all(&fleet::config(2, 0, &[route], &[SERVICE]))?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let sidecars = fleet.sidecars();
    let faulty = fleet.machines[sidecars[0]].name.clone();
    let count = AtomicU32::new(0);
    let behaviour = Arc::new(move |machine: &str, _: &Message| {
        let is_full =
            machine == faulty && count.fetch_add(1, Ordering::SeqCst) % SPOILED_ONE_IN == 7;
        match is_full {
            true => Answer {
                status: 503,
                is_rejection: true,
                late_bytes: if has_trouble {
                    CUT_REJECTION.to_vec()
                } else {
                    Vec::new()
                },
                ..Answer::default()
            },
            false => Answer {
                status: 200,
                work: Duration::from_millis(10),
                body: b"done".to_vec(),
                ..Answer::default()
            },
        }
    });
    let mut endpoints = Vec::new();
    for machine in &sidecars {
        endpoints.push(Endpoint::start(
            &fleet,
            *machine,
            80,
            runs.clone(),
            behaviour.clone(),
        )?);
    }
    thread::sleep(Duration::from_secs(3));
    let to = fleet.address(sidecars[0], fleet.ports.outbound);
    let mut served = 0;
    for _ in 0..REQUESTS {
        let id = client::new_id();
        let res = client::send(record, to, "POST", PATH, &id, 5000, b"an order");
        served += usize::from(res.is_ok_and(|res| res.status() == 200));
    }
    thread::sleep(Duration::from_secs(1));
    let ended = fleet.ended();
    if !ended.is_empty() || served < REQUESTS / 2 {
        return Err(io::Error::other(format!(
            "{served} served, processes ended: {ended:?}"
        )));
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let mut by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in runs.iter() {
        by_id.entry(&run.id).or_default().push(&run.endpoint);
    }
    by_id.retain(|_, endpoints| endpoints.len() > 1);
    for (id, endpoints) in &by_id {
        record.add(format!("{id} ran more than once: {endpoints:?}"));
    }
    Ok(Verdict {
        is_broken: !by_id.is_empty(),
        text: format!(
            "{} of {REQUESTS} requests that may run once at most ran twice; {served} were served",
            by_id.len()
        ),
    })
}
