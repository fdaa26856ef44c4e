//! A client of the platform.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::{
    fleet::{HOST, KEY},
    http::{self, Message},
    record::Record,
};

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// Returns the id of a new attempt. No two processes return the same.
pub fn new_id() -> String {
    let n = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{n:08x}", std::process::id())
}

/// Writes a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Nutmegwheel-Request-Id: {id}\r\n\
         X-Nutmegwheel-Request-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    );
    if !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and returns the response.
pub fn send(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body: &[u8],
) -> io::Result<Message> {
    record.add(format!("client sends {id} ({method} {path}) to {to}"));
    let req = request(method, path, id, deadline_ms, body);
    let time = Duration::from_millis(deadline_ms.into()) + Duration::from_millis(500);
    let res = http::call(to, &req, time);
    match &res {
        Ok(res) => {
            let seal = res.field("x-nutmegwheel-server-seal").unwrap_or("none");
            let text: String = String::from_utf8_lossy(&res.body)
                .chars()
                .take(100)
                .collect();
            record.add(format!(
                "client gets {} for {id}, seal {seal}: {text}",
                res.status()
            ));
        }
        Err(e) => record.add(format!("client gets no answer for {id}: {e}")),
    }
    res
}
