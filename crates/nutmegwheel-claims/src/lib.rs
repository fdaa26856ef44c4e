//! Claims of non-idempotent requests, the record of started attempts and the fence, without I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
