//! The node role: doors, proxying and the wiring of decisions.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
