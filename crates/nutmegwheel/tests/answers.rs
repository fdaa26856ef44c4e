//! What callers are told, and how often their requests run, when backend servers send answers that
//! are not the answer to the request.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use nutmegwheel_support::script::{self, Arrival, Script, Step};
use stand_in::{Fleet, KEY, sound_answer};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const WORK: Duration = Duration::from_millis(40);
/// The statuses that promise callers that their request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const ID: &str = "x-nutmegwheel-request-id";
const NOT_EXECUTED: (&str, &str) = ("x-nutmegwheel-not-executed", "1");

async fn start() -> Fleet {
    Fleet::serving(PROGRAM, SERVERS).await
}

/// Lets both backend servers of the portal follow a script.
fn follow(fleet: &Fleet, script: impl Fn(&Arrival) -> Vec<Step> + Send + Sync + 'static) {
    let script: Script = Arc::new(script);
    for server in &fleet.servers[..2] {
        server.follow(script.clone());
    }
}

async fn call(fleet: &Fleet, method: &str, path: &str) -> nutmegwheel_support::Answer {
    let (node, key) = (&fleet.nodes[2], [("authorization", KEY)]);
    let answer = fleet.call_at(node, method, "portal.example", path, &key);
    answer.await
}

fn run_and_answer(arrival: &Arrival) -> Vec<Step> {
    let answer = sound_answer(arrival.field(ID));
    vec![Step::Run, Step::Wait(WORK), Step::Send(answer)]
}

/// Counts how often each path has arrived.
#[derive(Default)]
struct Arrivals(Mutex<HashMap<String, usize>>);

impl Arrivals {
    fn is_first(&self, path: &str) -> bool {
        let mut counts = self.0.lock().expect("arrivals");
        let count = counts.entry(path.to_owned()).or_default();
        *count += 1;
        *count == 1
    }
}

/// Checks what the caller of an unsafe request was told against how often the request ran.
fn check_unsafe(fleet: &Fleet, path: &str, status: u16) {
    let runs = fleet.runs_of(path).len();
    assert!(runs <= 1, "{path} ran {runs} times: {status}");
    let is_promise = PROMISES.contains(&status);
    assert!(!is_promise || runs == 0, "{path} ran: {status}");
}

// Guards against TWICE: the denial of another request, which arrives late on a kept connection, is
// taken for the answer to the request that runs there, and that runs at another backend server too.
#[tokio::test(flavor = "multi_thread")]
async fn late_denial_of_another_request_proves_nothing() {
    let fleet = start().await;
    for denial in [421, 429, 503, 400] {
        let arrivals = Arrivals::default();
        follow(&fleet, move |arrival| {
            let late = script::answer(denial, &[(ID, "another"), NOT_EXECUTED], "");
            let mut steps = vec![Step::Run];
            if arrivals.is_first(&arrival.path) {
                steps.push(Step::Send(late));
            }
            let answer = sound_answer(arrival.field(ID));
            steps.extend([Step::Wait(WORK), Step::Send(answer)]);
            steps
        });
        for number in 0..6 {
            let path = format!("/once/late-{denial}-{number}");
            let status = call(&fleet, "POST", &path).await.status;
            check_unsafe(&fleet, &path, status);
            assert_eq!(status, 502, "{path}");
        }
        // A repeat on another backend server costs a retry, of which there are few.
        for number in 0..2 {
            let path = format!("/safe/late-{denial}-{number}");
            assert_eq!(call(&fleet, "GET", &path).await.status, 200, "{path}");
        }
    }
}

