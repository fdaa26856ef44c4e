use std::time::{Duration, Instant};

use nutmegwheel_types::plain_copy;

plain_copy! {
    /// A heartbeat of the control quorum, issued by its leader about twice a second.
    pub struct ControlHeartbeat {
        /// The term of the leader.
        pub term: u64,
        /// The sequence number of the heartbeat within the term.
        pub sequence: u64,
    }

    /// A heartbeat as sent between processes, with its age instead of a wall-clock time, so that
    /// clocks need not be synchronized.
    pub struct AgedHeartbeat {
        /// The heartbeat that the leader issued.
        pub heartbeat: ControlHeartbeat,
        /// An upper bound on the time since it was issued, in milliseconds.
        pub age_ms: u32,
    }

    /// Whether a data centre accepts keyed work while it is partitioned from the control VMs.
    pub enum PartitionPolicy {
        /// It accepts keyed work, based on the newest state that it holds.
        Serve,
        /// It refuses keyed work once the newest heartbeat is older than this duration.
        RefuseAfter(Duration),
    }

    /// The newest heartbeat that a process has observed, and the earliest time at which it can have
    /// been issued.
    pub(crate) struct LatestHeartbeat {
        newest: Option<(ControlHeartbeat, Instant)>,
    }
}

impl LatestHeartbeat {
    pub(crate) const fn open() -> Self {
        Self { newest: None }
    }

    /// Stores the heartbeat if it is newer than the stored one, or if it is the same one with a
    /// tighter bound on its age.
    ///
    /// The age is counted from `sent`, the time of the request, so that it stays an upper bound
    /// however long the answer took.
    pub(crate) fn observe(&mut self, sent: Instant, observed: AgedHeartbeat) {
        let age = Duration::from_millis(u64::from(observed.age_ms));
        let Some(issued) = sent.checked_sub(age) else {
            return;
        };
        let candidate = (observed.heartbeat, issued);
        if self.newest.is_none_or(|newest| candidate > newest) {
            self.newest = Some(candidate);
        }
    }

    pub(crate) fn get(&self) -> Option<ControlHeartbeat> {
        self.newest.map(|(heartbeat, _)| heartbeat)
    }

    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.newest
            .map(|(_, issued)| now.saturating_duration_since(issued))
    }

    /// The heartbeat with its current age, for sending.
    pub(crate) fn aged(&self, now: Instant) -> Option<AgedHeartbeat> {
        let (heartbeat, issued) = self.newest?;
        let age = now.saturating_duration_since(issued).as_millis() + 1;
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Some(AgedHeartbeat { heartbeat, age_ms })
    }
}
