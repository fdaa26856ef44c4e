//! A listener whose connections are at their limit.

mod common;

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
};

use common::{LIMIT, Recorder, WORK_PATH, bind_with, read_status, send};

const MAX_CONNECTIONS: usize = 8;

fn open_idle(address: SocketAddr) -> TcpStream {
    let stream = send(address, "/idle");
    assert_eq!(read_status(&stream), "HTTP/1.1 200");
    stream
}

fn is_closed(mut stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).is_ok()
}

// Guards against GONE and RECOVER: connections without a request took all descriptors, and new
// callers waited to be accepted until they had left.
#[tokio::test(flavor = "multi_thread")]
async fn new_caller_replaces_longest_idle_connection() {
    let (server, _) = bind_with(Some(MAX_CONNECTIONS), Recorder::default());
    let idle: Vec<TcpStream> = (0..MAX_CONNECTIONS)
        .map(|_| open_idle(server.address()))
        .collect();
    let new = send(server.address(), "/new");
    assert_eq!(read_status(&new), "HTTP/1.1 200");
    assert!(is_closed(&idle[0]));
    let mut newest = &idle[MAX_CONNECTIONS - 1];
    write!(newest, "GET /again HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert_eq!(read_status(newest), "HTTP/1.1 200");
}

// Guards against requests that are broken off to make room for new callers.
#[tokio::test(flavor = "multi_thread")]
async fn busy_connections_are_kept_and_new_callers_are_turned_away_at_once() {
    let (server, recorder) = bind_with(Some(MAX_CONNECTIONS), Recorder::default());
    let busy: Vec<TcpStream> = (0..MAX_CONNECTIONS)
        .map(|_| send(server.address(), WORK_PATH))
        .collect();
    recorder.await_started(WORK_PATH, MAX_CONNECTIONS);
    let new = TcpStream::connect(server.address()).unwrap();
    assert!(is_closed(&new));
    recorder.finish_work();
    for stream in &busy {
        assert_eq!(read_status(stream), "HTTP/1.1 200");
    }
}
