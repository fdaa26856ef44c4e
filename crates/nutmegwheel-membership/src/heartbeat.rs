use std::time::{Duration, Instant};

use nutmegwheel_types::plain_copy;

plain_copy! {
    /// A sign of life of the control quorum, issued by its leader about twice a second.
    pub struct ControlHeartbeat {
        /// The term of the leader.
        pub term: u64,
        /// The number of the stamp in the term.
        pub sequence: u64,
    }

    /// A stamp on its way, with its age instead of a wall-clock time.
    pub struct AgedHeartbeat {
        /// The stamp.
        pub heartbeat: ControlHeartbeat,
        /// The time since it was issued, an upper bound, in milliseconds.
        pub age_ms: u32,
    }

    /// What a data centre does that is cut off from the control VMs.
    pub enum PartitionPolicy {
        /// It goes on with the newest that it holds.
        Serve,
        /// It refuses keyed work once the newest stamp is this old.
        RefuseAfter(Duration),
    }

    /// The newest stamp that a process knows of.
    pub(crate) struct LatestHeartbeat {
        newest: Option<(ControlHeartbeat, Instant)>,
    }
}

impl LatestHeartbeat {
    pub(crate) const fn open() -> Self {
        Self { newest: None }
    }

    /// Takes over a newer stamp, or a tighter bound on the age of the same one.
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

    /// The stamp as it is passed on.
    pub(crate) fn aged(&self, now: Instant) -> Option<AgedHeartbeat> {
        let (heartbeat, issued) = self.newest?;
        let age = now.saturating_duration_since(issued).as_millis() + 1;
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Some(AgedHeartbeat { heartbeat, age_ms })
    }
}
