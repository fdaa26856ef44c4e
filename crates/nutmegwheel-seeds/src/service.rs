use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_claims::store::{self, Bounds, ClaimStore};
use nutmegwheel_config::Settings;
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_link::{Endpoint, Request, Topic};
use nutmegwheel_types::{Incarnation, ProcessName};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;

use crate::{
    SeedLists,
    claims_wire::{
        claim_reply_to_wire, claim_request_from_wire, recover_reply_from_wire,
        recover_reply_to_wire, recover_request_from_wire, recover_request_to_wire,
        update_from_wire,
    },
    token_server_role::TokenServerRole,
};

/// How long a seed waits for the reply of another process.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum time that a planned stop waits for the release of the token server lease.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which a planned stop checks whether the lease is released.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The service of a seed for its data centre. It grants claims, and acts as the token server while
/// it holds the token server lease.
pub struct SeedService {
    name: ProcessName,
    incarnation: Incarnation,
    /// The other seeds of the data centre with their link addresses.
    others: Vec<(ProcessName, SocketAddr)>,
    control_vms: Vec<SocketAddr>,
    claims: Mutex<ClaimStore>,
    token_server_role: Arc<TokenServerRole>,
    /// Whether this process was the token server at the last call of
    /// [`SeedService::emit_role_change`].
    was_token_server: AtomicBool,
}

impl SeedService {
    /// Creates the service, or returns `None` if the process is not a seed of its data centre.
    #[must_use]
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Option<Self> {
        let lists = SeedLists::open(settings);
        let list = lists.get(&settings.data_centre)?;
        list.seeds.get(&settings.name)?;
        let claims = ClaimStore::open(store::Options {
            name: settings.name.clone(),
            incarnation,
            seeds: list.seeds.keys().cloned().collect(),
            generation: list.generation,
            bounds: Bounds::default(),
            now: Instant::now(),
        });
        let others = list
            .seeds
            .iter()
            .filter(|(name, _)| **name != settings.name);
        Some(Self {
            name: settings.name.clone(),
            incarnation,
            others: others.map(|(name, link)| (name.clone(), *link)).collect(),
            control_vms: settings.control_vms().map(|seed| seed.link).collect(),
            claims: Mutex::new(claims),
            token_server_role: Arc::new(TokenServerRole::open(settings, incarnation, list)),
            was_token_server: AtomicBool::new(false),
        })
    }

    /// Sends the due messages of the token server and its lease. The caller must call this about
    /// every 100 ms.
    pub fn tick(&self, endpoint: &Endpoint) {
        self.token_server_role.tick(endpoint);
    }

    /// Stops granting tokens and releases the token server lease, so that the next token server
    /// need not wait until it expires. The caller must keep calling [`SeedService::tick`] until
    /// this returns.
    pub async fn hand_over(&self) {
        self.token_server_role.stop();
        let deadline = tokio::time::Instant::now() + HANDOVER_TIMEOUT;
        while self.token_server_role.holds_lease() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }

    /// Continues the recovery of claims. A restarted seed grants no claims before it has finished.
    /// The caller must call this about every 200 ms.
    pub async fn recover(&self, endpoint: &Endpoint) {
        let requests = {
            let mut claims = self.claims();
            claims.tick(Instant::now());
            claims.recover_requests()
        };
        for (name, req) in requests {
            let head = recover_request_to_wire(&req).encode_to_vec();
            if let Some(reply) = self.request(endpoint, &name, topic::RECOVER, head).await {
                self.handle_recovery_page(&name, &reply);
            }
        }
        if self.is_recovering() && self.is_first_start(endpoint).await {
            self.claims().skip_recovery();
        }
    }

    fn handle_recovery_page(&self, name: &ProcessName, reply: &Bytes) {
        let reply = wire::RecoverReply::decode(reply.clone()).ok();
        if let Some(reply) = reply.and_then(|reply| recover_reply_from_wire(reply).ok()) {
            self.claims()
                .handle_recovery_page(name, reply, Instant::now());
        }
    }

