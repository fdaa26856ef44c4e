use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

/// The number of bytes by which the `content-length` of a truncated body exceeds what is sent.
const MISSING_BYTES: u64 = 1000;

/// A response body, either complete or truncated.
pub(crate) struct Body {
    bytes: Option<Bytes>,
    missing: u64,
    is_sent: bool,
}

impl Body {
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            missing: 0,
            is_sent: false,
        }
    }

    /// Creates a body that sends `bytes` and then closes the connection, [`MISSING_BYTES`] short of
    /// its `content-length`.
    pub(crate) fn truncated(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            missing: MISSING_BYTES,
            is_sent: false,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(bytes) = self.bytes.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.missing > 0 {
            if !std::mem::replace(&mut self.is_sent, true) {
                // Yielding once lets hyper flush the bytes before the connection is closed.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.bytes.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(u64::try_from(held).unwrap_or(u64::MAX) + self.missing)
    }
}
