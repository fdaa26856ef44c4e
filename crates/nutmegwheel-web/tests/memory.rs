//! Load: callers whose requests together exceed the memory of the listener, or hold all of its
//! connections, and stop short of their end.

mod common;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Instant,
};

use common::{LIMIT, Recorder, WORK_PATH, bind, read_status, send};
use nutmegwheel_memory::Account;
use nutmegwheel_web::Server;

const BODY_LIMIT: usize = 1024 * 1024;
const ACCOUNT: usize = 1536 * 1024;

fn open(max_connections: Option<usize>) -> (Server, Account, Recorder) {
    let account = Account::open(ACCOUNT);
    let recorder = Recorder::default();
    let (server, recorder) = bind(max_connections, BODY_LIMIT, account.clone(), recorder);
    (server, account, recorder)
}

/// Sends a request whose body of the greatest size lacks the given number of bytes.
fn send_all_but(address: SocketAddr, path: &str, missing: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_LIMIT}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let body = vec![b'x'; BODY_LIMIT - missing];
    // Fails if the caller is evicted before.
    let _ = stream.write_all(&body);
    stream
}

fn await_held(account: &Account, is_reached: impl Fn(usize) -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_reached(account.held()) {
        assert!(Instant::now() < end, "{} bytes are held", account.held());
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

fn is_served(address: SocketAddr) -> bool {
    let mut status = [0; 12];
    let mut stream = TcpStream::connect(address).unwrap();
    let sent = stream.write_all(b"GET /new HTTP/1.1\r\nhost: a\r\n\r\n");
    let read = sent.and_then(|()| stream.read_exact(&mut status));
    read.is_ok() && status == *b"HTTP/1.1 200"
}

#[tokio::test(flavor = "multi_thread")]
async fn body_that_stops_gives_way_to_one_that_arrives() {
    let (server, account, recorder) = open(None);
    let stopped = send_all_but(server.address(), "/stopped", 1);
    await_held(&account, |held| held > BODY_LIMIT);
    let arriving = send_all_but(server.address(), "/arriving", 0);
    assert_eq!(read_status(&arriving), "HTTP/1.1 200");
    assert_eq!(read_status(&stopped), "HTTP/1.1 503");
    assert_eq!(recorder.started(), ["/arriving"]);
    drop((stopped, arriving));
    await_held(&account, |held| held == 0);
}

// A request in progress was begun, so that it may not be refused.
#[tokio::test(flavor = "multi_thread")]
async fn request_in_progress_keeps_its_memory() {
    let (server, account, recorder) = open(None);
    let working = send_all_but(server.address(), WORK_PATH, 0);
    recorder.await_started(WORK_PATH, 1);
    let stopped = send_all_but(server.address(), "/stopped", 1);
    assert_eq!(read_status(&stopped), "HTTP/1.1 503");
    assert!(account.held() > BODY_LIMIT);
    let small = send(server.address(), "/small");
    assert_eq!(read_status(&small), "HTTP/1.1 200");
    recorder.finish_work();
    assert_eq!(read_status(&working), "HTTP/1.1 200");
}

#[tokio::test(flavor = "multi_thread")]
async fn new_caller_replaces_connection_whose_request_does_not_arrive() {
    let (server, _, _) = open(Some(2));
    let missing = BODY_LIMIT - 10;
    let _incomplete: Vec<TcpStream> = (0..2)
        .map(|_| send_all_but(server.address(), "/stopped", missing))
        .collect();
    let end = Instant::now() + LIMIT;
    // It is turned away until the others are known to be slow.
    while !is_served(server.address()) {
        assert!(Instant::now() < end, "all connections are still in use");
    }
}
