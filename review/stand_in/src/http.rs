//! HTTP/1.1 with blocking sockets: one message at a time.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read from it but not used.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::accepted(stream))
    }

    pub fn accepted(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a message; `None` at the end of the connection before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buf.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines.filter(|l| !l.is_empty()) {
            if let Some((n, v)) = line.split_once(':') {
                message
                    .fields
                    .push((n.trim().to_lowercase(), v.trim().to_owned()));
            }
        }
        Ok(Some(message))
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let is_chunked = message
            .field("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.read_chunks()?;
        } else if let Some(n) = message.field("content-length").and_then(|v| v.parse().ok()) {
            message.body = self.take(n)?;
        } else if message.first.starts_with("HTTP/") && ![204, 304].contains(&message.status()) {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buf);
        }
        Ok(())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let at = loop {
                if let Some(at) = find(&self.buf, b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.buf.drain(..at + 2).collect();
            let text = String::from_utf8_lossy(&line[..at]).into_owned();
            let n = usize::from_str_radix(text.trim(), 16).map_err(io::Error::other)?;
            let chunk = self.take(n + 2)?;
            if n == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..n]);
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Encodes a request.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (n, v) in fields {
        out += &format!("{n}: {v}\r\n");
    }
    if method != "GET" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Encodes a response.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n");
    for (n, v) in fields {
        out += &format!("{n}: {v}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::connect(to, timeout)?;
    connection.send(&request(method, path, fields, body))?;
    let answer = connection.read()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
