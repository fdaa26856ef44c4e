use std::sync::Arc;

use super::{Link, now};
use crate::{Reply, Request, Service, mux::StreamId};

/// Runs the service for one request in its own task.
///
/// The task is entered into the table of running ones under the lock that it needs to leave it, so
/// that no entry can stay behind.
pub(super) fn spawn(link: &Arc<Link>, service: Arc<dyn Service>, stream: StreamId, req: Request) {
    let answer = Answer {
        link: link.clone(),
        stream,
        is_given: false,
    };
    let peer = link.peer.clone();
    let mut state = link.state();
    let task = tokio::spawn(async move {
        let reply = service.serve(peer, req).await;
        answer.give(reply);
    });
    state.running.insert(stream, task.abort_handle());
}

/// The duty to answer a stream, which is met even if the service panics.
struct Answer {
    link: Arc<Link>,
    stream: StreamId,
    is_given: bool,
}

impl Answer {
    fn give(mut self, reply: Reply) {
        self.is_given = true;
        let mut state = self.link.state();
        state.running.remove(&self.stream);
        state.mux.answer(self.stream, reply, now());
        drop(state);
        self.link.wake.notify_one();
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.is_given {
            return;
        }
        let mut state = self.link.state();
        state.running.remove(&self.stream);
        state.mux.give_up(self.stream);
        drop(state);
        self.link.wake.notify_one();
    }
}
