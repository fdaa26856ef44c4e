//! The control role: durable configuration and the operators' interface.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
