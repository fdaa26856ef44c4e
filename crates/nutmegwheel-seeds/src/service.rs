use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use nutmegwheel_claims::store::{self, Bounds, ClaimStore};
use nutmegwheel_config::Settings;
use nutmegwheel_link::{Endpoint, Request, Topic};
use nutmegwheel_types::{Incarnation, ProcessName};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;

use crate::{
    SeedLists,
    claims_wire::{
        recover_from_wire, recover_to_wire, recovered_from_wire, recovered_to_wire, reply_to_wire,
        request_from_wire, update_from_wire,
    },
    token_server_role::TokenServerRole,
};

/// The time that one other process gets to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time that a planned stop waits for the end of the steward's lease.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two looks whether the lease was given back.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a seed does for its data centre.
pub struct SeedService {
    name: ProcessName,
    incarnation: Incarnation,
    /// The other seeds of the data centre, and where they take links.
    others: Vec<(ProcessName, SocketAddr)>,
    control_vms: Vec<SocketAddr>,
    claims: Mutex<ClaimStore>,
    token_server_role: Arc<TokenServerRole>,
}

/// Lifecycle.
impl SeedService {
    /// Takes up the duty when the process is one of its data centre's seeds.
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
        })
    }

    /// Takes part in handing out tokens; to be called every 100 ms or so.
    pub fn tick(&self, endpoint: &Endpoint) {
        self.token_server_role.tick(endpoint);
    }

    /// Hands out nothing more and gives the lease back, so that another steward need not wait until
    /// it is over; [`SeedService::tick`] must go on being called meanwhile.
    pub async fn hand_over(&self) {
        self.token_server_role.stop();
        let end = tokio::time::Instant::now() + HANDOVER_TIMEOUT;
        while self.token_server_role.holds_lease() && tokio::time::Instant::now() < end {
            tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
        }
    }

    /// Goes on with what a restarted seed must learn before it may grant anything; to be called
    /// every 200 ms or so.
    pub async fn recover(&self, endpoint: &Endpoint) {
        let requests = {
            let mut claims = self.claims();
            claims.tick(Instant::now());
            claims.recover_requests()
        };
        for (name, req) in requests {
            let head = recover_to_wire(&req).encode_to_vec();
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
        if let Some(reply) = reply.and_then(|reply| recovered_from_wire(reply).ok()) {
            self.claims()
                .handle_recovery_page(name, reply, Instant::now());
        }
    }

    /// Whether the control log says that no seed of this name ever served before.
    async fn is_first_start(&self, endpoint: &Endpoint) -> bool {
        let head = wire::FirstStart {
            seed: self.name.to_string(),
            incarnation: self.incarnation,
        };
        let head = Bytes::from(head.encode_to_vec());
        for address in &self.control_vms {
            let answer = call(endpoint, *address, topic::FIRST_START, head.clone()).await;
            if let Some(answer) = answer.filter(|answer| !answer.is_empty()) {
                return answer.as_ref() == [1];
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
        let answer = call(endpoint, *address, topic, head.into()).await?;
        (!answer.is_empty()).then_some(answer)
    }
}

/// Access.
impl SeedService {
    /// Whether this process hands out the tokens of its data centre.
    #[must_use]
    pub fn is_token_server(&self) -> bool {
        self.token_server_role.is_token_server()
    }

    /// Whether the seed counts for its data centre again, so that another one may stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_recovering() && !self.token_server_role.is_recovering()
    }

    /// Whether the seed still learns what it may have forgotten.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.claims().is_recovering()
    }

    fn claims(&self) -> MutexGuard<'_, ClaimStore> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests.
impl SeedService {
    /// Answers a request that belongs to seeds; an empty answer refuses a malformed one.
    #[must_use]
    pub fn serve(&self, topic: Topic, head: Bytes) -> Bytes {
        let answer = match topic {
            topic::CLAIM => self.claim(head),
            topic::CLAIM_UPDATE => self.update(head),
            topic::RECOVER => self.serve_recovery(head),
            topic => self.token_server_role.serve(topic, head),
        };
        answer.unwrap_or_default().into()
    }

    fn claim(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = request_from_wire(wire::ClaimRequest::decode(head).ok()?).ok()?;
        let reply = self.claims().claim(&req, Instant::now());
        Some(reply_to_wire(&reply).encode_to_vec())
    }

    fn update(&self, head: Bytes) -> Option<Vec<u8>> {
        let update = update_from_wire(wire::ClaimUpdate::decode(head).ok()?).ok()?;
        self.claims().update(update, Instant::now());
        Some(vec![1])
    }

    fn serve_recovery(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = recover_from_wire(wire::RecoverRequest::decode(head).ok()?).ok()?;
        let reply = self.claims().serve_recovery(&req, Instant::now())?;
        Some(recovered_to_wire(&reply).encode_to_vec())
    }
}

/// Asks another process; the answer is the reply's body.
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
