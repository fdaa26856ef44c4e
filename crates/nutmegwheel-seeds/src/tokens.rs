use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use nutmegwheel_limits::messages::{Ask, Grant};
use nutmegwheel_types::{DataCentreId, ProcessName};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;

use crate::{
    Asker,
    rates_wire::{ask_to_wire, grant_from_wire},
    stewardship::ASK_LIMIT,
};

/// The side of doors that ask stewards for tokens.
#[derive(Clone)]
pub struct Tokens {
    asker: Asker,
    /// The seed of each data centre that answered last.
    stewards: Arc<Mutex<BTreeMap<DataCentreId, ProcessName>>>,
}

/// Lifecycle.
impl Tokens {
    /// Opens the side of a process.
    #[must_use]
    pub fn open(asker: Asker) -> Self {
        Self {
            asker,
            stewards: Arc::default(),
        }
    }
}

/// Asking.
impl Tokens {
    /// Asks the steward of a data centre, whichever of its seeds that is by now.
    pub async fn ask(&self, data_centre: &DataCentreId, ask: &Ask) -> Option<Grant> {
        let head = Bytes::from(ask_to_wire(ask).encode_to_vec());
        let deadline = Instant::now() + ASK_LIMIT;
        for seed in self.order(data_centre) {
            let answer = self
                .ask_seed(data_centre, &seed, head.clone(), deadline)
                .await;
            let grant = answer.and_then(|answer| wire::Grant::decode(answer).ok());
            if let Some(grant) = grant.and_then(grant_from_wire) {
                self.stewards().insert(data_centre.clone(), seed);
                return Some(grant);
            }
            self.stewards().remove(data_centre);
            if Instant::now() >= deadline {
                break;
            }
        }
        None
    }

    /// The seeds of a data centre, the one that answered last coming first.
    fn order(&self, data_centre: &DataCentreId) -> Vec<ProcessName> {
        let list = self.asker.lists().of(data_centre);
        let mut names: Vec<_> = list
            .into_iter()
            .flat_map(|list| list.seeds.keys().cloned())
            .collect();
        let answered = self.stewards().get(data_centre).cloned();
        names.sort_by_key(|name| Some(name) != answered.as_ref());
        names
    }

    async fn ask_seed(
        &self,
        data_centre: &DataCentreId,
        seed: &ProcessName,
        head: Bytes,
        deadline: Instant,
    ) -> Option<Bytes> {
        let list = self.asker.lists().of(data_centre)?;
        let address = *list.seeds.get(seed)?;
        let answer = self.asker.ask(seed, address, topic::ASK, head, deadline);
        answer.await
    }

    fn stewards(&self) -> std::sync::MutexGuard<'_, BTreeMap<DataCentreId, ProcessName>> {
        self.stewards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
