use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header, request::Parts};
use nutmegwheel_types::plain_copy;
use xitca_http::{
    date::SystemTimeDateTimeHandler,
    h1::proto::{
        context::Context,
        error::ProtoError,
        trasnder_coding::{ChunkResult, TransferCoding},
    },
};

/// The maximum size of a request head, in bytes; see docs/INTERFACES.md, "Limits".
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of header fields of a request.
pub const MAX_HEADER_FIELDS: usize = 64;

/// The clock of the `Date` field.
pub(crate) static DATE: SystemTimeDateTimeHandler = SystemTimeDateTimeHandler;

/// A completely received request.
#[derive(Debug)]
pub struct Request {
    /// The method, path and header fields.
    pub head: Parts,
    /// The complete body.
    pub body: Bytes,
    /// Whether the caller sends no further request on this connection.
    pub is_last: bool,
}

plain_copy! {
    /// The part of a request that is being received.
    pub enum Stage {
        /// The head, which may not have begun.
        Head,
        /// The body.
        Body,
    }
}

/// Why the bytes of a connection are no request. What follows them cannot be read either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The head exceeds [`MAX_HEAD_BYTES`] or [`MAX_HEADER_FIELDS`].
    #[error("the head is larger than {MAX_HEAD_BYTES} bytes or {MAX_HEADER_FIELDS} fields")]
    HeadTooLarge,
    /// The head does not follow the syntax of HTTP/1.
    #[error("the head is no head of an HTTP/1.1 request")]
    Head,
    /// The end of the body cannot be told with certainty.
    #[error("the length of the body is ambiguous")]
    Length,
    /// The body exceeds the limit.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The body does not follow the syntax of its transfer coding.
    #[error("the body is no chunked body")]
    Body,
}

/// Decodes the requests of one connection.
pub struct Decoder {
    cx: Context<'static, SystemTimeDateTimeHandler, MAX_HEADER_FIELDS>,
    body_limit: usize,
    partial: Option<Partial>,
}

/// A request whose head is complete.
struct Partial {
    head: Parts,
    coding: TransferCoding,
    body: BytesMut,
    is_last: bool,
    expects_interim: bool,
}

impl Decoder {
    /// Opens a decoder for requests with bodies of at most `body_limit` bytes.
    #[must_use]
    pub fn open(body_limit: usize) -> Self {
        Self {
            cx: Context::new(&DATE),
            body_limit,
            partial: None,
        }
    }

    /// Takes the next complete request from `buf`, or `None` if bytes are missing.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no request that may be passed on. The decoder must not be used
    /// afterwards.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Request>, Malformed> {
        if self.partial.is_none() {
            self.partial = self.decode_head(buf)?;
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        if !partial.decode_body(buf, self.body_limit)? {
            return Ok(None);
        }
        Ok(self.partial.take().map(|partial| Request {
            head: partial.head,
            body: partial.body.freeze(),
            is_last: partial.is_last,
        }))
    }

    /// The part of a request that is being received.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.partial {
            Some(_) => Stage::Body,
            None => Stage::Head,
        }
    }

    /// Whether the caller waits for an interim response before it sends the body. Returns `true`
    /// once for each request.
    pub fn take_expects_interim(&mut self) -> bool {
        let partial = self.partial.as_mut();
        partial.is_some_and(|partial| std::mem::take(&mut partial.expects_interim))
    }

    fn decode_head(&mut self, buf: &mut BytesMut) -> Result<Option<Partial>, Malformed> {
        let decoded = self.cx.decode_head::<MAX_HEAD_BYTES>(buf);
        let Some((req, mut coding)) = decoded.map_err(|e| malformed(&e))? else {
            return Ok(None);
        };
        let (head, _) = req.into_parts();
        check_length(&head.headers)?;
        match coding {
            // An upgrade is never agreed to, so that the request has no body.
            TransferCoding::Upgrade => coding = TransferCoding::Eof,
            TransferCoding::Length(n) if n > self.body_limit as u64 => {
                return Err(Malformed::BodyTooLarge(self.body_limit));
            }
            _ => {}
        }
        Ok(Some(Partial {
            head,
            coding,
            body: BytesMut::new(),
            is_last: self.cx.is_connection_closed(),
            expects_interim: self.cx.is_expect_header(),
        }))
    }
}

impl Partial {
    /// Takes as much of the body as there is, and returns whether it is complete.
    fn decode_body(&mut self, buf: &mut BytesMut, limit: usize) -> Result<bool, Malformed> {
        loop {
            match self.coding.decode(buf) {
                ChunkResult::Ok(part) => {
                    if self.body.len() + part.len() > limit {
                        return Err(Malformed::BodyTooLarge(limit));
                    }
                    self.body.extend_from_slice(&part);
                }
                ChunkResult::Trailers(_) => {}
                ChunkResult::InsufficientData => return Ok(false),
                ChunkResult::OnEof | ChunkResult::AlreadyEof => return Ok(true),
                ChunkResult::Err(_) | ChunkResult::Corrupted => return Err(Malformed::Body),
            }
        }
    }
}

fn malformed(e: &ProtoError) -> Malformed {
    match e {
        ProtoError::HeaderTooLarge => Malformed::HeadTooLarge,
        _ => Malformed::Head,
    }
}

/// Checks that the length of the body is stated in one way only. Another reader of the same bytes
/// could otherwise find a different end, and a request hidden behind it.
fn check_length(headers: &HeaderMap) -> Result<(), Malformed> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_certain = match (lengths.next(), codings.next()) {
        (None, None) => true,
        (Some(n), None) => n.as_bytes().iter().all(u8::is_ascii_digit),
        (None, Some(coding)) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if is_certain && lengths.next().is_none() && codings.next().is_none() {
        Ok(())
    } else {
        Err(Malformed::Length)
    }
}
