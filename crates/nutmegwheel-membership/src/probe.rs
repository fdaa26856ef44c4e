use std::time::{Duration, Instant};

use nutmegwheel_types::{plain, plain_copy};

use crate::LinkAddress;
use crate::random::Random;

plain! {
    /// The SWIM failure detector: probes members of the data centre in shuffled rounds, first
    /// directly, then through other members.
    pub(crate) struct Prober {
        round: Vec<LinkAddress>,
        next_sequence: u64,
        last_started: Option<Instant>,
        pending: Vec<Probe>,
        relays: Vec<Relay>,
    }
}

plain_copy! {
    struct Probe {
        sequence: u64,
        target: LinkAddress,
        sent_at: Instant,
        is_indirect: bool,
    }

    /// A ping sent on behalf of a peer.
    struct Relay {
        sequence: u64,
        sent_at: Instant,
        requester: RelayTarget,
    }

    /// The peer that requested an indirect probe, and the sequence number of that probe.
    pub(crate) struct RelayTarget {
        pub(crate) to: LinkAddress,
        pub(crate) sequence: u64,
    }

    /// An action that the caller must take for the failure detector.
    pub(crate) enum ProbeAction {
        /// Ping the target.
        Ping { sequence: u64, target: LinkAddress },
        /// Ask other members to ping the target.
        Indirect { sequence: u64, target: LinkAddress },
        /// Mark the target as suspect: neither a direct nor an indirect probe was answered.
        Suspect(LinkAddress),
    }
}

/// The interval between probes; each probes one member of the data centre.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The time after which indirect probes are requested.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time after which the target becomes suspect.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
const RELAY_RETENTION: Duration = Duration::from_secs(2);
const MAX_RELAYS: usize = 64;

impl Prober {
    pub(crate) fn open(first_sequence: u64) -> Self {
        Self {
            round: Vec::new(),
            next_sequence: first_sequence,
            last_started: None,
            pending: Vec::new(),
            relays: Vec::new(),
        }
    }

    /// Drops pending probes, after this process itself was paused.
    pub(crate) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Whether a new probe is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.last_started
            .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }

    /// Starts a probe of the next member in a shuffled round over all members.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        members: &[LinkAddress],
        random: &mut Random,
    ) -> Option<ProbeAction> {
        self.last_started = Some(now);
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

    fn ping(&mut self, now: Instant, target: LinkAddress) -> ProbeAction {
        let sequence = self.take_sequence();
        self.pending.push(Probe {
            sequence,
            target,
            sent_at: now,
            is_indirect: false,
        });
        ProbeAction::Ping { sequence, target }
    }

    /// Returns the actions for probes that timed out by `now`.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<ProbeAction> {
        let mut actions = Vec::new();
        self.relays
            .retain(|relay| now.saturating_duration_since(relay.sent_at) < RELAY_RETENTION);
        self.pending.retain_mut(|probe| {
            let elapsed = now.saturating_duration_since(probe.sent_at);
            let Probe {
                sequence, target, ..
            } = *probe;
            if elapsed >= PROBE_TIMEOUT {
                actions.push(ProbeAction::Suspect(target));
                return false;
            }
            if elapsed >= DIRECT_TIMEOUT && !probe.is_indirect {
                probe.is_indirect = true;
                actions.push(ProbeAction::Indirect { sequence, target });
            }
            true
        });
        actions
    }

    /// Handles an ack. If the ping was sent on behalf of a peer, returns the peer to relay it to.
    pub(crate) fn acknowledge(&mut self, sequence: u64) -> Option<RelayTarget> {
        self.pending.retain(|probe| probe.sequence != sequence);
        let position = self.relays.iter().position(|r| r.sequence == sequence)?;
        Some(self.relays.swap_remove(position).requester)
    }

    /// Starts a probe on behalf of a peer and returns its sequence number.
    pub(crate) fn relay(&mut self, now: Instant, requester: RelayTarget) -> u64 {
        if self.relays.len() >= MAX_RELAYS {
            self.relays.remove(0);
        }
        let sequence = self.take_sequence();
        self.relays.push(Relay {
            sequence,
            sent_at: now,
            requester,
        });
        sequence
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence = sequence.wrapping_add(1);
        sequence
    }
}
