use std::sync::{Mutex, PoisonError};

use nutmegwheel_types::plain_copy;
use serde::{Deserialize, Serialize};

/// How far a timestamp from another process may be ahead of this process's wall time, in ms.
///
/// A larger lead means that the other clock is wrong. Adopting it would carry the error to every
/// process of the fleet.
const MAX_AHEAD_MS: u64 = 60_000;

plain_copy! {
    /// A reading of the hybrid logical clock. Timestamps order every event after its causes.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Timestamp {
        /// Wall time in ms since the Unix epoch, or the greatest observed one if that is later.
        pub millis: u64,
        /// Orders the events within one millisecond.
        pub count: u32,
    }
}

/// A source of wall time, which is used only to order the timeline and never to make decisions.
pub trait WallTime: Send + Sync {
    /// Milliseconds since the Unix epoch.
    fn millis(&self) -> u64;
}

/// The wall time of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemTime;

impl WallTime for SystemTime {
    fn millis(&self) -> u64 {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since_epoch.map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

/// A hybrid logical clock, shared by all tasks of a process.
pub struct Clock {
    wall: Box<dyn WallTime>,
    last: Mutex<Timestamp>,
}

impl Clock {
    /// Creates a clock that reads the given wall time.
    #[must_use]
    pub fn open(wall: impl WallTime + 'static) -> Self {
        Self {
            wall: Box::new(wall),
            last: Mutex::new(Timestamp::default()),
        }
    }

    /// A timestamp after every one that was returned or observed before.
    pub fn now(&self) -> Timestamp {
        self.advance(Timestamp::default())
    }

    /// Advances the clock past a timestamp that came with a message, unless that is too far ahead.
    pub fn observe(&self, timestamp: Timestamp) {
        if timestamp.millis <= self.wall.millis().saturating_add(MAX_AHEAD_MS) {
            self.advance(timestamp);
        }
    }

    fn advance(&self, observed: Timestamp) -> Timestamp {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = observed.max(*last);
        let millis = self.wall.millis();
        *last = if millis > latest.millis {
            Timestamp { millis, count: 0 }
        } else {
            Timestamp {
                millis: latest.millis,
                count: latest.count.saturating_add(1),
            }
        };
        *last
    }
}
