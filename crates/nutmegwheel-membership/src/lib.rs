//! Gossip of members, announcements, versions and withdrawn keys, without I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
