use std::time::Duration;

use nutmegwheel_types::plain;

use super::Error;
use crate::{raft::Limits, types::ReplicaName};

/// A source of random numbers, used for incarnations and the jitter of election timeouts.
pub type Random = Box<dyn FnMut() -> u64 + Send>;

/// The largest accepted value of `max_drift_percent`.
const MAX_DRIFT_PERCENT: u32 = 50;

plain! {
    /// The options of a replica.
    pub struct Options {
        /// The replica's name, unique in the fleet and unchanged when its disk is replaced.
        pub name: ReplicaName,
        /// The replicas that receive join requests, in addition to the members in the log.
        pub peers: Vec<ReplicaName>,
        /// The members that bootstrap the cluster, including this one. If the list is empty, which
        /// is the safe default, this replica never bootstraps. The list may stay set afterwards: a
        /// cluster is bootstrapped only if every listed member reports that nothing was ever
        /// written to its store.
        pub bootstrap_members: Vec<ReplicaName>,
        /// Whether the leader adds a known member that lost its disk again without an operator.
        pub auto_repair: bool,
        /// The number of voters that the leader maintains, or `None` to leave the membership to
        /// operators; see [`Setup::target_voters`](crate::raft::Setup::target_voters).
        pub target_voters: Option<usize>,
        /// The time without contact after which a voter is replaced by a learner that has caught
        /// up. Used only if `target_voters` is set.
        pub replace_voter_after: Duration,
        /// Whether the leader answers reads under its lease. Without it, every read costs a
        /// heartbeat round, but no read depends on a clock: the monotonic clock of a suspended VM
        /// stops, so that a lease would seem valid for too long.
        pub lease_reads: bool,
        /// The interval between a leader's heartbeats.
        pub heartbeat: Duration,
        /// The minimum time without a message from a leader before a replica starts an election. A
        /// random time of up to the same length is added.
        pub election_timeout: Duration,
        /// The maximum difference in rate between the clocks of two VMs, in percent. Leases are
        /// shortened accordingly.
        pub max_drift_percent: u32,
        /// The delay before a failed write is retried.
        pub storage_retry: Duration,
        /// The limits on messages, log and memory.
        pub limits: Limits,
    }
}

impl Options {
    /// Returns the default options for a replica with this name, which does not bootstrap a
    /// cluster.
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
