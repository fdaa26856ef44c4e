//! Requests whose callers left before the listener read them.

mod common;

use std::io::Write as _;

use common::{Recorder, STALL_PATH, bind_with, read_status, send};

// Guards against GONE: a request that waited to be read until its caller had left was run, with its
// time budget counted from when it was read.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_departed_caller_is_not_started() {
    let (server, recorder) = bind_with(None, Recorder::default());
    let stalling = send(server.address(), STALL_PATH);
    recorder.await_started(STALL_PATH, 1);
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
    let (server, recorder) = bind_with(None, Recorder::default());
    let mut kept = send(server.address(), "/first");
    assert_eq!(read_status(&kept), "HTTP/1.1 200");
    let stalling = send(server.address(), STALL_PATH);
    recorder.await_started(STALL_PATH, 1);
    write!(kept, "GET /second HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    kept.shutdown(std::net::Shutdown::Both).unwrap();
    drop(kept);
    let waiting = send(server.address(), "/waiting");
    assert_eq!(read_status(&waiting), "HTTP/1.1 200");
    assert_eq!(read_status(&stalling), "HTTP/1.1 200");
    assert_eq!(recorder.started(), ["/first", STALL_PATH, "/waiting"]);
}
