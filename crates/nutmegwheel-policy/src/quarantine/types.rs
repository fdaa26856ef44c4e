use std::time::Duration;

use nutmegwheel_types::{Incarnation, ProcessName, plain};

/// What makes requests the same that crash backend servers: a hash of endpoint, workspace and
/// body.
pub type Fingerprint = u128;

plain! {
    /// How long suspicions last and how many are kept.
    pub struct Options {
        /// The deaths that a fingerprint was present at from which it is quarantined.
        pub crashes_to_quarantine: usize,
        /// The time after which a death no longer counts.
        pub suspicion_ttl: Duration,
        /// The time from the last death for which a fingerprint is quarantined.
        pub quarantine_time: Duration,
        /// The most fingerprints that are kept.
        pub max_fingerprints: usize,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            crashes_to_quarantine: 2,
            suspicion_ttl: Duration::from_mins(10),
            quarantine_time: Duration::from_mins(5),
            max_fingerprints: 4096,
        }
    }
}

plain! {
    /// The death of one backend server, named so that reports of it by several nodes count once.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Crash {
        /// The node beside the backend server.
        pub node: ProcessName,
        /// The life of the backend server that ended.
        pub incarnation: Incarnation,
    }

    /// What a node tells others about a death that a fingerprint was present at.
    pub struct Suspicion {
        /// The fingerprint.
        pub fingerprint: Fingerprint,
        /// The death.
        pub crash: Crash,
        /// The time since the death; durations travel, for the clocks of VMs differ.
        pub age: Duration,
        /// Whether the fingerprint was cleared of this death.
        pub is_cleared: bool,
    }

    /// What may become of a request with some fingerprint.
    pub enum Verdict {
        /// Nothing is known against it.
        Clear,
        /// It was present at a death; it may run where no other suspect runs.
        Suspect,
        /// It is refused with `do-not-resend`.
        Quarantined {
            /// The time until the quarantine ends.
            remaining: Duration,
        },
    }
}
