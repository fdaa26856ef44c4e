//! Callers that send requests to random ingress nodes, and keep each connection until the process
//! behind it is gone.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nutmegwheel_support::{Answer, Caller, Vm};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::{
    checker::{DEADLINE, SendResult, Sent},
    environment,
};

/// The number of concurrent callers.
const CALLERS: u64 = 24;
/// The maximum delay of a caller between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(60);
/// The maximum number of sends of a non-idempotent request under one id.
const MAX_SENDS: usize = 4;

/// The requests of all callers of a run, with their results.
#[derive(Clone, Default)]
pub(crate) struct Traffic {
    sent: Arc<Mutex<Vec<Sent>>>,
    next: Arc<AtomicU64>,
}

impl Traffic {
    /// Sends requests through all ingress nodes until `end`.
    pub(crate) async fn run(&self, seed: u64, nodes: &[Vm], end: Instant) {
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..CALLERS {
            let (traffic, nodes) = (self.clone(), nodes.to_vec());
            let rng = SmallRng::seed_from_u64(seed ^ (number << 32));
            callers.spawn(async move { traffic.send_until(rng, &nodes, end).await });
        }
        callers.join_all().await;
    }

    /// Returns all requests that were sent.
    pub(crate) fn sent(&self) -> Vec<Sent> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }

    async fn send_until(&self, mut rng: SmallRng, nodes: &[Vm], end: Instant) {
        let caller = Caller::open();
        while Instant::now() < end {
            let node = &nodes[rng.random_range(0..nodes.len())];
            match rng.random_range(0..10) {
                0..5 => drop(self.send(&caller, node, environment::KEY, None).await),
                5..8 => self.send_bill(&caller, &mut rng, nodes).await,
                8 => drop(
                    self.send(&caller, node, environment::LIMITED_KEY, None)
                        .await,
                ),
                _ => drop(
                    self.send(&caller, node, environment::WITHDRAWN_KEY, None)
                        .await,
                ),
            }
            tokio::time::sleep(rng.random_range(Duration::ZERO..MAX_PAUSE)).await;
        }
    }

    /// Sends a non-idempotent request, and resends it under its id while its outcome is unknown or
    /// it did not run.
    async fn send_bill(&self, caller: &Caller, rng: &mut SmallRng, nodes: &[Vm]) {
        let id = format!("bill-{}", self.next.fetch_add(1, Ordering::Relaxed));
        for _ in 0..MAX_SENDS {
            let node = &nodes[rng.random_range(0..nodes.len())];
            match self.send(caller, node, environment::KEY, Some(&id)).await {
                SendResult::Served { .. } | SendResult::Broken => return,
                SendResult::Refused { outcome, .. } if outcome == "do-not-resend" => return,
                SendResult::Refused { .. } => {}
            }
            tokio::time::sleep(rng.random_range(Duration::ZERO..MAX_PAUSE)).await;
        }
    }

    async fn send(
        &self,
        caller: &Caller,
        node: &Vm,
        key: &'static str,
        id: Option<&str>,
    ) -> SendResult {
        let read_id = format!("read-{}", self.next.fetch_add(1, Ordering::Relaxed));
        let body = id.unwrap_or(&read_id);
        let deadline = DEADLINE.as_millis().to_string();
        let mut fields = vec![
            ("authorization", key),
            ("nutmegwheel-deadline-ms", deadline.as_str()),
        ];
        fields.extend(id.map(|id| ("idempotency-key", id)));
        let path = if id.is_some() {
            environment::BILL
        } else {
            environment::READ
        };
        let began = Instant::now();
        let answer = caller.call("POST", node.callers, path, &fields, body.to_owned());
        let result = answer
            .await
            .map_or(SendResult::Broken, |answer| result_of(&answer, body));
        let sent = Sent {
            body: body.to_owned(),
            ingress: node.name.clone(),
            key,
            must_not_repeat: id.is_some(),
            began,
            ended: Instant::now(),
            result: result.clone(),
        };
        let mut all = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(sent);
        result
    }
}

fn result_of(answer: &Answer, body: &str) -> SendResult {
    let outcome = answer.outcome().unwrap_or_default().to_owned();
    if answer.status != 200 {
        return SendResult::Refused {
            status: answer.status,
            reason: answer.reason(),
            outcome,
        };
    }
    SendResult::Served {
        is_own: answer.json()["echo"] == body,
    }
}
