//! A request that its handler is working on, and its response.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use http::header;
use nutmegwheel_http1::{Framing, Sequence};
use nutmegwheel_memory::Hold;

use crate::{HandlerFuture, Response};

/// A request that its handler is working on.
pub(crate) struct InProgress {
    pub(crate) sequence: Sequence,
    pub(crate) framing: Framing,
    pub(crate) future: HandlerFuture,
    /// The memory of the body, which is held until the response is there.
    pub(crate) _hold: Hold,
}

/// The response to a request, and how it is to be written.
pub(crate) struct Answer {
    pub(crate) res: Response,
    pub(crate) framing: Framing,
}

impl Future for InProgress {
    type Output = (Sequence, Answer);

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let (sequence, framing) = (self.sequence, self.framing);
        let poll = self.future.as_mut().poll(cx);
        poll.map(|res| (sequence, Answer { res, framing }))
    }
}

impl Answer {
    /// Whether the response asks for the end of the connection.
    pub(crate) fn asks_for_close(&self) -> bool {
        let values = self.res.headers().get_all(header::CONNECTION).iter();
        values
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    }
}
