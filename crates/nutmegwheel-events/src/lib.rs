//! Numbered log events, the hybrid logical clock and the merged time line.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
