//! The end of a connection.

use std::io;

use nutmegwheel_events::Event;
use nutmegwheel_http1::Stage;
use tokio::time::{Instant, timeout_at};

use super::{Connection, Departed, READ_BYTES};
use crate::timing::Expired;

impl Connection<'_> {
    /// The next time at which [`Self::expire`] may find something.
    pub(super) fn deadline(&self) -> Instant {
        let at = self.timing.deadline(!self.output.is_empty());
        let others = [self.reception_deadline(), self.reading_deadline()];
        others.into_iter().flatten().fold(at, Instant::min)
    }

    /// Ends what its caller took too long for.
    pub(super) fn expire(&mut self, now: Instant) -> Result<(), Departed> {
        match self.timing.expired(now, !self.output.is_empty()) {
            Some(Expired::Writing) => return Err(Departed),
            Some(Expired::Receiving(Stage::Body)) => self.refuse_late_body(),
            Some(Expired::Receiving(Stage::Head) | Expired::Idle) => self.pipeline.close(),
            None => self.check_reception(now),
        }
        Ok(())
    }
    /// Begins the requests that have arrived, and none after them.
    pub(super) async fn stop(&mut self) -> Result<(), Departed> {
        if self.socket.has_unread() {
            // The runtime reads only from a socket that it knows to be readable.
            let ready = self.socket.stream.readable().await;
            ready.map_err(|_| Departed)?;
            self.read()?;
        }
        self.begin_requests();
        self.pipeline.close();
        Ok(())
    }

    /// Ends the connection after its last response.
    pub(super) async fn linger(&mut self) {
        self.socket.shutdown_write();
        let stream = &self.socket.stream;
        let peer_closed = async {
            while stream.readable().await.is_ok() {
                self.received.clear();
                self.received.reserve(READ_BYTES);
                match stream.try_read_buf(&mut self.received) {
                    Ok(0) => break,
                    Ok(_) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        // A caller that neither closes its side nor stops sending is reset.
        let _ = timeout_at(self.timing.linger_deadline(), peer_closed).await;
    }

    /// Records a request that was complete when its caller left, but not begun.
    pub(super) fn report_abandoned(&mut self) {
        let waiting = self.waiting.take();
        let next = waiting.or_else(|| self.decoder.decode(&mut self.received).ok().flatten());
        if let Some(req) = next {
            self.service.journal.emit_rate_limited(
                Event::RequestAbandoned,
                &[("caller", &self.peer), ("path", &req.head.uri.path())],
            );
        }
    }
}
