use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use nutmegwheel_link::{Peer, Reply, Request, ServeFuture, Service, Topic};
use nutmegwheel_wire::{CallHead, ReplyHead, topic};
use prost::Message as _;

use crate::{
    call::{self, Answer, Call},
    gossip,
    refusal::{Reason, Refusal},
    running::Parent,
    shared::Shared,
};

/// What became of a call at its target.
pub(crate) struct Served {
    pub(crate) result: Result<Answer, Refusal>,
    /// The retries that the branch did not spend.
    pub(crate) retry_tokens: u32,
}

/// Runs a call on this node's own backend server.
pub(crate) async fn serve(shared: &Shared, call: Call) -> Served {
    let retry_tokens = call.context.retry_tokens;
    let refused = |refusal| Served {
        result: Err(refusal),
        retry_tokens,
    };
    let _in_flight = shared.enter();
    let address = match admit(shared, &call) {
        Ok(address) => address,
        Err(refusal) => return refused(refusal),
    };
    let parent = Parent {
        context: call.context.clone(),
        key: call.key,
        deadline: call.deadline,
    };
    let entry = shared.running.enter(parent);
    let result = shared.local.run(address, &call, entry.token).await;
    Served {
        result,
        retry_tokens: entry.retry_tokens(),
    }
}

fn admit(shared: &Shared, call: &Call) -> Result<std::net::SocketAddr, Refusal> {
    if call.deadline <= Instant::now() {
        let detail = "the deadline passed before the request was begun";
        return Err(Refusal::not_run(Reason::Deadline, detail));
    }
    let view = shared.views.current();
    if call.key.is_some_and(|key| view.withdrawn.contains(&key)) {
        return Err(Refusal::not_run(
            Reason::KeyWithdrawn,
            "the key is withdrawn",
        ));
    }
    shared.local.ready(&call.service)
}

/// Answers the other processes of the fleet.
pub(crate) struct NodeService {
    pub(crate) shared: Arc<Shared>,
}

impl Service for NodeService {
    fn serve(&self, _peer: Peer, req: Request) -> ServeFuture {
        let shared = self.shared.clone();
        Box::pin(async move {
            match req.topic {
                topic::CALL => answer_call(&shared, req).await,
                topic::FETCH_VIEW => fetch_view(&shared, &req.head),
                _ => empty(),
            }
        })
    }

    fn notice(&self, _peer: Peer, topic: Topic, body: Bytes) {
        if topic == topic::GOSSIP {
            gossip::hear(&self.shared, &body);
        }
    }
}

async fn answer_call(shared: &Shared, req: Request) -> Reply {
    let now = Instant::now();
    let served = match read_call(shared, req, now) {
        Ok(call) => serve(shared, call).await,
        Err(refusal) => Served {
            result: Err(refusal),
            retry_tokens: 0,
        },
    };
    let mut head = ReplyHead {
        retry_tokens: served.retry_tokens,
        ..ReplyHead::default()
    };
    let body = match served.result {
        Ok(answer) => {
            head.status = answer.status.as_u16().into();
            head.fields = call::fields_to_wire(&answer.fields);
            answer.body
        }
        Err(refusal) => {
            head.refusal = Some(refusal.to_wire());
            Bytes::new()
        }
    };
    Reply {
        head: head.encode_to_vec().into(),
        body,
    }
}

fn read_call(shared: &Shared, req: Request, now: Instant) -> Result<Call, Refusal> {
    let malformed = |e: &dyn std::fmt::Display| {
        Refusal::not_run(Reason::BadRequest, format!("the call is malformed: {e}"))
    };
    let head = CallHead::decode(req.head).map_err(|e| malformed(&e))?;
    if head.target_incarnation != shared.incarnation {
        let detail = "the call was meant for an earlier life of this node";
        return Err(Refusal::not_run(Reason::LinkLost, detail));
    }
    Call::from_wire(head, req.body, now).map_err(|e| malformed(&e))
}

fn fetch_view(shared: &Shared, head: &[u8]) -> Reply {
    let have = nutmegwheel_wire::FetchView::decode(head).map_or(0, |fetch| fetch.have);
    let view = shared.views.current();
    let body = if view.version > have {
        view.encode().into()
    } else {
        Bytes::new()
    };
    Reply {
        head: Bytes::new(),
        body,
    }
}

fn empty() -> Reply {
    Reply {
        head: Bytes::new(),
        body: Bytes::new(),
    }
}
