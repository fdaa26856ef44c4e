//! The server side of HTTP/1.1 on one connection, without I/O: requests are decoded from bytes,
//! several of them may be in progress at a time, and their responses leave in the order of the
//! requests; see docs/INTERFACES.md, "Pipelined requests".
//!
//! The syntax comes from `xitca-http`. Its dispatcher reads the next request only after it has
//! answered the previous one, so order and bounds are decided by [`Pipeline`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod decode;
mod encode;
mod pipeline;

pub use decode::{
    Decoder, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, Malformed, Request, SMALL_BODY_BYTES, Stage,
};
pub use encode::{Encoder, Framing};
pub use pipeline::{Bounds, Next, Pipeline, Sequence};
