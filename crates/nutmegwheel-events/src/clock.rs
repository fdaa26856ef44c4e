use std::sync::{Mutex, PoisonError};

use nutmegwheel_types::plain_copy;
use serde::{Deserialize, Serialize};

/// How far a stamp from another process may run ahead of this process's wall time, in ms.
///
/// A larger step is a broken clock; following it would drag the whole fleet along.
const AHEAD_LIMIT_MS: u64 = 60_000;

plain_copy! {
    /// A reading of the hybrid logical clock; a cause is always before its effect.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Stamp {
        /// Wall time in ms since 1970, or the greatest one heard of.
        pub millis: u64,
        /// Orders the events of one millisecond.
        pub count: u32,
    }
}

/// Tells the wall time, which serves the time line only and never a decision.
pub trait WallTime: Send + Sync {
    /// Milliseconds since 1970.
    fn millis(&self) -> u64;
}

/// The wall time of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemTime;

impl WallTime for SystemTime {
    fn millis(&self) -> u64 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

/// A hybrid logical clock, shared by all tasks of a process.
pub struct Clock {
    wall: Box<dyn WallTime>,
    last: Mutex<Stamp>,
}

impl Clock {
    /// Starts a clock over the given wall time.
    #[must_use]
    pub fn open(wall: impl WallTime + 'static) -> Self {
        Self {
            wall: Box::new(wall),
            last: Mutex::new(Stamp::default()),
        }
    }

    /// A stamp after every stamp read or heard of before.
    pub fn now(&self) -> Stamp {
        self.advance(Stamp::default())
    }

    /// Takes in a stamp that came with a message.
    pub fn hear(&self, stamp: Stamp) {
        if stamp.millis <= self.wall.millis().saturating_add(AHEAD_LIMIT_MS) {
            self.advance(stamp);
        }
    }

    fn advance(&self, heard: Stamp) -> Stamp {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let floor = heard.max(*last);
        let millis = self.wall.millis();
        *last = if millis > floor.millis {
            Stamp { millis, count: 0 }
        } else {
            Stamp {
                millis: floor.millis,
                count: floor.count.saturating_add(1),
            }
        };
        *last
    }
}
