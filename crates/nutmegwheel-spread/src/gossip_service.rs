use std::{
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_config::{Settings, View, WhenCutOff};
use nutmegwheel_link::{Endpoint, Peer};
use nutmegwheel_membership::{
    Announcement, Configuration, ControlHeartbeat, Event, Gossip, Health, Options, Outgoing,
    PartitionPolicy, Record, Role, Seed, WithdrawalState, freshness::Decision, wire,
};
use nutmegwheel_types::{Incarnation, KeyHash};
use nutmegwheel_wire::topic;

/// The age of the newest heartbeat of the control VMs above which a data centre refuses keyed
/// requests, if it is configured to refuse them while partitioned.
const PARTITION_REFUSE_DELAY: Duration = Duration::from_secs(5);

/// The gossip state of a process, and the endpoint through which it sends messages.
pub struct GossipService {
    gossip: Mutex<Gossip>,
    endpoint: OnceLock<Endpoint>,
}

impl GossipService {
    /// Creates the gossip state of a process. Nothing is sent before
    /// [`GossipService::set_endpoint`] is called.
    #[must_use]
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Self {
        Self {
            gossip: Mutex::new(Gossip::open(options(settings, incarnation))),
            endpoint: OnceLock::new(),
        }
    }

    /// Sets the endpoint through which messages are sent. The endpoint is opened after this
    /// service, because it delivers incoming messages to the service.
    pub fn set_endpoint(&self, endpoint: Endpoint) {
        let _ = self.endpoint.set(endpoint);
    }

    /// Sends the messages that are due. The caller must call this every
    /// [`nutmegwheel_membership::TICK`].
    pub fn tick(&self) -> Vec<Event> {
        self.with_gossip(Gossip::tick)
    }

    /// Handles a one-way message on the topic `GOSSIP`, and drops it if it is malformed.
    pub fn receive(&self, peer: &Peer, body: &Bytes) -> Vec<Event> {
        match wire::decode(peer.address, body) {
            Ok(msg) => self.with_gossip(|gossip, now| gossip.receive(now, peer.address, msg)),
            Err(e) => {
                log::debug!("dropping a gossip message from {}: {e}", peer.name);
                Vec::new()
            }
        }
    }

    /// Announces that this process accepts no new requests.
    pub fn leave(&self) {
        self.with_gossip(Gossip::leave);
    }

    /// Announces that this process has left. This must be the last call before it exits.
    pub fn stop(&self) {
        self.with_gossip(Gossip::stop);
    }
}

impl GossipService {
    /// Announces the backend server on the same VM as this process, or with `None` that there is
    /// none.
    pub fn announce(&self, announcement: Option<Announcement>) -> Vec<Event> {
        self.with_gossip(|gossip, now| gossip.announce(now, announcement))
    }

    /// Stores an accepted view as the configuration of this process, and announces its version so
    /// that other processes fetch it. `change` is the delta from the previous version, if known.
    pub fn set_configuration(&self, view: &View, change: Option<&[u8]>) -> Vec<Event> {
        let configuration = Configuration {
            version: view.version,
            snapshot: view.encode().into(),
            change: change.map(Into::into),
        };
        let partition_policy = match view.configuration.when_cut_off {
            WhenCutOff::Serve => PartitionPolicy::Serve,
            WhenCutOff::Refuse => PartitionPolicy::RefuseAfter(PARTITION_REFUSE_DELAY),
        };
        let withdrawn = view.withdrawn.clone();
        self.with_gossip(|gossip, now| {
            gossip.set_partition_policy(partition_policy);
            let uncommitted = withdrawn.iter().filter(|key| {
                let state = gossip.withdrawal_state(key);
                matches!(
                    state,
                    WithdrawalState::Pending {
                        committed: false,
                        ..
                    }
                )
            });
            let uncommitted: Vec<KeyHash> = uncommitted.copied().collect();
            gossip.load_withdrawn(withdrawn);
            let mut outgoing = gossip.set_configuration(now, configuration);
            // These withdrawals were not known to be committed; the view contains them, so they
            // are.
            for key in uncommitted {
                outgoing.extend(gossip.withdraw(now, key, true));
            }
            outgoing
        })
    }

    /// Reports that a fetched change could not be applied; a snapshot is fetched after a pause.
    pub fn reject_configuration(&self) {
        self.lock().reject_configuration(Instant::now());
    }

    /// Starts the withdrawal of a key, or continues it after its commit, and tracks its progress.
    /// `committed` means that it is committed in the control log.
    pub fn withdraw(&self, key: KeyHash, committed: bool) -> Vec<Event> {
        self.with_gossip(|gossip, now| gossip.withdraw(now, key, committed))
    }

    /// Issues a heartbeat of the control quorum. Only its leader may call this.
    pub fn issue_heartbeat(&self, heartbeat: ControlHeartbeat) {
        self.lock().issue_heartbeat(Instant::now(), heartbeat);
    }

    /// Declares this control VM authoritative until `until`: it holds everything that was committed
    /// before the call.
    pub fn extend_authority(&self, until: Instant) {
        self.lock().extend_authority(until);
    }
}

impl GossipService {
    /// Replaces the contacts through which the process joins the fleet and runs anti-entropy.
    pub fn set_contacts(&self, contacts: Vec<std::net::SocketAddr>) {
        self.lock().set_contacts(contacts);
    }
}

impl GossipService {
    /// Decides whether this process may start keyed requests now.
    #[must_use]
    pub fn decide(&self) -> Decision {
        let gossip = self.lock();
        gossip.decide(Instant::now())
    }

    /// Whether this process knows that a key is withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, key: &KeyHash) -> bool {
        self.lock().is_withdrawn(key)
    }

    /// The progress of a withdrawal that was submitted to this process.
    #[must_use]
    pub fn withdrawal(&self, key: &KeyHash) -> WithdrawalState {
        self.lock().withdrawal_state(key)
    }

    /// The records of all known processes of the fleet.
    #[must_use]
    pub fn members(&self) -> Vec<Record> {
        self.lock().members().cloned().collect()
    }

    /// The number of nodes in the fleet, except those that left.
    #[must_use]
    pub fn ingress_nodes(&self) -> usize {
        self.lock().ingress_nodes()
    }

    /// The link addresses of the control VMs that are not declared dead.
    #[must_use]
    pub fn control_links(&self) -> Vec<std::net::SocketAddr> {
        let gossip = self.lock();
        let control = gossip.members().filter(|r| r.role == Role::Control);
        let alive = control.filter(|record| record.health != Health::Dead);
        alive.map(|record| record.link).collect()
    }

    /// The record of the process with this name, which may be this process.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Record> {
        self.lock().member(name).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `work` with the gossip state, sends the resulting messages and returns the events.
    fn with_gossip(&self, work: impl FnOnce(&mut Gossip, Instant) -> Vec<Outgoing>) -> Vec<Event> {
        let mut gossip = self.lock();
        let outgoing = work(&mut gossip, Instant::now());
        let events = gossip.take_events();
        drop(gossip);
        if let Some(endpoint) = self.endpoint.get() {
            for event in &events {
                if let Event::Joined(record) = event {
                    endpoint.end_backoff(record.link);
                }
            }
            for Outgoing { to, message } in outgoing {
                endpoint.send(to, topic::GOSSIP, wire::encode(&message).into());
            }
        }
        events
    }
}

fn options(settings: &Settings, incarnation: Incarnation) -> Options {
    let own = settings
        .seeds
        .iter()
        .filter(|seed| seed.data_centre == settings.data_centre);
    let seeds = own.map(|seed| Seed {
        name: seed.name.clone(),
        link: seed.link,
    });
    Options {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        role: match settings.role {
            nutmegwheel_config::Role::Node => Role::Node,
            nutmegwheel_config::Role::Control => Role::Control,
        },
        link: settings.listen.advertised_link(),
        callers: settings.listen.callers,
        platform: Some(settings.listen.platform),
        incarnation,
        nonce: rand::random(),
        seeds: seeds.collect(),
        contacts: settings.contact_links(),
        data_centres: settings.data_centres(),
        partition_policy: PartitionPolicy::Serve,
        needs_lease: settings.contacts.is_none(),
    }
}
