use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_config::Settings;
use nutmegwheel_limits::{
    lease::{Candidate, LeaseReply, LeaseRequest, RENEW_INTERVAL, Voter, VoterOptions},
    share::RenewalRequest,
    token_server::{Options, Output, TokenServer},
};
use nutmegwheel_link::{Endpoint, Topic};
use nutmegwheel_types::{Incarnation, ProcessName};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;

use crate::{
    SeedList,
    limits_wire::{
        grant_to_wire, lease_release_from_wire, lease_release_to_wire, lease_reply_from_wire,
        lease_reply_to_wire, lease_request_from_wire, lease_request_to_wire, renewal_from_wire,
        renewal_request_to_wire, token_request_from_wire,
    },
    service,
};

/// The part of a seed that grants the tokens of its data centre. It votes on the token server
/// lease, and grants tokens while this seed holds the lease. See docs/spec/SHARES.md.
pub(crate) struct TokenServerRole {
    name: ProcessName,
    seeds: Vec<(ProcessName, SocketAddr)>,
    control_vms: Vec<SocketAddr>,
    token_server: Mutex<TokenServer>,
    voter: Mutex<Voter>,
}

impl TokenServerRole {
    pub(crate) fn open(settings: &Settings, incarnation: Incarnation, list: &SeedList) -> Self {
        let now = Instant::now();
        let seeds = list.seeds.len();
        let token_server = TokenServer::open(Options {
            candidate: Candidate::new(settings.name.clone(), incarnation),
            data_centre: settings.data_centre.clone(),
            seeds,
            now,
        });
        let all = list.seeds.iter();
        Self {
            name: settings.name.clone(),
            seeds: all.map(|(name, link)| (name.clone(), *link)).collect(),
            control_vms: settings.control_vms().map(|seed| seed.link).collect(),
            token_server: Mutex::new(token_server),
            voter: Mutex::new(Voter::open(&VoterOptions { seeds, now })),
        }
    }

    /// Sends the messages that are due. The caller must call this about every 100 ms.
    pub(crate) fn tick(self: &Arc<Self>, endpoint: &Endpoint) {
        if self.voter().known_shares().is_none() {
            self.fetch_known_shares(endpoint);
        }
        let jitter = RENEW_INTERVAL.mul_f64(rand::random_range(0.0..1.0));
        let outputs = self.token_server().poll(Instant::now(), jitter);
        for output in outputs {
            match output {
                Output::Lease(req) => self.request_lease(endpoint, &req),
                Output::Release(release) => {
                    let head = lease_release_to_wire(&release).encode_to_vec().into();
                    self.broadcast(endpoint, topic::LEASE_RELEASE, &head);
                }
                Output::Renewal(req) => self.renew(endpoint, &req),
            }
        }
    }

    /// Stops granting tokens, and releases the lease once no batch of tokens is outstanding.
    pub(crate) fn stop(&self) {
        self.token_server().stop();
    }

    fn fetch_known_shares(self: &Arc<Self>, endpoint: &Endpoint) {
        for (name, address) in self.others() {
            let (this, endpoint) = (self.clone(), endpoint.clone());
            tokio::spawn(async move {
                let reply = service::call(&endpoint, address, topic::KNOWN_SHARES, Bytes::new());
                let reply = reply.await.and_then(|a| wire::KnownShares::decode(a).ok());
                if let Some(version) = reply.and_then(|known| known.version) {
                    this.voter().record_peer_shares(&name, version);
                }
            });
        }
    }

