//! Callers that send further requests before the first one is answered, through real processes.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::time::{Duration, Instant};

use serde_json::json;
use stand_in::{Fleet, KEY, LIMIT, document};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nutmegwheel");
const SERVERS: &[(&str, &str)] = &[("riga1", "portal"), ("riga2", "portal"), ("riga3", "desk")];
/// The node that the callers use.
const INGRESS: usize = 2;
const WORK: Duration = Duration::from_millis(600);
/// The time within which requests that run side by side are answered.
const SIDE_BY_SIDE: Duration = Duration::from_millis(1100);
/// The time that a caller waits for its answer, in ms.
const PATIENCE_MS: u64 = 3000;

/// A caller with a connection of its own.
struct Pipe(TcpStream);

#[derive(Debug)]
struct Received {
    status: u16,
    id: String,
    closes: bool,
}

impl Pipe {
    async fn open(fleet: &Fleet) -> Self {
        let at = fleet.nodes[INGRESS].outbound();
        Self(TcpStream::connect(at).await.expect("a connection"))
    }

    async fn send(&mut self, path: &str, id: &str, deadline_ms: u64) {
        let text = format!(
            "GET {path} HTTP/1.1\r\nhost: portal.example\r\nauthorization: {KEY}\r\n\
             x-nutmegwheel-request-id: {id}\r\n\
             x-nutmegwheel-request-deadline-ms: {deadline_ms}\r\n\r\n"
        );
        self.0.write_all(text.as_bytes()).await.expect("sent");
    }

    async fn receive(&mut self) -> Received {
        tokio::time::timeout(LIMIT, self.read_response())
            .await
            .expect("a response in time")
    }

    async fn read_response(&mut self) -> Received {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.0.read_u8().await.expect("a response"));
        }
        let head = String::from_utf8(head).expect("text");
        let value = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        let mut body = vec![0; value("content-length:").parse().expect("a length")];
        self.0.read_exact(&mut body).await.expect("a whole body");
        Received {
            status: head[9..12].parse().expect("a status"),
            id: value("x-nutmegwheel-request-id:"),
            closes: value("connection:") == "close",
        }
    }
}

async fn start(work: Duration) -> Fleet {
    let fleet = Fleet::serving(PROGRAM, SERVERS).await;
    for server in &fleet.servers {
        server.set_work(work);
    }
    fleet
}

// Guards against requests that wait for the answers to others: a caller that sends several at once
// had to wait for their sum.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_of_one_connection_run_side_by_side() {
    let fleet = start(WORK).await;
    let mut pipe = Pipe::open(&fleet).await;
    let sent_at = Instant::now();
    for n in 0..6 {
        pipe.send(&format!("/safe/{n}"), &format!("id-{n}"), PATIENCE_MS)
            .await;
    }
    for n in 0..6 {
        let answer = pipe.receive().await;
        assert!(
            answer.status == 200 && answer.id == format!("id-{n}"),
            "{answer:?}"
        );
    }
    assert!(sent_at.elapsed() < SIDE_BY_SIDE, "{:?}", sent_at.elapsed());
}

// Guards against TWICE: whether a request may run twice follows from its route, not its method.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_runs_after_those_before_it() {
    let fleet = start(WORK).await;
    let mut pipe = Pipe::open(&fleet).await;
    for (path, id) in [("/safe/1", "a"), ("/once/2", "b"), ("/safe/3", "c")] {
        pipe.send(path, id, PATIENCE_MS).await;
    }
    for id in ["a", "b", "c"] {
        let answer = pipe.receive().await;
        assert!(answer.status == 200 && answer.id == id, "{answer:?}");
    }
    let [first, second, third] = ["/safe/1", "/once/2", "/safe/3"].map(|path| {
        let runs = fleet.runs_of(path);
        assert_eq!(runs.len(), 1, "{path}");
        runs[0].at
    });
    assert!(second - first >= WORK && third - second >= WORK);
}

#[tokio::test(flavor = "multi_thread")]
async fn each_request_has_its_own_deadline() {
    let fleet = start(WORK).await;
    let mut pipe = Pipe::open(&fleet).await;
    pipe.send("/safe/patient", "a", PATIENCE_MS).await;
    pipe.send("/safe/hurried", "b", 200).await;
    pipe.send("/safe/also-patient", "c", PATIENCE_MS).await;
    for (id, status) in [("a", 200), ("b", 504), ("c", 200)] {
        let answer = pipe.receive().await;
        assert!(answer.status == status && answer.id == id, "{answer:?}");
    }
}

// Guards against CONFIG and ROUTE: a key that is withdrawn between two requests of a connection.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_binds_requests_sent_after_it() {
    let fleet = start(WORK).await;
    let mut pipe = Pipe::open(&fleet).await;
    pipe.send("/safe/before", "a", PATIENCE_MS).await;
    let mut other = document();
    other["tenants"][0]["api_keys"] = json!(["another-key-of-vidzeme-1"]);
    assert_eq!(fleet.publish(2, 1, &other).await, 200);
    pipe.send("/safe/after", "b", PATIENCE_MS).await;
    for (id, status) in [("a", 200), ("b", 401)] {
        let answer = pipe.receive().await;
        assert!(answer.status == status && answer.id == id, "{answer:?}");
    }
    assert!(fleet.runs_of("/safe/after").is_empty());
}

// Guards against LOST: requests that were read when SIGTERM came, and those sent until the close.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_answers_all_requests_in_progress() {
    let mut fleet = start(WORK).await;
    let mut pipes = Vec::new();
    for caller in 0..8 {
        let mut pipe = Pipe::open(&fleet).await;
        for n in 0..4 {
            pipe.send("/safe/stop", &format!("{caller}-{n}"), PATIENCE_MS)
                .await;
        }
        pipes.push(pipe);
    }
    tokio::time::sleep(WORK / 2).await;
    let node = fleet.nodes[INGRESS].name.clone();
    fleet.signal(&node, "TERM");
    for (caller, pipe) in pipes.iter_mut().enumerate() {
        for n in 0..4 {
            let answer = pipe.receive().await;
            assert!(
                answer.status == 200 && answer.id == format!("{caller}-{n}"),
                "{answer:?}"
            );
            assert_eq!(answer.closes, n == 3, "{answer:?}");
        }
    }
    drop(pipes);
    assert_eq!(fleet.wait_for_exit(&node, LIMIT).await, Some(0));
}
