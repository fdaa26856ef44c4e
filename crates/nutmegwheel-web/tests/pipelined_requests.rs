//! Callers that send further requests before the first one is answered.

mod common;

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use common::{LIMIT, Recorder, WORK_PATH, bind_with, read_response, read_status};

/// More requests than a listener starts at a time on one connection.
const MANY: usize = 40;
/// The maximum number of requests that are started at a time on one connection.
const MAX_STARTED: usize = 16;

fn send_all(address: SocketAddr, requests: &[(&str, &str)]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let requests = requests
        .iter()
        .map(|(method, path)| format!("{method} {path} HTTP/1.1\r\nhost: a\r\n\r\n"));
    let text = requests.collect::<Vec<_>>().concat();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

/// Waits for a while in which nothing further may be started.
fn settle() {
    std::thread::sleep(Duration::from_millis(200));
}

// Guards against requests that wait for a slow answer which is not theirs.
#[tokio::test(flavor = "multi_thread")]
async fn request_behind_unanswered_one_is_started() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stream = send_all(server.address(), &[("GET", WORK_PATH), ("GET", "/quick")]);
    recorder.await_started("/quick", 1);
    recorder.finish_work();
    assert_eq!(read_response(&stream).body, WORK_PATH);
    assert_eq!(read_response(&stream).body, "/quick");
}

// Guards against MIXED: answers are sent in the order of the requests, whichever ends first.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_sent_in_order_of_requests() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let paths: Vec<String> = (0..MANY)
        .map(|n| format!("/delayed/{}", (n * 7) % 30))
        .collect();
    let requests: Vec<_> = paths.iter().map(|path| ("GET", path.as_str())).collect();
    let stream = send_all(server.address(), &requests);
    for path in &paths {
        assert_eq!(read_response(&stream).body, *path);
    }
    assert_eq!(recorder.started(), paths);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_are_bounded() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stream = send_all(server.address(), &[("GET", WORK_PATH); MANY]);
    recorder.await_started(WORK_PATH, MAX_STARTED);
    settle();
    assert_eq!(recorder.started().len(), MAX_STARTED);
    recorder.finish_work();
    for _ in 0..MANY {
        assert_eq!(read_response(&stream).body, WORK_PATH);
    }
}

// Guards against TWICE: a caller sends again what was sent behind a connection's end, whatever it
// is, so a request that must not run twice is not started behind an unanswered one.
#[tokio::test(flavor = "multi_thread")]
async fn unsafe_request_waits_for_answers_before_it() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let requests = [("GET", WORK_PATH), ("POST", "/unsafe"), ("GET", "/behind")];
    let stream = send_all(server.address(), &requests);
    recorder.await_started(WORK_PATH, 1);
    settle();
    assert_eq!(recorder.started(), [WORK_PATH]);
    recorder.finish_work();
    for (_, path) in requests {
        assert_eq!(read_response(&stream).body, path);
    }
}

// Guards against GONE: the caller's departure was not noticed while further requests had arrived.
#[tokio::test(flavor = "multi_thread")]
async fn departure_of_caller_cancels_all_its_requests() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stream = send_all(server.address(), &[("GET", WORK_PATH); MANY]);
    recorder.await_started(WORK_PATH, MAX_STARTED);
    drop(stream);
    recorder.await_ended(WORK_PATH, MAX_STARTED);
    settle();
    assert_eq!(recorder.started().len(), MAX_STARTED);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_closed_connection_counts_as_departure() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let mut stream = send_all(server.address(), &[("GET", WORK_PATH), ("GET", WORK_PATH)]);
    recorder.await_started(WORK_PATH, 2);
    stream.shutdown(Shutdown::Write).unwrap();
    recorder.await_ended(WORK_PATH, 2);
    let mut rest = Vec::new();
    assert_eq!(stream.read_to_end(&mut rest).unwrap(), 0);
}

// Guards against LOST and TWICE around an answer that closes the connection: what was started is
// answered before, and what was not read is not started.
#[tokio::test(flavor = "multi_thread")]
async fn closing_answer_is_sent_behind_those_in_progress() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let requests = [
        ("GET", "/close"),
        ("GET", "/delayed/20"),
        ("POST", "/not-read"),
    ];
    let mut stream = send_all(server.address(), &requests);
    let first = read_response(&stream);
    assert!(first.body == "/close" && !first.closes, "{first:?}");
    let last = read_response(&stream);
    assert!(last.body == "/delayed/20" && last.closes, "{last:?}");
    let mut rest = Vec::new();
    assert_eq!(stream.read_to_end(&mut rest).unwrap(), 0);
    assert_eq!(recorder.started(), ["/close", "/delayed/20"]);
}

// Guards against an answer that is reset on its way since bytes behind it were not read.
#[tokio::test(flavor = "multi_thread")]
async fn closing_answer_reaches_caller_that_sends_on() {
    let (server, _) = bind_with(None, Recorder::default());
    let mut stream = send_all(server.address(), &[("GET", "/close")]);
    settle();
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(100) {
        let _ = stream.write_all(b"GET /not-read HTTP/1.1\r\nhost: a\r\n\r\n");
    }
    let answer = read_response(&stream);
    assert!(answer.body == "/close" && answer.closes, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_request_is_refused_behind_good_answer() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let mut stream = send_all(server.address(), &[("GET", WORK_PATH)]);
    stream.write_all(b"no request\r\n\r\n").unwrap();
    recorder.await_started(WORK_PATH, 1);
    settle();
    recorder.finish_work();
    assert_eq!(read_response(&stream).body, WORK_PATH);
    assert_eq!(read_status(&stream), "HTTP/1.1 400");
}

// Guards against LOST: requests that were read when a planned stop began.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_all_requests_that_were_read() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stream = send_all(
        server.address(),
        &[("GET", WORK_PATH), ("GET", "/delayed/20")],
    );
    recorder.await_started("/delayed/20", 1);
    let stop = tokio::spawn(async move { server.stop().await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    recorder.finish_work();
    let first = read_response(&stream);
    assert!(first.body == WORK_PATH && !first.closes, "{first:?}");
    let last = read_response(&stream);
    assert!(last.body == "/delayed/20" && last.closes, "{last:?}");
    drop(stream);
    tokio::time::timeout(LIMIT, stop).await.unwrap().unwrap();
}

// Guards against LOST: connections that the kernel had accepted, but not yet the listener.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_requests_on_connections_not_yet_accepted() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stalling = send_all(server.address(), &[("GET", common::STALL_PATH)]);
    recorder.await_started(common::STALL_PATH, 1);
    let waiting: Vec<TcpStream> = (0..8)
        .map(|_| send_all(server.address(), &[("GET", "/waiting")]))
        .collect();
    let stop = tokio::spawn(async move { server.stop().await });
    assert_eq!(read_response(&stalling).body, common::STALL_PATH);
    for stream in waiting {
        assert_eq!(read_response(&stream).body, "/waiting");
    }
    tokio::time::timeout(LIMIT, stop).await.unwrap().unwrap();
}

// Guards against memory without a bound for a caller that sends requests and reads no answers.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_does_not_read_starts_few_requests() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stream = send_all(server.address(), &[("GET", "/large"); MANY]);
    recorder.await_started("/large", 1);
    settle();
    assert!(
        recorder.started().len() < MANY,
        "{}",
        recorder.started().len()
    );
    for _ in 0..MANY {
        assert_eq!(read_response(&stream).body.len(), common::LARGE_BYTES);
    }
}