    /// Asks the control VMs whether their log confirms that no seed of this name was ever active
    /// before.
    async fn is_first_start(&self, endpoint: &Endpoint) -> bool {
        let head = wire::FirstStart {
            seed: self.name.to_string(),
            incarnation: self.incarnation,
        };
        let head = Bytes::from(head.encode_to_vec());
        for address in &self.control_vms {
            let reply = call(endpoint, *address, topic::FIRST_START, head.clone()).await;
            if let Some(reply) = reply.filter(|reply| !reply.is_empty()) {
                return reply.as_ref() == [1];
            }
        }
        false
    }

    async fn request(
        &self,
        endpoint: &Endpoint,
        name: &ProcessName,
        topic: Topic,
        head: Vec<u8>,
    ) -> Option<Bytes> {
        let (_, address) = self.others.iter().find(|(other, _)| other == name)?;
        let reply = call(endpoint, *address, topic, head.into()).await?;
        (!reply.is_empty()).then_some(reply)
    }
}

impl SeedService {
    /// Whether this process is the token server of its data centre.
    #[must_use]
    pub fn is_token_server(&self) -> bool {
        self.token_server_role.is_token_server()
    }

    /// Emits an event if this process became or ceased to be the token server since the last call.
    pub fn emit_role_change(&self, journal: &Journal) {
        let is_token_server = self.is_token_server();
        if self
            .was_token_server
            .swap(is_token_server, Ordering::SeqCst)
            == is_token_server
        {
            return;
        }
        let event = if is_token_server {
            Event::TokenServerElected
        } else {
            Event::TokenServerStoodDown
        };
        journal.emit(event, &[]);
    }

    /// Whether the seed has recovered and counts towards majorities again; only then may another
    /// seed be stopped.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_recovering() && !self.token_server_role.is_recovering()
    }

    /// Whether the recovery of the claims is still in progress.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.claims().is_recovering()
    }

    fn claims(&self) -> MutexGuard<'_, ClaimStore> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SeedService {
    /// Answers a request on one of the topics of seeds. The reply is empty if the request is
    /// malformed or this seed cannot answer it.
    #[must_use]
    pub fn serve(&self, topic: Topic, head: Bytes) -> Bytes {
        let reply = match topic {
            topic::CLAIM => self.claim(head),
            topic::CLAIM_UPDATE => self.update(head),
            topic::RECOVER => self.serve_recovery(head),
            topic => self.token_server_role.serve(topic, head),
        };
        reply.unwrap_or_default().into()
    }

    fn claim(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = claim_request_from_wire(wire::ClaimRequest::decode(head).ok()?).ok()?;
        let reply = self.claims().claim(&req, Instant::now());
        Some(claim_reply_to_wire(&reply).encode_to_vec())
    }

    fn update(&self, head: Bytes) -> Option<Vec<u8>> {
        let update = update_from_wire(wire::ClaimUpdate::decode(head).ok()?).ok()?;
        self.claims().update(update, Instant::now());
        Some(vec![1])
    }

    fn serve_recovery(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = recover_request_from_wire(wire::RecoverRequest::decode(head).ok()?).ok()?;
        let reply = self.claims().serve_recovery(&req, Instant::now())?;
        Some(recover_reply_to_wire(&reply).encode_to_vec())
    }
}

/// Sends a request to another process, and returns the body of its reply.
pub(crate) async fn call(
    endpoint: &Endpoint,
    to: SocketAddr,
    topic: Topic,
    head: Bytes,
) -> Option<Bytes> {
    let req = Request {
        topic,
        head,
        body: Bytes::new(),
    };
    let reply = endpoint.call(to, req, Instant::now() + REPLY_TIMEOUT).await;
    reply.ok().map(|reply| reply.body)
}
