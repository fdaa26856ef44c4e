//! Messages of HTTP/1.1, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response that was received completely.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads the next message, or returns `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        let mut message = Message {
            line,
            fields: fields.collect(),
            body: Vec::new(),
        };
        let length = message.field("content-length").and_then(|n| n.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buf.len() < head_len + length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf[head_len..head_len + length].to_vec();
        self.buf.drain(..head_len + length);
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(to: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.write_all(request)?;
    let response = Reader::new(stream).read()?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Writes a request with a JSON body.
pub fn json_request(method: &str, path: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: system\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
