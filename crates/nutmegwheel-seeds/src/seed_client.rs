use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use nutmegwheel_link::{Endpoint, Request, Topic};
use nutmegwheel_types::ProcessName;

use crate::{SeedLists, SeedService};

/// Sends requests to seeds, one of which may be this process itself.
#[derive(Clone)]
pub struct SeedClient {
    name: ProcessName,
    endpoint: Endpoint,
    local: Option<Arc<SeedService>>,
    lists: Arc<SeedLists>,
}

impl SeedClient {
    /// Creates a client for the process `name`. `local` is the service of that process if it is a
    /// seed.
    #[must_use]
    pub fn open(
        name: ProcessName,
        endpoint: Endpoint,
        local: Option<Arc<SeedService>>,
        lists: Arc<SeedLists>,
    ) -> Self {
        Self {
            name,
            endpoint,
            local,
            lists,
        }
    }
}

impl SeedClient {
    pub(crate) fn lists(&self) -> &SeedLists {
        &self.lists
    }

    /// The service of this process, if `seed` is the name of this process and it is a seed.
    pub(crate) fn local(&self, seed: &ProcessName) -> Option<&SeedService> {
        self.local.as_deref().filter(|_| *seed == self.name)
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }
}

impl SeedClient {
    /// Sends a request to a seed, and returns the body of its reply, or `None` if there was no
    /// reply before the deadline. If the seed is this process, its service is called without a
    /// link.
    pub(crate) async fn request(
        &self,
        seed: &ProcessName,
        address: SocketAddr,
        topic: Topic,
        head: Bytes,
        deadline: Instant,
    ) -> Option<Bytes> {
        if let Some(local) = self.local(seed) {
            return Some(local.serve(topic, head));
        }
        let req = Request {
            topic,
            head,
            body: Bytes::new(),
        };
        let reply = self.endpoint.call(address, req, deadline).await;
        reply.ok().map(|reply| reply.body)
    }
}
