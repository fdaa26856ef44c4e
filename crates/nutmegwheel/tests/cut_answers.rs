//! Answers of backend servers that end too early, at each byte.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use nutmegwheel_support::{
    raw,
    script::{Arrival, Script, Step},
};
use stand_in::{Fleet, KEY};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
const ID: &str = "x-nutmegwheel-request-id";
const BODY: &str = "the server's bytes";

/// How the end of the body is marked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// By the end of the connection.
    Close,
}

/// The bytes of a complete answer. The fields that frame the body come last.
fn answer(framing: Framing, id: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{ID}: {id}\r\nx-nutmegwheel-server-seal: seal\r\n");
    let (first, second) = BODY.split_at(4);
    let rest = match framing {
        Framing::Length => format!("content-length: {}\r\n\r\n{BODY}", BODY.len()),
        Framing::Chunks => format!(
            "transfer-encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
            first.len(),
            second.len()
        ),
        Framing::Close => format!("\r\n{BODY}"),
    };
    (head + &rest).into_bytes()
}

/// Lets the backend servers of the portal send the first `length` bytes of their answers.
fn cut(fleet: &Fleet, framing: Framing, length: usize, end: Step) {
    let script: Script = Arc::new(move |arrival: &Arrival| {
        let mut bytes = answer(framing, arrival.field(ID));
        bytes.truncate(length);
        vec![Step::Run, Step::Send(bytes), end.clone()]
    });
    for server in &fleet.servers[..2] {
        server.follow(script.clone());
    }
}

/// Sends an unsafe request, and checks that it ran once and was answered whole or not at all.
async fn check(fleet: &Fleet, path: &str, is_whole: bool) {
    let (node, key) = (&fleet.nodes[2], [("authorization", KEY)]);
    let answer = fleet.call_at(node, "POST", "portal.example", path, &key);
    let answer = answer.await;
    let runs = fleet.runs_of(path).len();
    let what = format!("{path}: {} {:?}", answer.status, answer.text());
    if is_whole {
        assert_eq!(
            (answer.status, answer.text().as_str()),
            (200, BODY),
            "{what}"
        );
    } else {
        // A node that ejects a failing backend server refuses the request before it runs.
        let is_refused = answer.status == 503 && runs == 0;
        assert!(answer.status == 502 || is_refused, "{what}");
    }
    assert!(runs <= 1, "{what}: ran {runs} times");
}

// Guards against MIXED and ORDER: a head or a framed body that was cut reaches the caller as a whole
// answer with an empty or a short body.
#[tokio::test(flavor = "multi_thread")]
async fn cut_answers_are_not_passed_on() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let reached = AtomicUsize::new(0);
    for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
        let whole = answer(framing, "0000000000000000").len();
        let head = if framing == Framing::Close {
            whole - BODY.len()
        } else {
            whole
        };
        // Without a length, an answer that was cut after its head cannot be told from a whole one.
        for length in 0..head {
            cut(&fleet, framing, length, Step::Close);
            let path = format!("/once/{framing:?}-{length}");
            check(&fleet, &path, false).await;
            reached.fetch_add(fleet.runs_of(&path).len(), Ordering::SeqCst);
        }
        cut(&fleet, framing, whole, Step::Close);
        check(&fleet, &format!("/once/{framing:?}-whole"), true).await;
    }
    let reached = reached.into_inner();
    assert!(reached > 300, "{reached} requests reached a backend server");
}

// The same where the connection is reset, which shows that a body without a length is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_end_with_a_reset_are_not_passed_on() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let whole = answer(Framing::Close, "0000000000000000").len();
    for length in (whole - BODY.len() - 4)..=whole {
        cut(&fleet, Framing::Close, length, Step::Reset);
        check(&fleet, &format!("/once/reset-{length}"), false).await;
    }
}

// A success of CONNECT has no body, whatever its fields say, so the answer to it would lose its own.
#[tokio::test(flavor = "multi_thread")]
async fn connect_requests_are_refused() {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    let request = format!(
        "CONNECT /once/connect HTTP/1.1\r\nhost: portal.example\r\nauthorization: {KEY}\r\n\
         {ID}: 9c41d07be2a35f68\r\nx-nutmegwheel-request-deadline-ms: 1000\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let answer = raw(fleet.nodes[2].outbound(), request.as_bytes()).await;
    let answer = String::from_utf8_lossy(&answer.expect("an answer")).into_owned();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(fleet.runs_of("/once/connect").is_empty());
}
