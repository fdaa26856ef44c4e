//! A control VM's part in the gossip: it publishes what is committed and commits the withdrawals
//! that it hears of.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_config::{Delta, View};
use nutmegwheel_events::{Event as JournalEvent, Journal};
use nutmegwheel_link::Peer;
use nutmegwheel_spread::{ControlHeartbeat, Event, GossipService, Record};
use nutmegwheel_types::{KeyHash, hex};

use crate::{
    log::{Log, Publisher, ReplicatedLog},
    state::Command,
};

/// How long a word of authority holds; the next one is given long before.
const AUTHORITY_DURATION: Duration = Duration::from_secs(1);

/// The fleet as a control VM sees it.
pub(crate) struct Members {
    pub(crate) gossip: Arc<GossipService>,
    journal: Arc<Journal>,
    log: OnceLock<Arc<dyn Log>>,
    heartbeat_sequence: AtomicU64,
}

/// Lifecycle.
impl Members {
    pub(crate) fn open(gossip: Arc<GossipService>, journal: Arc<Journal>) -> Self {
        Self {
            gossip,
            journal,
            log: OnceLock::new(),
            heartbeat_sequence: AtomicU64::new(0),
        }
    }

    /// Sets the log, which is opened after what hears of it.
    pub(crate) fn connect(&self, log: Arc<dyn Log>) {
        let _ = self.log.set(log);
    }
}

/// Gossip.
impl Members {
    pub(crate) fn tick(&self) {
        let events = self.gossip.tick();
        self.handle(events);
    }

    pub(crate) fn receive(&self, peer: &Peer, body: &Bytes) {
        let events = self.gossip.receive(peer, body);
        self.handle(events);
    }

    /// Vouches for what this control VM holds once it has caught up with the log; the leader
    /// also tells the fleet that the control quorum lives.
    pub(crate) async fn extend_authority(&self, log: &ReplicatedLog) {
        // The word counts from before the question, so that nothing committed later is missed.
        let requested_at = Instant::now();
        if log.catch_up().await.is_err() {
            return;
        }
        self.gossip
            .extend_authority(requested_at + AUTHORITY_DURATION);
        if let Some(term) = log.leading_term() {
            let sequence = self.heartbeat_sequence.fetch_add(1, Ordering::SeqCst) + 1;
            self.gossip
                .issue_heartbeat(ControlHeartbeat { term, sequence });
        }
    }

    /// Takes in a withdrawal by an operator and follows how far it comes.
    pub(crate) fn withdraw(&self, hash: KeyHash, committed: bool) {
        let events = self.gossip.withdraw(hash, committed);
        self.handle(events);
    }

    fn handle(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Joined(record) => self.record(JournalEvent::MemberJoined, &record),
                Event::Suspected(record) => self.record(JournalEvent::MemberSuspected, &record),
                Event::Leaving(record) | Event::Left(record) => {
                    self.record(JournalEvent::MemberLeft, &record);
                }
                Event::Died(record) => self.record(JournalEvent::MemberDied, &record),
                Event::Withdrawn(hash) => self.commit_withdrawal(hash),
                // What is committed comes by the log alone.
                Event::ConfigurationFetched(_)
                | Event::Announced(_)
                | Event::NewerVersionObserved(_)
                | Event::Refuted(_) => {}
            }
        }
    }

    fn record(&self, event: JournalEvent, record: &Record) {
        self.journal.emit(event, &[("member", &record.name)]);
    }

    /// Commits a withdrawal that was taken by another process, so that it outlives it.
    fn commit_withdrawal(&self, hash: KeyHash) {
        let Some(log) = self.log.get().cloned() else {
            return;
        };
        if log.view().withdrawn.contains(&hash) {
            return;
        }
        let command = Command::Withdraw {
            hash: hex::encode(&hash),
        };
        tokio::spawn(async move { log.commit(command).await });
    }
}

/// Offers what is committed to the fleet.
pub(crate) struct GossipPublisher {
    pub(crate) gossip: Arc<GossipService>,
}

impl Publisher for GossipPublisher {
    fn publish(&self, view: &View, delta: Option<&Delta>) {
        let delta = delta.map(Delta::encode);
        self.gossip.set_configuration(view, delta.as_deref());
    }
}
