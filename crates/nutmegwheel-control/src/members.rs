//! Connects a control VM to the gossip group: publishes committed configurations, and commits the
//! withdrawals of keys that arrive by gossip.

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

/// How long an extension of authority is valid, several times the interval between extensions.
const AUTHORITY_DURATION: Duration = Duration::from_secs(1);

/// The gossip membership of a control VM, with the log that withdrawals are committed to.
pub(crate) struct Members {
    pub(crate) gossip: Arc<GossipService>,
    journal: Arc<Journal>,
    log: OnceLock<Arc<dyn Log>>,
    heartbeat_sequence: AtomicU64,
}

impl Members {
    pub(crate) fn open(gossip: Arc<GossipService>, journal: Arc<Journal>) -> Self {
        Self {
            gossip,
            journal,
            log: OnceLock::new(),
            heartbeat_sequence: AtomicU64::new(0),
        }
    }

    /// Sets the log, which is opened after the gossip service, because it publishes through that.
    pub(crate) fn connect(&self, log: Arc<dyn Log>) {
        let _ = self.log.set(log);
    }
}

impl Members {
    pub(crate) fn tick(&self) {
        let events = self.gossip.tick();
        self.handle(events);
    }

    pub(crate) fn receive(&self, peer: &Peer, body: &Bytes) {
        let events = self.gossip.receive(peer, body);
        self.handle(events);
    }

    /// Extends the authority of this control VM, once it has caught up with the log, to confirm
    /// configurations and withdrawals. The leader also issues a heartbeat, which shows the fleet
    /// that the control quorum is alive.
    pub(crate) async fn extend_authority(&self, log: &ReplicatedLog) {
        // The authority counts from before the read index is requested, because entries that are
        // committed after that may be missing here.
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

    /// Broadcasts the withdrawal of a key by an operator, and tracks which data centres confirm it.
    pub(crate) fn withdraw(&self, hash: KeyHash, committed: bool) {
        let events = self.gossip.withdraw(hash, committed);
        self.handle(events);
    }

    fn handle(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Joined(record) => self.emit(JournalEvent::MemberJoined, &record),
                Event::Suspected(record) => self.emit(JournalEvent::MemberSuspected, &record),
                Event::Leaving(record) | Event::Left(record) => {
                    self.emit(JournalEvent::MemberLeft, &record);
                }
                Event::Died(record) => self.emit(JournalEvent::MemberDied, &record),
                Event::Withdrawn(hash) => self.commit_withdrawal(hash),
                // A control VM takes committed configurations from the log only.
                Event::ConfigurationFetched(_)
                | Event::Announced(_)
                | Event::NewerVersionObserved(_)
                | Event::Refuted(_) => {}
            }
        }
    }

    fn emit(&self, event: JournalEvent, record: &Record) {
        self.journal.emit(event, &[("member", &record.name)]);
    }

    /// Commits a withdrawal that another process accepted, so that it survives the loss of that
    /// process.
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

/// Publishes committed configurations to the fleet by gossip.
pub(crate) struct GossipPublisher {
    pub(crate) gossip: Arc<GossipService>,
}

impl Publisher for GossipPublisher {
    fn publish(&self, view: &View, delta: Option<&Delta>) {
        let delta = delta.map(Delta::encode);
        self.gossip.set_configuration(view, delta.as_deref());
    }
}
