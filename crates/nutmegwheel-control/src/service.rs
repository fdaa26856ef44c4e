use std::sync::Arc;

use bytes::Bytes;
use nutmegwheel_link::{Peer, Reply, Request, ServeFuture, Service, Topic};
use nutmegwheel_wire::{FetchView, topic};
use prost::Message as _;

use crate::log::Log;

/// Answers the other processes of the fleet.
pub(crate) struct ControlService {
    pub(crate) log: Arc<dyn Log>,
}

impl Service for ControlService {
    fn serve(&self, _peer: Peer, req: Request) -> ServeFuture {
        let body = match req.topic {
            topic::FETCH_VIEW => self.fetch_view(&req.head),
            _ => Bytes::new(),
        };
        let head = Bytes::new();
        Box::pin(async move { Reply { head, body } })
    }

    fn notice(&self, _peer: Peer, _topic: Topic, _body: Bytes) {}
}

impl ControlService {
    /// The newest view, or nothing when the asker holds it.
    fn fetch_view(&self, head: &[u8]) -> Bytes {
        let have = FetchView::decode(head).map_or(0, |fetch| fetch.have);
        let view = self.log.view();
        if view.version > have {
            view.encode().into()
        } else {
            Bytes::new()
        }
    }
}
