use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use nutmegwheel_claims::{
    AttemptId, Target,
    claim::{self, CLAIM_TIMEOUT, Claim, ClaimRefusal, State},
    messages::Update,
};
use nutmegwheel_link::Endpoint;
use nutmegwheel_types::{DataCentreId, ProcessName, RequestId, plain};
use nutmegwheel_wire::{ClaimReply, topic};
use prost::Message as _;

use crate::{
    SeedClient, SeedList,
    claims_wire::{claim_reply_from_wire, claim_request_to_wire, update_to_wire},
    service,
};

/// The maximum number of times that an update is sent to a seed that does not answer.
const MAX_UPDATE_SENDS: u32 = 5;
/// The time between two attempts to send an update.
const UPDATE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

plain! {
    /// The parameters of a claim.
    pub struct ClaimOptions {
        /// The id of the request to be run.
        pub id: RequestId,
        /// The home data centre of the request, whose seeds grant the claim.
        pub home: DataCentreId,
        /// The attempt for which the request is claimed.
        pub attempt: AttemptId,
        /// The node at which the attempt would run.
        pub target: Target,
        /// An earlier attempt, if any, that is known not to have run; the seeds mark it as
        /// released.
        pub replaces: Option<AttemptId>,
    }
}

/// Claims requests at the seeds of their home data centres, and reports the progress of attempts to
/// these seeds.
#[derive(Clone)]
pub struct ClaimClient {
    seeds: SeedClient,
}

/// A claim that a majority of the seeds of the home data centre granted.
pub struct HeldClaim {
    claim: Claim,
    home: DataCentreId,
}

impl ClaimClient {
    /// Creates a client that sends its messages through `seeds`.
    #[must_use]
    pub fn open(seeds: SeedClient) -> Self {
        Self { seeds }
    }
}

impl ClaimClient {
    /// Claims a request at the seeds of its home data centre, and waits for their decision.
    ///
    /// # Errors
    ///
    /// Returns the reason if the attempt must not run.
    pub async fn claim(&self, opts: ClaimOptions) -> Result<HeldClaim, ClaimRefusal> {
        let list = self.seeds.lists().get(&opts.home);
        let list = list.ok_or(ClaimRefusal::Unavailable)?;
        let (mut claim, req) = Claim::open(claim::Options {
            id: opts.id,
            attempt: opts.attempt,
            target: opts.target,
            replaces: opts.replaces,
            seeds: list.seeds.keys().cloned().collect(),
            generation: list.generation,
            now: Instant::now(),
        });
        let req = Bytes::from(claim_request_to_wire(&req).encode_to_vec());
        self.collect_replies(list, req, &mut claim).await;
        let state = claim.state().clone();
        let held = HeldClaim {
            claim,
            home: opts.home,
        };
        match state {
            State::Held => Ok(held),
            State::Refused(refusal) => {
                // A minority may have granted the claim, and would refuse other attempts of the
                // request.
                self.broadcast(&held.home, &held.claim.released_update());
                Err(refusal)
            }
            State::Pending => Err(ClaimRefusal::Unavailable),
        }
    }

    async fn collect_replies(&self, list: &SeedList, head: Bytes, claim: &mut Claim) {
        let requests = list.seeds.iter().map(|(name, address)| {
            let head = head.clone();
            async move { (name, self.request(name, *address, head).await) }
        });
        let mut replies: FuturesUnordered<_> = requests.collect();
        while *claim.state() == State::Pending {
            tokio::select! {
                reply = replies.next() => match reply {
                    Some((name, Some(reply))) => {
                        claim.handle_reply(name, reply, Instant::now());
                    }
                    Some((_, None)) => {}
                    None => tokio::time::sleep_until(claim.deadline().into()).await,
                },
                () = tokio::time::sleep_until(claim.deadline().into()) => {}
            }
            claim.tick(Instant::now());
        }
    }

    async fn request(
        &self,
        name: &ProcessName,
        address: SocketAddr,
        head: Bytes,
    ) -> Option<nutmegwheel_claims::messages::ClaimReply> {
        let deadline = Instant::now() + CLAIM_TIMEOUT;
        let answer = self
            .seeds
            .request(name, address, topic::CLAIM, head, deadline);
        let answer = answer.await?;
        claim_reply_from_wire(ClaimReply::decode(answer).ok()?).ok()
    }
}

impl ClaimClient {
    /// Reports to the seeds that the attempt was sent to its target.
    pub fn report_running(&self, held: &HeldClaim) {
        self.broadcast(&held.home, &held.claim.running_update());
    }

    /// Reports to the seeds that the attempt did not run and never will.
    pub fn report_released(&self, held: &HeldClaim) {
        self.broadcast(&held.home, &held.claim.released_update());
    }

    /// Reports to the seeds that an attempt of another process did not run and never will.
    pub fn release_attempt(&self, home: &DataCentreId, id: RequestId, attempt: AttemptId) {
        let phase = nutmegwheel_claims::Phase::Released;
        self.broadcast(home, &Update { id, attempt, phase });
    }

    /// Reports to the seeds that the attempt ran, with its answer if that is at most
    /// [`MAX_STORED_ANSWER_BYTES`](nutmegwheel_claims::MAX_STORED_ANSWER_BYTES) bytes.
    pub fn report_done(
        &self,
        home: &DataCentreId,
        id: RequestId,
        attempt: AttemptId,
        answer: Bytes,
    ) {
        let stored =
            (answer.len() <= nutmegwheel_claims::MAX_STORED_ANSWER_BYTES).then_some(answer);
        let phase = nutmegwheel_claims::Phase::Done(stored);
        self.broadcast(home, &Update { id, attempt, phase });
    }

    fn broadcast(&self, home: &DataCentreId, update: &Update) {
        let Some(list) = self.seeds.lists().get(home) else {
            return;
        };
        let head = Bytes::from(update_to_wire(update).encode_to_vec());
        for (name, address) in &list.seeds {
            if let Some(local) = self.seeds.local(name) {
                let _ = local.serve(topic::CLAIM_UPDATE, head.clone());
            } else {
                let endpoint = self.seeds.endpoint().clone();
                tokio::spawn(deliver_update(endpoint, *address, head.clone()));
            }
        }
    }
}

/// Sends an update to a seed until it answers, at most [`MAX_UPDATE_SENDS`] times. If the update is
/// lost, a resent request may not get its stored answer, but it never runs twice.
async fn deliver_update(endpoint: Endpoint, to: SocketAddr, head: Bytes) {
    for _ in 0..MAX_UPDATE_SENDS {
        let reply = service::call(&endpoint, to, topic::CLAIM_UPDATE, head.clone()).await;
        if reply.is_some() {
            return;
        }
        tokio::time::sleep(UPDATE_RETRY_INTERVAL).await;
    }
}
