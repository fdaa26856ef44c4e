//! Backend servers whose answers a test writes byte by byte.

use std::{collections::HashMap, sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// A request at a scripted backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The name of the backend server.
    pub server: String,
    /// The number of the connection at this backend server.
    pub connection: usize,
    /// The path and query of the request.
    pub path: String,
    /// The header fields of the request, with names in lower case.
    pub fields: HashMap<String, String>,
}

/// One action of a backend server.
#[derive(Clone, Debug)]
pub enum Step {
    /// Begins to work on the request.
    Run,
    /// Sends bytes on the connection of the request.
    Send(Vec<u8>),
    /// Does nothing for a time.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// What a backend server does with each request.
pub type Script = Arc<dyn Fn(&Arrival) -> Vec<Step> + Send + Sync>;

impl Arrival {
    /// The value of a header field, or an empty text.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Encodes an answer with a length.
#[must_use]
pub fn answer(status: u16, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut lines = vec![format!("HTTP/1.1 {status} X")];
    let fields = fields.iter();
    lines.extend(fields.map(|(name, value)| format!("{name}: {value}")));
    lines.push(format!("content-length: {}", body.len()));
    lines.extend([String::new(), body.to_owned()]);
    lines.join("\r\n").into_bytes()
}

/// Answers the requests of a connection, each by the script that is current when it arrives.
/// `record_run` is called for each request that runs.
pub async fn serve(
    mut stream: TcpStream,
    server: &str,
    connection: usize,
    script: impl Fn() -> Script,
    record_run: impl Fn(&Arrival),
) {
    let mut buf = Vec::new();
    while let Some((path, fields)) = read_request(&mut stream, &mut buf).await {
        let arrival = Arrival {
            server: server.to_owned(),
            connection,
            path,
            fields,
        };
        for step in script()(&arrival) {
            match step {
                Step::Run => record_run(&arrival),
                Step::Wait(time) => tokio::time::sleep(time).await,
                Step::Close => return,
                Step::Reset => {
                    // A failure leaves a close in place of the reset.
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Step::Send(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Reads a request with its body, which has a length; `None` at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> Option<(String, HashMap<String, String>)> {
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|end| end == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buf).await?;
    };
    let head: Vec<u8> = buf.drain(..head_end).collect();
    let head = String::from_utf8_lossy(&head);
    let mut lines = head.lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let fields: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let length = fields.get("content-length").and_then(|v| v.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buf.len() < length {
        read_more(stream, buf).await?;
    }
    buf.drain(..length);
    Some((path, fields))
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    matches!(stream.read_buf(buf).await, Ok(1..)).then_some(())
}
