use std::sync::Arc;

use bytes::Bytes;
use nutmegwheel_link::{Peer, Request, ServeFuture, Service, Topic};
use nutmegwheel_wire::topic;

use crate::{log::ReplicatedLog, members::Members};

/// Answers the other processes of the fleet.
pub(crate) struct ControlService {
    pub(crate) members: Arc<Members>,
    pub(crate) log: Arc<ReplicatedLog>,
}

impl Service for ControlService {
    fn serve(&self, _peer: Peer, req: Request) -> ServeFuture {
        let log = self.log.clone();
        Box::pin(async move { log.serve(req.topic, req.body).await })
    }

    fn notice(&self, peer: Peer, topic: Topic, body: Bytes) {
        match topic {
            topic::GOSSIP => self.members.receive(&peer, &body),
            topic::AGREEMENT => self.log.receive(&body),
            _ => {}
        }
    }
}
