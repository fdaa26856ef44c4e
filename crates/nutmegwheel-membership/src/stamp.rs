use std::time::{Duration, Instant};

use nutmegwheel_types::plain_copy;

plain_copy! {
    /// A sign of life of the control quorum, issued by its leader about twice a second.
    pub struct Stamp {
        /// The term of the leader.
        pub term: u64,
        /// The number of the stamp in the term.
        pub sequence: u64,
    }

    /// A stamp on its way, with its age instead of a wall-clock time.
    pub struct StampAge {
        /// The stamp.
        pub stamp: Stamp,
        /// The time since it was issued, an upper bound, in milliseconds.
        pub age_ms: u32,
    }

    /// What a data centre does that is cut off from the control VMs.
    pub enum CutOff {
        /// It goes on with the newest that it holds.
        Serve,
        /// It refuses keyed work once the newest stamp is this old.
        RefuseAfter(Duration),
    }

    /// The newest stamp that a process knows of.
    pub(crate) struct StampView {
        newest: Option<(Stamp, Instant)>,
    }
}

impl StampView {
    pub(crate) const fn open() -> Self {
        Self { newest: None }
    }

    /// Takes over a newer stamp, or a tighter bound on the age of the same one.
    pub(crate) fn learn(&mut self, sent: Instant, learnt: StampAge) {
        let age = Duration::from_millis(u64::from(learnt.age_ms));
        let Some(issued) = sent.checked_sub(age) else {
            return;
        };
        let candidate = (learnt.stamp, issued);
        if self.newest.is_none_or(|newest| candidate > newest) {
            self.newest = Some(candidate);
        }
    }

    pub(crate) fn stamp(&self) -> Option<Stamp> {
        self.newest.map(|(stamp, _)| stamp)
    }

    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.newest
            .map(|(_, issued)| now.saturating_duration_since(issued))
    }

    /// The stamp as it is passed on.
    pub(crate) fn aged(&self, now: Instant) -> Option<StampAge> {
        let (stamp, issued) = self.newest?;
        let age = now.saturating_duration_since(issued).as_millis() + 1;
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        Some(StampAge { stamp, age_ms })
    }
}
