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
    stewardship::Stewardship,
    wire::{
        recover_from_wire, recover_to_wire, recovered_from_wire, recovered_to_wire, reply_to_wire,
        request_from_wire, update_from_wire,
    },
};

/// The time that one other process gets to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The longest time that a planned stop waits for the end of the steward's lease.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);
/// The time between two looks whether the lease was given back.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(20);

/// What a seed does for its data centre.
pub struct Duty {
    name: ProcessName,
    incarnation: Incarnation,
    /// The other seeds of the data centre, and where they take links.
    others: Vec<(ProcessName, SocketAddr)>,
    control_vms: Vec<SocketAddr>,
    seed: Mutex<ClaimStore>,
    stewardship: Arc<Stewardship>,
}

/// Lifecycle.
impl Duty {
    /// Takes up the duty when the process is one of its data centre's seeds.
    #[must_use]
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Option<Self> {
        let lists = SeedLists::open(settings);
        let list = lists.of(&settings.data_centre)?;
        list.seeds.get(&settings.name)?;
        let seed = ClaimStore::open(store::Options {
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
            seed: Mutex::new(seed),
            stewardship: Arc::new(Stewardship::open(settings, incarnation, list)),
        })
    }

    /// Takes part in handing out tokens; to be called every 100 ms or so.
    pub fn step(&self, endpoint: &Endpoint) {
        self.stewardship.step(endpoint);
    }

    /// Hands out nothing more and gives the lease back, so that another steward need not wait until
    /// it is over; [`Duty::step`] must go on being called meanwhile.
    pub async fn hand_over(&self) {
        self.stewardship.stop();
        let end = tokio::time::Instant::now() + HAND_OVER_LIMIT;
        while self.stewardship.holds_lease() && tokio::time::Instant::now() < end {
            tokio::time::sleep(HAND_OVER_PAUSE).await;
        }
    }

    /// Goes on with what a restarted seed must learn before it may grant anything; to be called
    /// every 200 ms or so.
    pub async fn recover(&self, endpoint: &Endpoint) {
        let requests = {
            let mut seed = self.lock();
            seed.tick(Instant::now());
            seed.recover_requests()
        };
        for (name, req) in requests {
            let head = recover_to_wire(&req).encode_to_vec();
            if let Some(reply) = self.ask(endpoint, &name, topic::RECOVER, head).await {
                self.recovered(&name, &reply);
            }
        }
        if self.is_recovering() && self.is_first_start(endpoint).await {
            self.lock().skip_recovery();
        }
    }

    fn recovered(&self, name: &ProcessName, reply: &Bytes) {
        let reply = wire::RecoverReply::decode(reply.clone()).ok();
        if let Some(reply) = reply.and_then(|reply| recovered_from_wire(reply).ok()) {
            self.lock()
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

    async fn ask(
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
impl Duty {
    /// Whether this process hands out the tokens of its data centre.
    #[must_use]
    pub fn is_steward(&self) -> bool {
        self.stewardship.is_steward()
    }

    /// Whether the seed counts for its data centre again, so that another one may stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_recovering() && !self.stewardship.is_recovering()
    }

    /// Whether the seed still learns what it may have forgotten.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.lock().is_recovering()
    }

    fn lock(&self) -> MutexGuard<'_, ClaimStore> {
        self.seed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests.
impl Duty {
    /// Answers a request that belongs to seeds; an empty answer refuses a malformed one.
    #[must_use]
    pub fn serve(&self, topic: Topic, head: Bytes) -> Bytes {
        let answer = match topic {
            topic::CLAIM => self.claim(head),
            topic::CLAIM_UPDATE => self.update(head),
            topic::RECOVER => self.answer_recovery(head),
            topic => self.stewardship.serve(topic, head),
        };
        answer.unwrap_or_default().into()
    }

    fn claim(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = request_from_wire(wire::ClaimRequest::decode(head).ok()?).ok()?;
        let reply = self.lock().claim(&req, Instant::now());
        Some(reply_to_wire(&reply).encode_to_vec())
    }

    fn update(&self, head: Bytes) -> Option<Vec<u8>> {
        let update = update_from_wire(wire::ClaimUpdate::decode(head).ok()?).ok()?;
        self.lock().update(update, Instant::now());
        Some(vec![1])
    }

    fn answer_recovery(&self, head: Bytes) -> Option<Vec<u8>> {
        let req = recover_from_wire(wire::RecoverRequest::decode(head).ok()?).ok()?;
        let reply = self.lock().serve_recovery(&req, Instant::now())?;
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
    let reply = endpoint.call(to, req, Instant::now() + ANSWER_LIMIT).await;
    reply.ok().map(|reply| reply.body)
}
