//! How long a connection may wait for its caller.

use std::time::Duration;

use nutmegwheel_http1::Stage;
use nutmegwheel_types::plain_copy;
use tokio::time::Instant;

/// The maximum idle time of a connection.
const KEEP_ALIVE: Duration = Duration::from_mins(2);
/// The time after which a caller that takes no byte of a response is given up.
const WRITE_TIMEOUT: Duration = Duration::from_mins(1);
/// How long bytes that cross the end of a connection are read, since unread ones would reset it and
/// destroy the last response on its way.
const LINGER_TIME: Duration = Duration::from_secs(1);

plain_copy! {
    /// What a caller took too long for.
    pub(crate) enum Expired {
        /// To send the rest of a request.
        Receiving(Stage),
        /// To send another request.
        Idle,
        /// To take bytes of a response.
        Writing,
    }
}

/// The times at which the waits of a connection began.
pub(crate) struct Timing {
    read_timeout: Duration,
    /// The part of a request that is being received, and since when.
    receiving: Option<(Stage, Instant)>,
    /// When the last request ended.
    idle_since: Instant,
    /// When the caller last took bytes of a response.
    written_at: Instant,
}

impl Timing {
    pub(crate) fn open(now: Instant, read_timeout: Duration) -> Self {
        Self {
            read_timeout,
            receiving: None,
            idle_since: now,
            written_at: now,
        }
    }

    /// Records the part of a request that is being received, and whether a request is in progress.
    /// Returns since when the connection is idle, if it is.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        receiving: Option<Stage>,
        is_busy: bool,
    ) -> Option<Instant> {
        self.receiving = receiving.map(|stage| match self.receiving {
            Some((same, since)) if same == stage => (stage, since),
            _ => (stage, now),
        });
        let is_idle = !is_busy && receiving.is_none();
        if !is_idle {
            self.idle_since = now;
        }
        is_idle.then_some(self.idle_since)
    }

    pub(crate) fn record_write(&mut self, now: Instant) {
        self.written_at = now;
    }

    /// The next time at which [`Self::expired`] may find something.
    pub(crate) fn deadline(&self, is_writing: bool) -> Instant {
        let receiving = self.receiving.map(|(_, since)| since + self.read_timeout);
        let writing = is_writing.then(|| self.written_at + WRITE_TIMEOUT);
        let waits = [receiving, writing].into_iter().flatten();
        waits.fold(self.idle_since + KEEP_ALIVE, Instant::min)
    }

    pub(crate) fn expired(&self, now: Instant, is_writing: bool) -> Option<Expired> {
        if is_writing && now >= self.written_at + WRITE_TIMEOUT {
            return Some(Expired::Writing);
        }
        if let Some((stage, since)) = self.receiving
            && now >= since + self.read_timeout
        {
            return Some(Expired::Receiving(stage));
        }
        (now >= self.idle_since + KEEP_ALIVE).then_some(Expired::Idle)
    }

    /// Until when bytes are read after the last response.
    pub(crate) fn linger_deadline(&self) -> Instant {
        self.written_at + LINGER_TIME
    }
}
