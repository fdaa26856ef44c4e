//! A request crashes each endpoint that runs it and comes again, while the sidecar machines are
//! stopped and started in turn.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use super::Verdict;
use crate::{
    client,
    endpoint::{Action, Answer, Endpoint, Run},
    fleet::{self, Fleet, Route},
    record::Record,
};

const SERVICE: &str = "wuno96b";
const CRASHING: &str = "/puka111/crash";
const ORDINARY: &str = "/puka111/order";
/// How long a crashed endpoint is down: "some seconds".
const DOWN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_secs(6);
/// The rule allows three retries after the third crash.
const MAX_RETRIES: usize = 3;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut fleet = Fleet::open(record.clone(), &[SERVICE; 4])?;
    let route = Route {
        prefix: "/puka111/",
        kind: "unsafe",
        timeout_ms: 1500,
        to: format!(r#""service":"{SERVICE}""#),
    };
    fleet.start_all(&fleet::config(2, 0, &[route], &[SERVICE]))?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let sidecars = fleet.sidecars();
    let behaviour = Arc::new(|_: &str, req: &crate::http::Message| match req.path() {
        CRASHING => Action::Crash { down: DOWN },
        _ => Action::Answer(Answer {
            status: 200,
            work: Duration::from_millis(300),
            body: b"done".to_vec(),
            ..Answer::default()
        }),
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
    wait_until_served(&fleet, &sidecars)?;

    // The request comes first while nothing else happens.
    for n in 0..8 {
        send_crashing(&fleet, sidecars[n % sidecars.len()]);
        thread::sleep(Duration::from_millis(700));
    }
    for machine in &sidecars {
        if has_trouble {
            fleet.signal(*machine, "TERM")?;
            fleet.wait_for_end(*machine, GRACE)?;
            thread::sleep(Duration::from_millis(500));
            fleet.start(*machine, false)?;
            fleet.wait_until_ready(*machine)?;
        } else {
            thread::sleep(Duration::from_secs(3));
        }
        // From now on the machine is in touch again.
        thread::sleep(CONTACT + Duration::from_millis(1500));
        for _ in 0..8 {
            send_crashing(&fleet, *machine);
            thread::sleep(Duration::from_millis(900));
        }
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended: {ended:?}")));
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let crashes: Vec<&Run> = runs.iter().filter(|run| run.path == CRASHING).collect();
    let counted = crashes.get(2).map_or(0, |third| {
        let late = crashes.iter().filter(|run| run.at > third.at + CONTACT);
        late.count()
    });
    Ok(Verdict {
        is_broken: counted > MAX_RETRIES,
        text: format!(
            "the request crashed endpoints {} times; {counted} retries reached one later than \
             contact_ms after the third crash, {MAX_RETRIES} are allowed",
            crashes.len()
        ),
    })
}

/// Sends the crashing request beside an ordinary one, which may run at the same endpoint.
fn send_crashing(fleet: &Fleet, machine: usize) {
    let to = fleet.address(machine, fleet.ports.outbound);
    thread::scope(|scope| {
        scope.spawn(|| {
            let id = client::new_id();
            client::send(&fleet.record, to, "POST", ORDINARY, &id, 5000, b"an order")
        });
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(100));
            let id = client::new_id();
            client::send(&fleet.record, to, "POST", CRASHING, &id, 5000, b"the same")
        });
    });
}

fn wait_until_served(fleet: &Fleet, sidecars: &[usize]) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(20);
    for machine in sidecars {
        let to = fleet.address(*machine, fleet.ports.outbound);
        loop {
            let id = client::new_id();
            let res = client::send(&fleet.record, to, "POST", ORDINARY, &id, 5000, b"an order");
            if res.is_ok_and(|res| res.status() == 200) {
                break;
            }
            if Instant::now() >= end {
                return Err(io::Error::other("ordinary requests are not served"));
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
    Ok(())
}
