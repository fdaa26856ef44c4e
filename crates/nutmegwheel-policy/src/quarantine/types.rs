use std::time::Duration;

use nutmegwheel_types::{Incarnation, ProcessName, plain};

/// Identifies equal requests that may crash a backend server: a hash of service, path, method,
/// workspace and body.
pub type Fingerprint = u128;

plain! {
    /// The thresholds, durations and bounds of a [`Quarantine`](super::Quarantine).
    pub struct Options {
        /// The number of crashes from which a fingerprint is quarantined.
        pub crashes_to_quarantine: usize,
        /// The time after which a crash no longer counts.
        pub suspicion_ttl: Duration,
        /// How long a fingerprint is quarantined after its last crash.
        pub quarantine_time: Duration,
        /// The maximum number of fingerprints that are stored.
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
    /// Identifies the crash of one backend server, so that reports by several nodes count once.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Crash {
        /// The node on the same VM as the backend server.
        pub node: ProcessName,
        /// The incarnation of the backend server that crashed.
        pub incarnation: Incarnation,
    }

    /// An update for other nodes about a crash at which a fingerprint was in flight.
    pub struct Suspicion {
        /// The fingerprint that was in flight, or that is cleared.
        pub fingerprint: Fingerprint,
        /// The crash at which the fingerprint was in flight.
        pub crash: Crash,
        /// The time since the crash. A duration is sent because the clocks of VMs differ.
        pub age: Duration,
        /// Whether the fingerprint has been cleared of this crash.
        pub is_cleared: bool,
    }

    /// How to treat a request with a given fingerprint.
    pub enum Verdict {
        /// The request may run: the fingerprint was cleared of every crash that has not expired.
        Clear,
        /// The fingerprint was in flight at a crash. The request may run on a node that runs no
        /// other suspect.
        Suspect,
        /// The request must be refused with `do-not-resend`.
        Quarantined {
            /// The time until the quarantine ends.
            remaining: Duration,
        },
    }
}