// Guards against TWICE: after an additional answer the others on its connection are read one behind,
// so that a denial that is due to one request is taken for the answer to the next.
#[tokio::test(flavor = "multi_thread")]
async fn connection_that_carried_foreign_answer_is_not_used_again() {
    let fleet = start().await;
    let seen: Arc<Mutex<Vec<(String, usize, String)>>> = Arc::default();
    let record = seen.clone();
    follow(&fleet, move |arrival| {
        let place = (
            arrival.server.clone(),
            arrival.connection,
            arrival.path.clone(),
        );
        record.lock().expect("arrivals").push(place);
        let mut steps = run_and_answer(arrival);
        if arrival.path.starts_with("/once/first") {
            steps.insert(1, Step::Send(sound_answer("another")));
        }
        steps
    });
    for number in 0..6 {
        let first = format!("/once/first-{number}");
        assert_eq!(call(&fleet, "POST", &first).await.status, 502);
        let next = (0..3).map(|n| format!("/once/next-{number}-{n}"));
        for path in next {
            assert_eq!(call(&fleet, "POST", &path).await.status, 200, "{path}");
        }
        let seen = seen.lock().expect("arrivals");
        let place = seen.iter().find(|(.., path)| *path == first);
        let (server, connection, _) = place.expect("it arrived");
        let later = seen.iter().skip_while(|(.., path)| *path != first).skip(1);
        let mut later = later.filter(|(s, c, _)| s == server && c == connection);
        assert!(
            later.next().is_none(),
            "{first}: the connection is used again"
        );
    }
}

/// Publishes a configuration whose routes allow three attempts.
async fn allow_three_attempts(fleet: &Fleet) {
    let mut configuration = stand_in::document();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["attempts"] = 3.into();
    }
    assert_eq!(fleet.publish(2, 1, &configuration).await, 200);
}

// Guards against REFUSED and TWICE: a request that all backend servers refused is repeated at one of
// them, on the connection of its refusal, and a late second copy of that is taken for the answer to
// the repeat: the caller is told "not run" while it runs, or it is sent to a further backend server.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_refusal_is_not_taken_for_answer_to_repeat() {
    let fleet = start().await;
    allow_three_attempts(&fleet).await;
    let copies = Arc::new(AtomicUsize::new(0));
    for denial in [503, 429, 400, 421] {
        let sent = copies.clone();
        // The backend servers and connections that have refused a path.
        let refused: Mutex<HashMap<String, Vec<(String, usize)>>> = Mutex::default();
        follow(&fleet, move |arrival| {
            let refusal = script::answer(denial, &[(ID, arrival.field(ID)), NOT_EXECUTED], "");
            let place = (arrival.server.clone(), arrival.connection);
            let mut refused = refused.lock().expect("refused");
            let places = refused.entry(arrival.path.clone()).or_default();
            let is_refused = arrival.path.contains("refused");
            let is_new_server = places.iter().all(|(server, _)| *server != arrival.server);
            if is_refused && places.len() < 2 && is_new_server {
                places.push(place);
                return vec![Step::Send(refusal)];
            }
            let mut steps = run_and_answer(arrival);
            if places.contains(&place) {
                sent.fetch_add(1, Ordering::SeqCst);
                steps.insert(1, Step::Send(refusal));
            }
            steps
        });
        for number in 0..4 {
            let path = format!("/once/refused-{denial}-{number}");
            let status = call(&fleet, "POST", &path).await.status;
            check_unsafe(&fleet, &path, status);
            let path = format!("/once/other-{denial}-{number}");
            assert_eq!(call(&fleet, "POST", &path).await.status, 200, "{path}");
        }
    }
    assert!(copies.load(Ordering::SeqCst) > 0, "a copy was sent");
}

// Guards against roots that fail while retries are left: both backend servers refuse at random, and a
// request that may be sent to two of them is given up after one refusal of each.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_sent_to_the_same_backend_servers_again() {
    let fleet = start().await;
    let refused: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    follow(&fleet, move |arrival| {
        let mut refused = refused.lock().expect("refused");
        let count = refused.entry(arrival.path.clone()).or_default();
        *count += 1;
        if *count <= 3 {
            let fields = [(ID, arrival.field(ID)), NOT_EXECUTED];
            return vec![Step::Send(script::answer(503, &fields, ""))];
        }
        run_and_answer(arrival)
    });
    for number in 0..2 {
        let path = format!("/safe/refused-{number}");
        assert_eq!(call(&fleet, "GET", &path).await.status, 200, "{path}");
        assert_eq!(fleet.runs_of(&path).len(), 1, "{path}");
        let path = format!("/once/refused-{number}");
        let status = call(&fleet, "POST", &path).await.status;
        check_unsafe(&fleet, &path, status);
    }
}

