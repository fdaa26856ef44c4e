//! Admission, routing, retries, deadlines, quarantine and shedding, without I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
