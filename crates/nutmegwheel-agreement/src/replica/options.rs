use std::time::Duration;

use nutmegwheel_types::plain;

use super::Error;
use crate::{raft::Limits, types::ReplicaName};

/// A source of random numbers: incarnations and the jitter of election timeouts.
pub type Random = Box<dyn FnMut() -> u64 + Send>;

/// The largest clock drift that can be allowed for, in percent.
const MAX_DRIFT_PERCENT: u32 = 50;

plain! {
    /// The settings of a replica.
    pub struct Options {
        /// The replica's name, unique in the fleet and the same over all its disks.
        pub name: ReplicaName,
        /// The other replicas that it asks to be let in when it knows no members.
        pub peers: Vec<ReplicaName>,
        /// The members of a first founding, this one among them; empty, the safe default, never
        /// founds a cluster. It may stay set: a cluster is founded only while every one of them
        /// says that its store never held anything.
        pub bootstrap_members: Vec<ReplicaName>,
        /// Whether a known member that lost its disk is let in without an operator.
        pub auto_repair: bool,
        /// The number of voters that the leader keeps up by itself, or `None` where operators
        /// decide on the membership; see [`Setup::voters`](crate::raft::Setup::voters).
        pub target_voters: Option<usize>,
        /// The silence after which such a leader replaces a voter by a learner that has caught up.
        pub replace_voter_after: Duration,
        /// Whether the leader answers reads by its lease. Without it every read costs a round, and
        /// depends on no clock: a suspended VM's steady clock does not count the time.
        pub lease_reads: bool,
        /// How often a leader is heard of while nothing happens.
        pub heartbeat: Duration,
        /// How long nothing is heard of a leader before another may be elected; up to the same
        /// again is added at random.
        pub election_timeout: Duration,
        /// By how much the clocks of two VMs may differ in rate, in percent; leases end earlier by
        /// so much.
        pub max_drift_percent: u32,
        /// How long a failed write waits before it is tried again.
        pub storage_retry: Duration,
        /// The bounds of messages, log and memory.
        pub limits: Limits,
    }
}

impl Options {
    /// Returns the default settings for a replica of this name, which founds nothing.
    #[must_use]
    pub fn new(name: impl Into<ReplicaName>) -> Self {
        Self {
            name: name.into(),
            peers: Vec::new(),
            bootstrap_members: Vec::new(),
            auto_repair: true,
            target_voters: None,
            replace_voter_after: Duration::from_secs(2),
            lease_reads: true,
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_millis(800),
            max_drift_percent: 5,
            storage_retry: Duration::from_millis(200),
            limits: Limits::default(),
        }
    }

    pub(super) fn check(&self) -> Result<(), Error> {
        let named =
            self.bootstrap_members.is_empty() || self.bootstrap_members.contains(&self.name);
        let limits = &self.limits;
        let checks = [
            ("name", !self.name.is_empty()),
            ("founding", named),
            ("heartbeat", !self.heartbeat.is_zero()),
            (
                "election_timeout",
                self.election_timeout >= self.heartbeat * 2,
            ),
            (
                "max_drift_percent",
                self.max_drift_percent <= MAX_DRIFT_PERCENT,
            ),
            ("limits.max_inflight", limits.max_inflight > 0),
            ("limits.max_batch_bytes", limits.max_batch_bytes > 0),
            ("limits.max_chunk_bytes", limits.max_chunk_bytes > 0),
            ("limits.max_uncommitted", limits.max_uncommitted > 0),
            (
                "limits.max_log_bytes",
                limits.max_log_bytes > limits.snapshot_log_bytes,
            ),
        ];
        match checks.into_iter().find(|(_, good)| !good) {
            None => Ok(()),
            Some((field, _)) => Err(Error::BadOption {
                replica: self.name.to_string(),
                field,
            }),
        }
    }

    pub(super) fn sorted_bootstrap_members(&self) -> Vec<ReplicaName> {
        let mut names = self.bootstrap_members.clone();
        names.sort_unstable();
        names.dedup();
        names
    }
}