/// What a backend server answers, and whether it has run the request if the answer bears its id.
#[derive(Clone, Copy, Debug)]
struct Kind {
    status: u16,
    field: Option<(&'static str, &'static str)>,
    runs: bool,
    /// What the caller is told if nothing else is sent.
    told: u16,
}

const SEAL: (&str, &str) = ("x-nutmegwheel-server-seal", "seal");

const KINDS: [Kind; 11] = [
    kind(200, Some(SEAL), true, 200),
    kind(200, None, true, 502),
    kind(200, Some(NOT_EXECUTED), true, 502),
    kind(101, Some(SEAL), true, 502),
    kind(500, Some(SEAL), true, 500),
    kind(503, Some(SEAL), true, 502),
    kind(429, None, true, 502),
    kind(421, Some(NOT_EXECUTED), false, 200),
    kind(429, Some(NOT_EXECUTED), false, 200),
    kind(503, Some(NOT_EXECUTED), false, 200),
    kind(400, Some(NOT_EXECUTED), false, 200),
];

const fn kind(
    status: u16,
    field: Option<(&'static str, &'static str)>,
    runs: bool,
    told: u16,
) -> Kind {
    Kind {
        status,
        field,
        runs,
        told,
    }
}

// Guards against MIXED, REFUSED and TWICE: each kind of answer with the request's id, another one and
// none, in place of the answer and before it, against what the caller is told and what ran.
#[tokio::test(flavor = "multi_thread")]
async fn answers_prove_what_their_heads_say() {
    let fleet = start().await;
    for (number, kind) in KINDS.into_iter().enumerate() {
        for id in ["own", "another", "no"] {
            for is_late in [false, true] {
                if is_late && id == "own" {
                    // Nobody could tell it from the answer.
                    continue;
                }
                let arrivals = Arrivals::default();
                follow(&fleet, move |arrival| {
                    let sound = run_and_answer(arrival);
                    if !arrivals.is_first(&arrival.path) {
                        return sound;
                    }
                    let own = arrival.field(ID);
                    let mut fields: Vec<_> = kind.field.into_iter().collect();
                    match id {
                        "own" => fields.push((ID, own)),
                        "another" => fields.push((ID, "another")),
                        _ => {}
                    }
                    let answer = Step::Send(script::answer(kind.status, &fields, "done"));
                    match (is_late, kind.runs || id != "own") {
                        (true, _) => [vec![Step::Run, answer], sound[1..].to_vec()].concat(),
                        (false, true) => vec![Step::Run, Step::Wait(WORK), answer],
                        (false, false) => vec![answer],
                    }
                });
                let path = format!("/once/{number}-{id}-{is_late}");
                let answer = call(&fleet, "POST", &path).await;
                let what = format!("{kind:?}, {id} id, late: {is_late}: {}", answer.text());
                check_unsafe(&fleet, &path, answer.status);
                assert_eq!(fleet.runs_of(&path).len(), 1, "{what}");
                let told = if id == "own" { kind.told } else { 502 };
                assert_eq!(answer.status, told, "{what}");
                if answer.status == 200 {
                    assert!(answer.fields.contains_key(SEAL.0), "{what}");
                    assert!(answer.text().starts_with("done"), "{what}");
                }
            }
        }
    }
}

// Guards against MIXED: an interim answer is taken for the final one, or its fields for those of the
// final one.
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_are_passed_over() {
    let fleet = start().await;
    follow(&fleet, |arrival| {
        let interim = |status: u16| {
            let head = format!("HTTP/1.1 {status} X\r\nx-nutmegwheel-not-executed: 1\r\n\r\n");
            Step::Send(head.into_bytes())
        };
        let mut steps = run_and_answer(arrival);
        steps.insert(1, interim(100));
        steps.insert(2, interim(103));
        steps
    });
    for number in 0..4 {
        let path = format!("/once/interim-{number}");
        assert_eq!(call(&fleet, "POST", &path).await.status, 200);
        assert_eq!(fleet.runs_of(&path).len(), 1);
    }
}
