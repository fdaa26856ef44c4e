//! What a connection does while its caller does not take the answers that are ready; see
//! docs/design/BODIES.md.

use std::time::Duration;

use nutmegwheel_events::Event;
use tokio::time::Instant;

use super::{Connection, Departed};
use crate::reading::Reading;

/// The interval at which a connection with a waiting answer looks whether memory is short.
const PRESSURE_POLL_INTERVAL: Duration = Duration::from_millis(250);

impl Connection<'_> {
    /// Shows the list of connections what the answers hold that are ready for the caller, and lets
    /// slow readers go if memory is short.
    pub(super) fn update_reading(&mut self, now: Instant) {
        let taken = self.output.take_taken();
        let held = self.waiting_bytes();
        if held == 0 {
            *self.socket.reading() = None;
            return;
        }
        let now = now.into_std();
        self.socket
            .reading()
            .get_or_insert_with(|| Reading::open(now))
            .update(now, held, self.output.is_empty(), taken);
        self.connections.evict_readers(now);
    }

    fn waiting_bytes(&self) -> usize {
        self.pipeline.waiting_bytes() + self.output.bytes()
    }

    /// When the answers that wait are looked at again.
    pub(super) fn reading_deadline(&self) -> Option<Instant> {
        let is_checked = self.connections.account.is_limited() && self.waiting_bytes() > 0;
        is_checked.then(|| Instant::now() + PRESSURE_POLL_INTERVAL)
    }

    /// Ends the connection without the answers that its caller has not taken.
    pub(super) fn evict_reader(&self) -> Departed {
        let held = self.waiting_bytes();
        let account = self.connections.account.held();
        self.service.journal.emit_rate_limited(
            Event::ReaderEvicted,
            &[
                ("caller", &self.peer),
                ("held", &held),
                ("account", &account),
            ],
        );
        Departed
    }
}
