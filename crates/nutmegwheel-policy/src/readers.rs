//! Which callers are evicted when the memory of a process is used up by answers that they do not
//! read; see docs/design/BODIES.md.

use std::{cmp::Reverse, time::Duration};

use nutmegwheel_types::plain_copy;

/// The rate, in bytes a second, from which on a caller is not evicted: an answer of 4 MiB, the
/// largest one, ends within the minute after which a caller that takes nothing is given up anyway.
pub const MIN_RATE: u64 = 4 * 1024 * 1024 / 60;
/// The window over which the rate is measured. Other delays on the way of a caller that reads are
/// shorter.
pub const WINDOW: Duration = Duration::from_secs(1);

plain_copy! {
    /// A caller that has not taken all bytes of the answers that are ready for it.
    pub struct Reader<K> {
        /// Identifies the caller's connection.
        pub key: K,
        /// The memory that the answers hold, in bytes.
        pub held: usize,
        /// The recent rate in bytes a second, or `None` if it is not known yet.
        pub rate: Option<u64>,
        /// Whether the answers wait for one that is to be sent before them, and not for the caller.
        pub is_ordered: bool,
    }
}

/// Chooses the readers to evict so that `excess` bytes are released, the slowest first, and among
/// equally slow ones those that hold most.
///
/// Callers whose answers wait for an earlier one go last. They have to go too: the earlier answer may
/// wait for the room that the later ones take.
pub fn choose<K: Copy>(excess: usize, readers: &[Reader<K>]) -> Vec<K> {
    let slow = readers.iter().filter_map(|reader| {
        let rate = reader.rate.filter(|rate| *rate < MIN_RATE)?;
        Some((rate, reader))
    });
    let mut slow: Vec<(u64, &Reader<K>)> = slow.collect();
    slow.sort_by_key(|(rate, reader)| (reader.is_ordered, *rate, Reverse(reader.held)));
    let mut released = 0;
    let chosen = slow.into_iter().take_while(|(_, reader)| {
        let is_needed = released < excess;
        released += reader.held;
        is_needed
    });
    chosen.map(|(_, reader)| reader.key).collect()
}
