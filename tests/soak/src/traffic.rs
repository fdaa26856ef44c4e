//! Callers, who keep using their connections until the process behind them is gone.

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
    bed,
    judge::{DEADLINE, Result, Sent},
};

/// The callers that send at the same time.
const CALLERS: u64 = 24;
/// The pause of a caller between two requests, at most.
const PAUSE: Duration = Duration::from_millis(60);
/// The most times that a request which must not be repeated is sent under its id.
const MAX_SENDS: usize = 4;

/// What callers sent and got.
#[derive(Clone, Default)]
pub(crate) struct Traffic {
    sent: Arc<Mutex<Vec<Sent>>>,
    next: Arc<AtomicU64>,
}

impl Traffic {
    /// Sends requests through all doors until `end`.
    pub(crate) async fn run(&self, seed: u64, nodes: &[Vm], end: Instant) {
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..CALLERS {
            let (traffic, nodes) = (self.clone(), nodes.to_vec());
            let rng = SmallRng::seed_from_u64(seed ^ (number << 32));
            callers.spawn(async move { traffic.call_on(rng, &nodes, end).await });
        }
        callers.join_all().await;
    }

    /// Everything that was sent.
    pub(crate) fn sent(&self) -> Vec<Sent> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }

    async fn call_on(&self, mut rng: SmallRng, nodes: &[Vm], end: Instant) {
        let caller = Caller::open();
        while Instant::now() < end {
            let node = &nodes[rng.random_range(0..nodes.len())];
            match rng.random_range(0..10) {
                0..5 => drop(self.send(&caller, node, bed::KEY, None).await),
                5..8 => self.bill(&caller, &mut rng, nodes).await,
                8 => drop(self.send(&caller, node, bed::LIMITED_KEY, None).await),
                _ => drop(self.send(&caller, node, bed::WITHDRAWN_KEY, None).await),
            }
            tokio::time::sleep(rng.random_range(Duration::ZERO..PAUSE)).await;
        }
    }

    /// Sends a request that must not be repeated, again under its id while its fate is open.
    async fn bill(&self, caller: &Caller, rng: &mut SmallRng, nodes: &[Vm]) {
        let id = format!("bill-{}", self.next.fetch_add(1, Ordering::Relaxed));
        for _ in 0..MAX_SENDS {
            let node = &nodes[rng.random_range(0..nodes.len())];
            match self.send(caller, node, bed::KEY, Some(&id)).await {
                Result::Served { .. } | Result::Broken => return,
                Result::Refused { outcome, .. } if outcome == "do-not-resend" => return,
                Result::Refused { .. } => {}
            }
            tokio::time::sleep(rng.random_range(Duration::ZERO..PAUSE)).await;
        }
    }

    async fn send(
        &self,
        caller: &Caller,
        node: &Vm,
        key: &'static str,
        id: Option<&str>,
    ) -> Result {
        let fresh = format!("read-{}", self.next.fetch_add(1, Ordering::Relaxed));
        let body = id.unwrap_or(&fresh);
        let deadline = DEADLINE.as_millis().to_string();
        let mut fields = vec![
            ("authorization", key),
            ("nutmegwheel-deadline-ms", deadline.as_str()),
        ];
        fields.extend(id.map(|id| ("idempotency-key", id)));
        let path = if id.is_some() { bed::BILL } else { bed::READ };
        let began = Instant::now();
        let answer = caller.call("POST", node.callers, path, &fields, body.to_owned());
        let result = answer
            .await
            .map_or(Result::Broken, |answer| result_of(&answer, body));
        let sent = Sent {
            body: body.to_owned(),
            door: node.name.clone(),
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

fn result_of(answer: &Answer, body: &str) -> Result {
    let outcome = answer.outcome().unwrap_or_default().to_owned();
    if answer.status != 200 {
        return Result::Refused {
            status: answer.status,
            reason: answer.reason(),
            outcome,
        };
    }
    Result::Served {
        is_own: answer.json()["echo"] == body,
    }
}
