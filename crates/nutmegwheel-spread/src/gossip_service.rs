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

/// The time without a sign of the control VMs after which a data centre that is set to refuse
/// does so.
const PARTITION_REFUSE_DELAY: Duration = Duration::from_secs(5);

/// The gossip of a process with the links that carry it.
pub struct GossipService {
    gossip: Mutex<Gossip>,
    endpoint: OnceLock<Endpoint>,
}

/// Lifecycle.
impl GossipService {
    /// Opens the process's part in the gossip; nothing is sent before [`GossipService::set_endpoint`].
    #[must_use]
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Self {
        Self {
            gossip: Mutex::new(Gossip::open(options(settings, incarnation))),
            endpoint: OnceLock::new(),
        }
    }

    /// Sets the links, which are opened after what they serve.
    pub fn set_endpoint(&self, endpoint: Endpoint) {
        let _ = self.endpoint.set(endpoint);
    }

    /// Sends what is due; to be called every [`nutmegwheel_membership::TICK`].
    pub fn tick(&self) -> Vec<Event> {
        self.with_gossip(Gossip::tick)
    }

    /// Takes in a notice of the topic `GOSSIP`; one that is malformed is dropped.
    pub fn receive(&self, peer: &Peer, body: &Bytes) -> Vec<Event> {
        match wire::decode(peer.address, body) {
            Ok(msg) => self.with_gossip(|gossip, now| gossip.receive(now, peer.address, msg)),
            Err(e) => {
                log::debug!("gossip of {}: {e}", peer.name);
                Vec::new()
            }
        }
    }

    /// Tells the others that this process takes nothing new.
    pub fn leave(&self) {
        self.with_gossip(Gossip::leave);
    }

    /// Tells the others that this process is gone; the last call before it exits.
    pub fn stop(&self) {
        self.with_gossip(Gossip::stop);
    }
}

/// What this process says.
impl GossipService {
    /// Announces the backend server beside this process, or that there is none.
    pub fn announce(&self, announcement: Option<Announcement>) -> Vec<Event> {
        self.with_gossip(|gossip, now| gossip.announce(now, announcement))
    }

    /// Holds a view that this process accepted and offers it to others. `change` is what turned
    /// the version before into this one, where that is known.
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
            for key in uncommitted {
                outgoing.extend(gossip.withdraw(now, key, true));
            }
            outgoing
        })
    }

    /// Takes note that a fetched change could not be applied.
    pub fn reject_configuration(&self) {
        self.lock().reject_configuration(Instant::now());
    }

    /// Takes in a withdrawal and follows how far it comes.
    pub fn withdraw(&self, key: KeyHash, committed: bool) -> Vec<Event> {
        self.with_gossip(|gossip, now| gossip.withdraw(now, key, committed))
    }

    /// Issues a sign of life of the control quorum; for its leader.
    pub fn issue_heartbeat(&self, heartbeat: ControlHeartbeat) {
        self.lock().issue_heartbeat(Instant::now(), heartbeat);
    }

    /// Vouches until `until` that this control VM holds all that was committed before the call.
    pub fn extend_authority(&self, until: Instant) {
        self.lock().extend_authority(until);
    }
}

/// What this process is told.
impl GossipService {
    /// Takes over newer contacts, which replace the ones before.
    pub fn set_contacts(&self, contacts: Vec<std::net::SocketAddr>) {
        self.lock().set_contacts(contacts);
    }
}

/// Access.
impl GossipService {
    /// Whether this process may start keyed work at this instant.
    #[must_use]
    pub fn decide(&self) -> Decision {
        let gossip = self.lock();
        gossip.decide(Instant::now())
    }

    /// Whether a key is withdrawn, as far as this process knows.
    #[must_use]
    pub fn is_withdrawn(&self, key: &KeyHash) -> bool {
        self.lock().is_withdrawn(key)
    }

    /// How far a withdrawal that was given to this process has come.
    #[must_use]
    pub fn withdrawal(&self, key: &KeyHash) -> WithdrawalState {
        self.lock().withdrawal_state(key)
    }

    /// All that is known of the processes of the fleet.
    #[must_use]
    pub fn members(&self) -> Vec<Record> {
        self.lock().members().cloned().collect()
    }

    /// The number of nodes of the fleet but for those that left.
    #[must_use]
    pub fn ingress_nodes(&self) -> usize {
        self.lock().ingress_nodes()
    }

    /// The links of the control VMs that are not known to be dead.
    #[must_use]
    pub fn control_links(&self) -> Vec<std::net::SocketAddr> {
        let gossip = self.lock();
        let control = gossip.members().filter(|r| r.role == Role::Control);
        let alive = control.filter(|record| record.health != Health::Dead);
        alive.map(|record| record.link).collect()
    }

    /// What is known of the process of that name, this one included.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Record> {
        self.lock().member(name).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the gossip work, sends what follows and returns what was learnt.
    fn with_gossip(&self, work: impl FnOnce(&mut Gossip, Instant) -> Vec<Outgoing>) -> Vec<Event> {
        let mut gossip = self.lock();
        let outgoing = work(&mut gossip, Instant::now());
        let events = gossip.take_events();
        drop(gossip);
        if let Some(endpoint) = self.endpoint.get() {
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
        link: settings.listen.link_of_others(),
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