    fn request_lease(self: &Arc<Self>, endpoint: &Endpoint, req: &LeaseRequest) {
        let own = self.voter().on_request(req, Instant::now());
        self.handle_lease_reply(&self.name, &own);
        let head = Bytes::from(lease_request_to_wire(req).encode_to_vec());
        for (name, address) in self.others() {
            let (this, endpoint, head) = (self.clone(), endpoint.clone(), head.clone());
            tokio::spawn(async move {
                let reply = service::call(&endpoint, address, topic::LEASE, head).await;
                let reply = reply.and_then(|a| wire::LeaseReply::decode(a).ok());
                if let Some(reply) = reply.and_then(|reply| lease_reply_from_wire(reply).ok()) {
                    this.handle_lease_reply(&name, &reply);
                }
            });
        }
    }

    fn handle_lease_reply(&self, seed: &ProcessName, reply: &LeaseReply) {
        self.token_server()
            .on_lease_reply(seed, reply, Instant::now());
    }

    fn broadcast(&self, endpoint: &Endpoint, topic: Topic, head: &Bytes) {
        let _ = self.serve(topic, head.clone());
        for (_, address) in self.others() {
            let (endpoint, head) = (endpoint.clone(), head.clone());
            tokio::spawn(async move { service::call(&endpoint, address, topic, head).await });
        }
    }

    /// Sends a renewal request to the control VMs, one after the other, until their leader answers.
    fn renew(self: &Arc<Self>, endpoint: &Endpoint, req: &RenewalRequest) {
        let head = Bytes::from(renewal_request_to_wire(req).encode_to_vec());
        let (this, endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(async move {
            for address in &this.control_vms {
                let reply = service::call(&endpoint, *address, topic::RENEWAL, head.clone()).await;
                if let Some(reply) = reply.filter(|reply| !reply.is_empty()) {
                    this.handle_renewal(reply);
                    return;
                }
            }
        });
    }

    fn handle_renewal(&self, reply: Bytes) {
        let renewal = wire::Renewal::decode(reply).ok();
        if let Some(renewal) = renewal.and_then(|renewal| renewal_from_wire(renewal).ok())
            && self.token_server().on_renewal(&renewal, Instant::now())
        {
            self.voter().record_control_shares(renewal.version);
        }
    }
}

impl TokenServerRole {
    pub(crate) fn is_token_server(&self) -> bool {
        self.token_server().is_serving(Instant::now())
    }

    pub(crate) fn holds_lease(&self) -> bool {
        self.token_server().holds_lease(Instant::now())
    }

    pub(crate) fn is_recovering(&self) -> bool {
        self.voter().is_recovering(Instant::now())
    }

    fn others(&self) -> impl Iterator<Item = (ProcessName, SocketAddr)> {
        let others = self.seeds.iter().filter(|(name, _)| *name != self.name);
        others.cloned()
    }

    fn token_server(&self) -> MutexGuard<'_, TokenServer> {
        self.token_server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn voter(&self) -> MutexGuard<'_, Voter> {
        self.voter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TokenServerRole {
    pub(crate) fn serve(&self, topic: Topic, head: Bytes) -> Option<Vec<u8>> {
        match topic {
            topic::TOKEN_REQUEST => self.serve_token_request(head),
            topic::LEASE => {
                let req = lease_request_from_wire(wire::LeaseRequest::decode(head).ok()?).ok()?;
                let reply = self.voter().on_request(&req, Instant::now());
                Some(lease_reply_to_wire(&reply).encode_to_vec())
            }
            topic::LEASE_RELEASE => {
                let release =
                    lease_release_from_wire(wire::LeaseRelease::decode(head).ok()?).ok()?;
                self.voter().release(&release);
                Some(vec![1])
            }
            topic::KNOWN_SHARES => {
                let version = self.voter().known_shares();
                Some(wire::KnownShares { version }.encode_to_vec())
            }
            _ => None,
        }
    }

    fn serve_token_request(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = token_request_from_wire(wire::Ask::decode(head).ok()?).ok()?;
        let grant = self.token_server().on_request(&req, Instant::now()).ok()?;
        Some(grant_to_wire(&grant).encode_to_vec())
    }
}

/// How long an ingress node waits for the reply of the token server.
pub(crate) const TOKEN_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
