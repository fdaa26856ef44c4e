use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header, request::Parts};
use nutmegwheel_memory::{Account, Hold};
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

/// The size of a body, in bytes, up to which it may take the share of the memory account that is
/// kept back for small requests.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The fraction of the memory account that is kept back for small requests.
const SMALL_FRACTION: usize = 16;
/// The size from which on a body gets a buffer for its maximum, of which only what is stored takes
/// memory. A large buffer that grew would be copied, and the allocator keeps the old ones.
const COPIED_BODY_BYTES: usize = 1024 * 1024;
/// The part of its size by which the buffer of a body grows.
const GROWTH_FRACTION: usize = 4;
/// The minimum size of the buffer of a body whose length is not announced, in bytes.
const MIN_BODY_BUFFER_BYTES: usize = 1024;

/// The clock of the `Date` field.
pub(crate) static DATE: SystemTimeDateTimeHandler = SystemTimeDateTimeHandler;

/// A completely received request.
#[derive(Debug)]
pub struct Request {
    /// The method, path and header fields.
    pub head: Parts,
    /// The complete body.
    pub body: Bytes,
    /// The memory that the body holds.
    pub hold: Hold,
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
    account: Account,
    partial: Option<Partial>,
    lacks_memory: bool,
}

/// A request whose head is complete.
struct Partial {
    head: Parts,
    coding: TransferCoding,
    body: Vec<u8>,
    hold: Hold,
    is_last: bool,
    expects_interim: bool,
}

impl Decoder {
    /// Opens a decoder for requests with bodies of at most `body_limit` bytes, which take their
    /// memory from `account`.
    #[must_use]
    pub fn open(body_limit: usize, account: Account) -> Self {
        Self {
            cx: Context::new(&DATE),
            body_limit,
            account,
            partial: None,
            lacks_memory: false,
        }
    }

    /// Changes the maximum size of the bodies of requests whose head has not been decoded.
    pub fn set_body_limit(&mut self, bytes: usize) {
        self.body_limit = bytes;
    }

    /// Takes the next complete request from `buf`, or `None` if bytes are missing or
    /// [`Self::lacks_memory`].
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
        let progress = partial.decode_body(buf, self.body_limit)?;
        self.lacks_memory = progress == Progress::LacksMemory;
        if progress != Progress::Complete {
            return Ok(None);
        }
        Ok(self.partial.take().map(|partial| Request {
            head: partial.head,
            body: partial.body.into(),
            hold: partial.hold,
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

    /// Whether received bytes of the body wait for room in the memory account.
    #[must_use]
    pub fn lacks_memory(&self) -> bool {
        self.lacks_memory
    }

    /// The memory that the incomplete body holds, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let partial = self.partial.as_ref();
        partial.map_or(0, |partial| partial.hold.bytes())
    }

    /// Drops the incomplete request. The decoder must not be used afterwards.
    pub fn discard(&mut self) {
        self.partial = None;
        self.lacks_memory = false;
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
            body: Vec::new(),
            hold: self.account.hold(),
            is_last: self.cx.is_connection_closed(),
            expects_interim: self.cx.is_expect_header(),
        }))
    }
}

plain_copy! {
    /// How far the body of a request was taken.
    enum Progress {
        Complete,
        LacksBytes,
        LacksMemory,
    }
}

impl Partial {
    /// Takes as much of the body as there is and as there is memory for.
    fn decode_body(&mut self, buf: &mut BytesMut, limit: usize) -> Result<Progress, Malformed> {
        loop {
            if !self.make_room(buf.len(), limit) {
                return Ok(Progress::LacksMemory);
            }
            match self.coding.decode(buf) {
                ChunkResult::Ok(part) => {
                    if self.body.len() + part.len() > limit {
                        return Err(Malformed::BodyTooLarge(limit));
                    }
                    self.body.extend_from_slice(&part);
                }
                ChunkResult::Trailers(_) => {}
                ChunkResult::InsufficientData => return Ok(Progress::LacksBytes),
                ChunkResult::OnEof | ChunkResult::AlreadyEof => return Ok(Progress::Complete),
                ChunkResult::Err(_) | ChunkResult::Corrupted => return Err(Malformed::Body),
            }
        }
    }

    /// Makes room for the part of the body that `received` bytes can hold. Returns `false` if the
    /// memory account has none.
    fn make_room(&mut self, received: usize, limit: usize) -> bool {
        let (needed, max) = match self.coding {
            TransferCoding::Eof => return true,
            TransferCoding::Length(rest) => {
                let rest = usize::try_from(rest).unwrap_or(usize::MAX);
                (rest.min(received), self.body.len().saturating_add(rest))
            }
            // A body over the limit is refused before its bytes are stored.
            _ => (received.min(limit - self.body.len()), limit),
        };
        let needed = self.body.len() + needed;
        let room = self.hold.bytes();
        if needed <= room {
            return true;
        }
        let grown = room + room / GROWTH_FRACTION;
        let grown = grown.max(MIN_BODY_BUFFER_BYTES).clamp(needed, max);
        self.grow(grown, max) || self.grow(needed, max)
    }

    /// Takes `room` bytes from the account for a body of at most `max` bytes.
    fn grow(&mut self, room: usize, max: usize) -> bool {
        let spare = match room {
            ..=SMALL_BODY_BYTES => 0,
            _ => self.hold.account().limit() / SMALL_FRACTION,
        };
        let added = room.saturating_sub(self.hold.bytes());
        if !self.hold.try_grow_sparing(added, spare) {
            return false;
        }
        let capacity = if room <= COPIED_BODY_BYTES { room } else { max };
        if capacity > self.body.capacity() {
            self.body.reserve_exact(capacity - self.body.len());
        }
        true
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
