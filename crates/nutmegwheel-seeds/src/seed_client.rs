use std::{net::SocketAddr, sync::Arc, time::Instant};

use bytes::Bytes;
use nutmegwheel_link::{Endpoint, Request, Topic};
use nutmegwheel_types::ProcessName;

use crate::{SeedLists, SeedService};

/// A process that asks seeds, and may be one of them itself.
#[derive(Clone)]
pub struct SeedClient {
    name: ProcessName,
    endpoint: Endpoint,
    local: Option<Arc<SeedService>>,
    lists: Arc<SeedLists>,
}

/// Lifecycle.
impl SeedClient {
    /// Opens the side of the process `name` with its own duty, where it is a seed.
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

/// Access.
impl SeedClient {
    pub(crate) fn lists(&self) -> &SeedLists {
        &self.lists
    }

    /// The duty of this process where the seed of that name is this very process.
    pub(crate) fn local(&self, seed: &ProcessName) -> Option<&SeedService> {
        self.local.as_deref().filter(|_| *seed == self.name)
    }

    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }
}

/// Asking.
impl SeedClient {
    /// Asks a seed; this process answers itself without a link.
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
