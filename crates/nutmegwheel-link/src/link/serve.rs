use std::sync::Arc;

use super::{Link, now};
use crate::{Reply, Request, Service, mux::StreamId};

/// Runs the service for one request in its own task.
///
/// The task is entered into the table of running ones under the lock that it needs to leave it, so
/// that no entry can stay behind.
pub(super) fn spawn(link: &Arc<Link>, service: Arc<dyn Service>, stream: StreamId, req: Request) {
    let responder = Responder {
        link: link.clone(),
        stream,
        is_sent: false,
    };
    let peer = link.peer.clone();
    let mut state = link.state();
    let task = tokio::spawn(async move {
        let reply = service.serve(peer, req).await;
        responder.send(reply);
    });
    state.running.insert(stream, task.abort_handle());
}

/// The duty to answer a stream, which is met even if the service panics.
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
