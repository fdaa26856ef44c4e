//! Requests whose callers left before the listener read them.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use nutmegwheel_events::{Clock, Journal, SystemTime};
use nutmegwheel_web::{Handler, HandlerFuture, Options, Request, Response, Server};

/// How long a test waits for what must happen.
const LIMIT: Duration = Duration::from_secs(5);
/// The time for which the listener's thread does not run.
const STALL: Duration = Duration::from_millis(500);
const STALL_PATH: &str = "/stall";

/// Records the paths of the requests that were started. A request for [`STALL_PATH`] blocks the
/// thread of the listener, as a process does that is suspended or out of descriptors.
#[derive(Default)]
struct Recorder {
    started: Mutex<Vec<String>>,
}

impl Recorder {
    fn started(&self) -> Vec<String> {
        self.started.lock().unwrap().clone()
    }
}

impl Handler for Recorder {
    fn handle(&self, req: Request) -> HandlerFuture {
        let path = req.head.uri.path().to_owned();
        self.started.lock().unwrap().push(path.clone());
        if path == STALL_PATH {
            std::thread::sleep(STALL);
        }
        Box::pin(async { Response::default() })
    }
}

fn bind() -> (Server, Arc<Recorder>) {
    let opts = nutmegwheel_events::Options {
        process: "web".into(),
        capacity: 64,
    };
    let journal = Arc::new(Journal::open(opts, Clock::open(SystemTime)));
    let recorder = Arc::new(Recorder::default());
    let opts = Options {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        body_limit: 1024,
        read_timeout: LIMIT,
    };
    let server = nutmegwheel_web::bind(opts, journal, recorder.clone()).unwrap();
    (server, recorder)
}

fn send(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    stream
}

fn read_status(mut stream: &TcpStream) -> String {
    let mut head = [0; 12];
    stream.read_exact(&mut head).unwrap();
    String::from_utf8_lossy(&head).into_owned()
}

fn await_started(recorder: &Recorder, path: &str) {
    let end = Instant::now() + LIMIT;
    while !recorder.started().iter().any(|started| started == path) {
        assert!(Instant::now() < end, "{path} was not started");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// Guards against GONE: a request that waited to be read until its caller had left was run, with its
// time budget counted from when it was read.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_departed_caller_is_not_started() {
    let (server, recorder) = bind();
    let stalling = send(server.address(), STALL_PATH);
    await_started(&recorder, STALL_PATH);
    for n in 0..20 {
        drop(send(server.address(), &format!("/departed/{n}")));
    }
    let waiting = send(server.address(), "/waiting");
    assert_eq!(read_status(&waiting), "HTTP/1.1 200");
    assert_eq!(read_status(&stalling), "HTTP/1.1 200");
    assert_eq!(recorder.started(), [STALL_PATH, "/waiting"]);
}

// Guards against GONE on connections that are kept open: the caller leaves while its next request
// waits to be read.
#[tokio::test(flavor = "multi_thread")]
async fn later_request_of_departed_caller_is_not_started() {
    let (server, recorder) = bind();
    let mut kept = send(server.address(), "/first");
    assert_eq!(read_status(&kept), "HTTP/1.1 200");
    let stalling = send(server.address(), STALL_PATH);
    await_started(&recorder, STALL_PATH);
    write!(kept, "GET /second HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    kept.shutdown(std::net::Shutdown::Both).unwrap();
    drop(kept);
    let waiting = send(server.address(), "/waiting");
    assert_eq!(read_status(&waiting), "HTTP/1.1 200");
    assert_eq!(read_status(&stalling), "HTTP/1.1 200");
    assert_eq!(recorder.started(), ["/first", STALL_PATH, "/waiting"]);
}
