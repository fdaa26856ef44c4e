//! Framed streams between the processes of nutmegwheel.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
