//! Small fakes for the tests.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod relay;
