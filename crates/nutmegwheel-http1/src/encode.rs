use bytes::{Bytes, BytesMut};
use http::{Method, Response, StatusCode, Version, header, request::Parts};
use nutmegwheel_types::plain_copy;
use xitca_http::{
    body::{Empty, Full},
    date::SystemTimeDateTimeHandler,
    h1::proto::{context::Context, encode::CONTINUE},
};

use crate::decode::{DATE, MAX_HEADER_FIELDS};

plain_copy! {
    /// What the form of a response depends on.
    pub struct Framing {
        /// Whether the request asks for the head of the response only.
        pub is_head: bool,
        /// Whether the caller speaks HTTP/1.0.
        pub is_http10: bool,
    }
}

impl Framing {
    /// The framing of the response to a request.
    #[must_use]
    pub fn of_request(head: &Parts) -> Self {
        Self {
            is_head: head.method == Method::HEAD,
            is_http10: head.version == Version::HTTP_10,
        }
    }
}

/// Encodes the responses of one connection.
pub struct Encoder {
    cx: Context<'static, SystemTimeDateTimeHandler, MAX_HEADER_FIELDS>,
}

impl Default for Encoder {
    fn default() -> Self {
        Self {
            cx: Context::new(&DATE),
        }
    }
}

impl Encoder {
    /// Writes the head of a response to `buf`, and returns the body to be sent behind it. The
    /// header fields on the connection and the length of the body are set here.
    pub fn encode(
        &mut self,
        res: Response<Bytes>,
        framing: Framing,
        is_last: bool,
        buf: &mut BytesMut,
    ) -> Bytes {
        let (mut head, body) = res.into_parts();
        head.headers.remove(header::CONNECTION);
        head.headers.remove(header::CONTENT_LENGTH);
        head.headers.remove(header::TRANSFER_ENCODING);
        head.headers.remove(header::UPGRADE);
        self.cx.reset();
        if framing.is_head {
            self.cx.set_head_method();
        }
        if framing.is_http10 {
            self.cx.set_http10();
        }
        if is_last {
            self.cx.set_close();
        }
        let is_without_body = matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        let encoded = if is_without_body {
            self.cx.encode_head(head, &Empty::<Bytes>::new(), buf)
        } else {
            self.cx.encode_head(head, &Full::new(body.clone()), buf)
        };
        // Fails for informational statuses, which no response to a caller has.
        debug_assert!(encoded.is_ok(), "{:?}", encoded.err());
        if is_without_body || framing.is_head {
            Bytes::new()
        } else {
            body
        }
    }

    /// The interim response that asks for the body of a request.
    #[must_use]
    pub fn interim() -> &'static [u8] {
        CONTINUE
    }
}
