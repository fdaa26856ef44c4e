//! Which callers are evicted when the memory or the connections of a listener are used up by requests
//! that have not arrived completely; see docs/design/MEMORY.md.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use nutmegwheel_types::{plain, plain_copy};

/// The size, in bytes, up to which a request is small. Ordinary requests are: the platform's callers
/// send some KiB.
pub const SMALL_BYTES: usize = 64 * 1024;
/// How long a large body waits for room before others are evicted for it. Callers abandon a connection
/// whose request is not read within one second.
pub const MAX_PAUSE: Duration = Duration::from_millis(500);
/// How long bytes of a caller are left unread at most, before the caller itself is evicted: the time
/// that most callers wait for an answer.
pub const MAX_WAIT: Duration = Duration::from_secs(3);
/// The progress, in bytes a second, below which a caller is slow: its body of some KiB would take
/// longer than callers wait for an answer.
pub const MIN_RATE: u64 = 500;
/// The part of the candidates that is evicted at a time. Finding them looks at all senders.
const EVICTED_FRACTION: usize = 32;

plain_copy! {
    /// A caller whose request has not arrived completely.
    pub struct Sender<K> {
        /// Identifies the caller's connection.
        pub key: K,
        /// The memory that the request holds, in bytes.
        pub held: usize,
        /// The time since the request began to arrive.
        pub age: Duration,
        /// The recent progress in bytes a second, or `None` if it is not known yet.
        pub rate: Option<u64>,
        /// Whether its bytes are not read for lack of memory.
        pub is_paused: bool,
    }

    /// The caller that needs room. By default, it is a new one.
    #[derive(Default)]
    pub struct Asker {
        /// The memory that its request holds, in bytes.
        pub held: usize,
        /// How long its bytes have not been read.
        pub paused: Duration,
    }
}

plain! {
    /// The progress of one sender, measured over windows of time.
    pub struct Progress {
        window: Duration,
        since: Instant,
        bytes: u64,
        previous: Option<u64>,
    }
}

/// Why a sender is a candidate, in the order in which they are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Ground {
    SlowAndLarge,
    Large,
    Slow,
}

/// Chooses the senders to evict for `asker`; none if it should wait.
///
/// Slow senders with large bodies go first, the largest before the others. A small request, or one
/// that has waited long enough, also displaces large bodies that arrive well, the newest first, so
/// that older ones end; and then slow small ones, the oldest first.
pub fn choose<K: Copy>(asker: Asker, senders: &[Sender<K>]) -> Vec<K> {
    let may_wait = asker.held > SMALL_BYTES && asker.paused < MAX_PAUSE;
    let ground = |sender: &Sender<K>| {
        let is_large = sender.held > SMALL_BYTES;
        let is_slow = !sender.is_paused && sender.rate.is_some_and(|rate| rate < MIN_RATE);
        match (is_large, is_slow) {
            (true, true) => Some(Ground::SlowAndLarge),
            (true, false) => Some(Ground::Large).filter(|_| !may_wait),
            (false, true) => Some(Ground::Slow).filter(|_| !may_wait),
            (false, false) => None,
        }
    };
    let candidates = senders.iter().filter_map(|s| Some((ground(s)?, s)));
    let mut candidates: Vec<(Ground, &Sender<K>)> = candidates.collect();
    candidates.sort_by_key(|(ground, sender)| {
        let order = match ground {
            Ground::SlowAndLarge => (Reverse(sender.held), Duration::ZERO),
            Ground::Large => (Reverse(0), sender.age),
            Ground::Slow => (Reverse(0), Duration::MAX.saturating_sub(sender.age)),
        };
        (*ground, order)
    });
    candidates.truncate(candidates.len().div_ceil(EVICTED_FRACTION));
    candidates.iter().map(|(_, sender)| sender.key).collect()
}

impl Asker {
    /// Whether it has waited as long as any caller may.
    #[must_use]
    pub fn must_be_evicted(self) -> bool {
        self.paused >= MAX_WAIT
    }
}

impl Progress {
    /// Opens the measurement over windows of the given length.
    #[must_use]
    pub fn open(now: Instant, window: Duration) -> Self {
        Self {
            window,
            since: now,
            bytes: 0,
            previous: None,
        }
    }

    /// Records bytes that have arrived.
    pub fn record(&mut self, now: Instant, bytes: usize) {
        if now >= self.since + self.window {
            self.previous = self.rate(now);
            self.since = now;
            self.bytes = 0;
        }
        self.bytes += bytes as u64;
    }

    /// Begins anew after a time in which nothing could arrive.
    pub fn restart(&mut self, now: Instant) {
        *self = Self::open(now, self.window);
    }

    /// The progress in bytes a second, or `None` if it was not measured for a whole window.
    #[must_use]
    pub fn rate(&self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < self.window {
            return self.previous;
        }
        if elapsed >= 2 * self.window {
            return Some(0);
        }
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Some(self.bytes * 1000 / millis.max(1))
    }

    /// Whether the progress is below [`MIN_RATE`].
    #[must_use]
    pub fn is_slow(&self, now: Instant) -> bool {
        self.rate(now).is_some_and(|rate| rate < MIN_RATE)
    }

    /// The next time at which [`Self::is_slow`] may become true without further bytes.
    #[must_use]
    pub fn deadline(&self, now: Instant) -> Instant {
        let end = self.since + self.window;
        if now < end { end } else { end + self.window }
    }
}
