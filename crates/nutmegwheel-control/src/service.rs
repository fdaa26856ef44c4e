use std::sync::Arc;

use bytes::Bytes;
use nutmegwheel_link::{Peer, Reply, Request, ServeFuture, Service, Topic};
use nutmegwheel_wire::topic;

use crate::members::Members;

/// Answers the other processes of the fleet.
pub(crate) struct ControlService {
    pub(crate) members: Arc<Members>,
}

impl Service for ControlService {
    fn serve(&self, _peer: Peer, _req: Request) -> ServeFuture {
        Box::pin(async {
            Reply {
                head: Bytes::new(),
                body: Bytes::new(),
            }
        })
    }

    fn notice(&self, peer: Peer, topic: Topic, body: Bytes) {
        if topic == topic::GOSSIP {
            self.members.receive(&peer, &body);
        }
    }
}
