use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use nutmegwheel_limits::messages::{Grant, TokenRequest};
use nutmegwheel_types::{DataCentreId, ProcessName};
use nutmegwheel_wire::{self as wire, topic};
use prost::Message as _;

use crate::{
    SeedClient,
    limits_wire::{grant_from_wire, token_request_to_wire},
    token_server_role::TOKEN_REQUEST_TIMEOUT,
};

/// Requests tokens from the token servers of data centres, for an ingress node.
#[derive(Clone)]
pub struct TokenClient {
    seeds: SeedClient,
    /// For each data centre, the seed that last granted tokens.
    token_servers: Arc<Mutex<BTreeMap<DataCentreId, ProcessName>>>,
}

impl TokenClient {
    /// Creates a client that sends its messages through `seeds`.
    #[must_use]
    pub fn open(seeds: SeedClient) -> Self {
        Self {
            seeds,
            token_servers: Arc::default(),
        }
    }
}

impl TokenClient {
    /// Requests tokens from the token server of a data centre. Asks the seeds of the data centre
    /// one after the other, since any of them may have become the token server.
    pub async fn request(&self, data_centre: &DataCentreId, req: &TokenRequest) -> Option<Grant> {
        let head = Bytes::from(token_request_to_wire(req).encode_to_vec());
        let deadline = Instant::now() + TOKEN_REQUEST_TIMEOUT;
        for seed in self.seeds_to_try(data_centre) {
            let reply = self
                .request_from_seed(data_centre, &seed, head.clone(), deadline)
                .await;
            let grant = reply.and_then(|reply| wire::Grant::decode(reply).ok());
            if let Some(grant) = grant.and_then(grant_from_wire) {
                self.token_servers().insert(data_centre.clone(), seed);
                return Some(grant);
            }
            self.token_servers().remove(data_centre);
            if Instant::now() >= deadline {
                break;
            }
        }
        None
    }

    /// The names of the seeds of a data centre, starting with the last known token server.
    fn seeds_to_try(&self, data_centre: &DataCentreId) -> Vec<ProcessName> {
        let list = self.seeds.lists().get(data_centre);
        let mut names: Vec<_> = list
            .into_iter()
            .flat_map(|list| list.seeds.keys().cloned())
            .collect();
        let known = self.token_servers().get(data_centre).cloned();
        names.sort_by_key(|name| Some(name) != known.as_ref());
        names
    }

    async fn request_from_seed(
        &self,
        data_centre: &DataCentreId,
        seed: &ProcessName,
        head: Bytes,
        deadline: Instant,
    ) -> Option<Bytes> {
        let list = self.seeds.lists().get(data_centre)?;
        let address = *list.seeds.get(seed)?;
        let reply = self
            .seeds
            .request(seed, address, topic::TOKEN_REQUEST, head, deadline);
        reply.await
    }

    fn token_servers(&self) -> std::sync::MutexGuard<'_, BTreeMap<DataCentreId, ProcessName>> {
        self.token_servers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
