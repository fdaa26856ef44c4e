use std::{sync::Arc, time::Instant};

use super::{Link, now};
use crate::{Reply, Request, Service, mux::StreamId};

/// Runs the service for one request in its own task.
///
/// The task is spawned and registered while holding the lock that it needs to remove itself, so
/// that it cannot finish before it is registered and leave a stale entry.
pub(super) fn spawn(
    link: &Arc<Link>,
    service: Arc<dyn Service>,
    stream: StreamId,
    req: Request,
    deadline: Option<Instant>,
) {
    let responder = Responder {
        link: link.clone(),
        stream,
        is_sent: false,
    };
    let peer = link.peer.clone();
    let mut state = link.state();
    let task = tokio::spawn(async move {
        let reply = service.serve(peer, req, deadline).await;
        responder.send(reply);
    });
    state.running.insert(stream, task.abort_handle());
}

/// Sends the reply on a stream. If it is dropped without a reply, for example because the service
/// panicked, it reports a failure to the peer.
struct Responder {
    link: Arc<Link>,
    stream: StreamId,
    is_sent: bool,
}

impl Responder {
    fn send(mut self, reply: Reply) {
        self.is_sent = true;
        let mut state = self.link.state();
        state.running.remove(&self.stream);
        state.mux.answer(self.stream, reply, now());
        drop(state);
        self.link.wake.notify_one();
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let mut state = self.link.state();
        state.running.remove(&self.stream);
        state.mux.fail_request(self.stream);
        drop(state);
        self.link.wake.notify_one();
    }
}
