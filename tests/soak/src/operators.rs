//! Operators that change the configuration and read it back throughout a run.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use nutmegwheel_support::{Answer, Caller, OPERATOR_SECRET, Vm};

use crate::{
    checker::{Observation, Record},
    environment,
};

/// The time after which an operator abandons a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// The delay of an operator between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// The records of the operators of a run.
#[derive(Clone, Default)]
pub(crate) struct Operators {
    records: Arc<Mutex<Vec<Record>>>,
    withdrawn: Arc<Mutex<Option<Instant>>>,
}

impl Operators {
    /// Changes and reads the configuration until `end`, and withdraws a key half-way through.
    pub(crate) async fn run(&self, control: &[Vm], end: Instant) {
        let now = Instant::now();
        let half = now + end.saturating_duration_since(now) / 2;
        let caller = Caller::open();
        let mut reads = tokio::task::JoinSet::new();
        for vm in control {
            let (operators, caller, vm) = (self.clone(), caller.clone(), vm.clone());
            reads.spawn(async move { operators.read_until(&caller, &vm, end).await });
        }
        tokio::join!(
            self.change_until(&caller, control, end),
            self.withdraw(&caller, control, half, end),
            reads.join_all(),
        );
    }

    /// Returns the committed changes and the completed reads.
    pub(crate) fn records(&self) -> Vec<Record> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }

    /// Returns when the system reported that the key was withdrawn everywhere; `None` if it never
    /// did.
    pub(crate) fn withdrawn(&self) -> Option<Instant> {
        *self
            .withdrawn
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn change_until(&self, caller: &Caller, control: &[Vm], end: Instant) {
        let mut number = environment::FIRST_CHANGE;
        while Instant::now() < end {
            let body = environment::configuration(number);
            let path = format!("/v1/changes/{number}");
            for vm in control {
                let began = Instant::now();
                let answer = send_request(caller, vm, "PUT", &path, &body).await;
                if answer.is_some_and(|answer| answer.status == 200) {
                    self.record(began, Observation::Committed(number));
                    break;
                }
            }
            number += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    async fn read_until(&self, caller: &Caller, vm: &Vm, end: Instant) {
        while Instant::now() < end {
            let began = Instant::now();
            if let Some(number) = last_change(caller, vm).await {
                self.record(began, Observation::Read(number));
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    async fn withdraw(&self, caller: &Caller, control: &[Vm], at: Instant, end: Instant) {
        tokio::time::sleep_until(at.into()).await;
        let hash = nutmegwheel_config::hash_key(
            environment::key_text(environment::WITHDRAWN_KEY).as_bytes(),
        );
        let path = format!("/v1/withdrawals/{}", nutmegwheel_types::hex::encode(&hash));
        while Instant::now() < end {
            for vm in control {
                send_request(caller, vm, "PUT", &path, "").await;
                let state = send_request(caller, vm, "GET", &path, "").await;
                if state.is_some_and(|state| state.json()["state"] == "in-force") {
                    let mut withdrawn = self
                        .withdrawn
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    *withdrawn = Some(Instant::now());
                    return;
                }
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    fn record(&self, began: Instant, observation: Observation) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(Record {
            began,
            ended: Instant::now(),
            observation,
        });
    }
}

/// Returns the number of the last committed change that a control VM reports.
pub(crate) async fn last_change(caller: &Caller, vm: &Vm) -> Option<u64> {
    let answer = send_request(caller, vm, "GET", "/v1/configuration", "").await?;
    answer.json()["last_change"].as_u64()
}

async fn send_request(
    caller: &Caller,
    vm: &Vm,
    method: &str,
    path: &str,
    body: &str,
) -> Option<Answer> {
    let secret = format!("Bearer {OPERATOR_SECRET}");
    let fields = [("authorization", secret.as_str())];
    let answer = caller.call(method, vm.platform, path, &fields, body.to_owned());
    let answer = tokio::time::timeout(REQUEST_TIMEOUT, answer).await;
    answer.ok()?.ok()
}
