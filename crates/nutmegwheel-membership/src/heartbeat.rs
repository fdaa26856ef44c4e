use std::time::{Duration, Instant};

use nutmegwheel_types::plain_copy;

plain_copy! {
    /// A heartbeat of the control quorum, issued by its leader about twice a second.
    pub struct ControlHeartbeat {
        /// The term of the leader.
        pub term: u64,
        /// The sequence number in the term.
        pub sequence: u64,
    }

    /// A heartbeat as it is sent: with its age instead of a wall-clock time, so that clocks need
    /// not agree.
    pub struct AgedHeartbeat {
        /// The heartbeat.
        pub heartbeat: ControlHeartbeat,
        /// An upper bound on the time since it was issued, in milliseconds.
        pub age_ms: u32,
    }

    /// What a data centre does when it is partitioned from the control VMs.
    pub enum PartitionPolicy {
        /// It keeps serving with the newest state that it holds.
        Serve,
        /// It refuses keyed work once the newest heartbeat is older than this.
        RefuseAfter(Duration),
    }

    /// The newest heartbeat that a process has observed, with the time at which it was issued.
    pub(crate) struct LatestHeartbeat {
        newest: Option<(ControlHeartbeat, Instant)>,
    }
}

impl LatestHeartbeat {
    pub(crate) const fn open() -> Self {
        Self { newest: None }
    }

    /// Keeps a newer heartbeat, or a tighter bound on the age of the same one.
    ///
    /// The age runs from `sent`, the time of the request, so that it stays an upper bound however
    /// long the answer took.
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
