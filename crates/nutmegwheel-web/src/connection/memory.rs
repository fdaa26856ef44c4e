//! What a connection does while the memory for incomplete requests is limited; see
//! docs/design/MEMORY.md.

use std::time::Duration;

use nutmegwheel_events::Event;
use nutmegwheel_http1::Stage;
use tokio::time::Instant;

use super::{Connection, Departed};
use crate::{Problem, listener::RECEIVE_BUFFER_BYTES, reception::Reception};

/// The interval at which a connection whose bytes are not read asks for memory again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The bytes that the kernel holds for a connection at most, which is twice the size that is asked
/// for; see socket(7).
const UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;

impl Connection<'_> {
    pub(super) fn record_received(&mut self, bytes: usize) {
        if let Some(reception) = &mut *self.socket.reception() {
            reception.record(std::time::Instant::now(), bytes);
        }
    }

    /// Shows the list of connections what the incomplete request holds, and evicts others
    /// if that is not enough.
    pub(super) fn update_reception(&mut self, now: Instant, is_receiving: bool) {
        let mut reception = self.socket.reception();
        if !is_receiving || self.pipeline.is_closing() {
            *reception = None;
            self.unread.shrink(UNREAD_BYTES);
            return;
        }
        let lacks_memory = self.decoder.lacks_memory();
        let is_unread_covered = self.decoder.stage() == Stage::Head
            || self.unread.bytes() > 0
            || self.unread.try_grow(UNREAD_BYTES);
        let now = now.into_std();
        let known = reception.get_or_insert_with(|| Reception::open(now));
        known.update(
            now,
            self.decoder.stage(),
            self.decoder.held_bytes(),
            lacks_memory,
        );
        let asker = known.asker(now);
        drop(reception);
        if asker.must_be_evicted() {
            self.refuse_for_memory();
        } else if lacks_memory || !is_unread_covered {
            self.connections.evict_senders(asker, now);
        }
    }

    /// When the incomplete request is looked at again.
    pub(super) fn reception_deadline(&self) -> Option<Instant> {
        if !self.connections.account.is_limited() {
            return None;
        }
        if self.decoder.lacks_memory() {
            return Some(Instant::now() + MEMORY_POLL_INTERVAL);
        }
        let reception = self.socket.reception();
        let now = std::time::Instant::now();
        reception.as_ref()?.deadline(now).map(Instant::from_std)
    }

    /// Refuses a request that arrives too slowly.
    pub(super) fn check_reception(&mut self, now: Instant) {
        let reception = self.socket.reception();
        let is_too_slow = |known: &Reception| known.is_too_slow(now.into_std());
        let is_too_slow = reception.as_ref().is_some_and(is_too_slow);
        drop(reception);
        if is_too_slow {
            self.refuse_as_slow();
        }
    }

    /// Refuses a body that did not arrive in time.
    pub(super) fn refuse_late_body(&mut self) {
        if self.decoder.lacks_memory() {
            self.refuse_for_memory();
        } else if self.connections.account.is_limited() {
            self.refuse_as_slow();
        } else {
            self.refuse(Problem::bad_request("the body did not arrive in time"));
        }
    }

    /// Refuses the incomplete request, since others need its memory or its connection.
    pub(super) fn evict(&mut self) -> Result<(), Departed> {
        if self.socket.is_reader_evicted() {
            return Err(self.evict_reader());
        }
        let has_begun = self.decoder.stage() == Stage::Body || !self.received.is_empty();
        // It may have arrived completely meanwhile.
        if !has_begun || self.waiting.is_some() || self.pipeline.is_closing() {
            return Ok(());
        }
        if self.socket.is_displaced() && self.pipeline.is_empty() {
            return Err(Departed);
        }
        self.refuse_for_memory();
        Ok(())
    }

    fn refuse_for_memory(&mut self) {
        self.report(Event::RequestEvicted);
        self.end_with(Problem::out_of_memory());
    }

    fn refuse_as_slow(&mut self) {
        self.report(Event::RequestTooSlow);
        self.end_with(Problem::too_slow());
    }

    fn report(&self, event: Event) {
        let held = self.decoder.held_bytes();
        let account = self.connections.account.held();
        self.service.journal.emit_rate_limited(
            event,
            &[
                ("caller", &self.peer),
                ("held", &held),
                ("account", &account),
            ],
        );
    }
}
