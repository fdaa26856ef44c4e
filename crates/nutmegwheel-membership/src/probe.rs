use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

use crate::LinkAddress;
use crate::random::Random;

plain! {
    /// The failure detector: who is probed, and which answers are open.
    pub(crate) struct Prober {
        round: Vec<LinkAddress>,
        next_sequence: u64,
        last: Option<Instant>,
        open: Vec<Probe>,
        relays: Vec<Relay>,
    }
}

plain_copy! {
    struct Probe {
        sequence: u64,
        target: LinkAddress,
        sent: Instant,
        is_indirect: bool,
    }

    /// A probe on behalf of a peer.
    struct Relay {
        sequence: u64,
        sent: Instant,
        answer: Answer,
    }

    /// Where the answer to a relayed probe goes.
    pub(crate) struct Answer {
        pub(crate) to: LinkAddress,
        pub(crate) sequence: u64,
    }

    /// What the failure detector asks for.
    pub(crate) enum Step {
        /// Ping the target.
        Ping { sequence: u64, target: LinkAddress },
        /// Let others ping the target.
        Indirect { sequence: u64, target: LinkAddress },
        /// The target answered neither way.
        Suspect(LinkAddress),
    }
}

/// How often a member of the data centre is probed.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long a direct answer is waited for.
const DIRECT: Duration = Duration::from_millis(300);
/// How long any answer is waited for.
const WHOLE: Duration = Duration::from_millis(900);
/// How long a relayed probe is remembered.
const RELAY: Duration = Duration::from_secs(2);
/// The relayed probes remembered at a time.
const RELAYS: usize = 64;

/// Lifecycle.
impl Prober {
    pub(crate) fn open(first_sequence: u64) -> Self {
        Self {
            round: Vec::new(),
            next_sequence: first_sequence,
            last: None,
            open: Vec::new(),
            relays: Vec::new(),
        }
    }

    /// Forgets open probes, after this process itself stood still.
    pub(crate) fn forget(&mut self) {
        self.open.clear();
    }

    /// Says whether a new probe is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.last
            .is_none_or(|last| now.saturating_duration_since(last) >= INTERVAL)
    }

    /// Starts a probe of the next member in a shuffled round over all.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        members: &[LinkAddress],
        random: &mut Random,
    ) -> Option<Step> {
        self.last = Some(now);
        if self.round.is_empty() {
            let mut all = members.to_vec();
            let count = all.len();
            self.round = random.draw(&mut all, count);
        }
        while let Some(target) = self.round.pop() {
            if members.contains(&target) {
                return Some(self.ping(now, target));
            }
        }
        None
    }

    fn ping(&mut self, now: Instant, target: LinkAddress) -> Step {
        let sequence = self.next();
        self.open.push(Probe {
            sequence,
            target,
            sent: now,
            is_indirect: false,
        });
        Step::Ping { sequence, target }
    }

    /// Returns what open probes lead to by now.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        self.relays
            .retain(|relay| now.saturating_duration_since(relay.sent) < RELAY);
        self.open.retain_mut(|probe| {
            let waited = now.saturating_duration_since(probe.sent);
            let Probe {
                sequence, target, ..
            } = *probe;
            if waited >= WHOLE {
                steps.push(Step::Suspect(target));
                return false;
            }
            if waited >= DIRECT && !probe.is_indirect {
                probe.is_indirect = true;
                steps.push(Step::Indirect { sequence, target });
            }
            true
        });
        steps
    }

    /// Takes an answer in, and returns where it must be passed on.
    pub(crate) fn answered(&mut self, sequence: u64) -> Option<Answer> {
        self.open.retain(|probe| probe.sequence != sequence);
        let place = self.relays.iter().position(|r| r.sequence == sequence)?;
        Some(self.relays.swap_remove(place).answer)
    }

    /// Starts a probe on behalf of a peer.
    pub(crate) fn relay(&mut self, now: Instant, answer: Answer) -> u64 {
        if self.relays.len() >= RELAYS {
            self.relays.remove(0);
        }
        let sequence = self.next();
        self.relays.push(Relay {
            sequence,
            sent: now,
            answer,
        });
        sequence
    }

    fn next(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.wrapping_add(1);
        sequence
    }
}
