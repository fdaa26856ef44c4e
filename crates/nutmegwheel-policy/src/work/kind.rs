use std::time::{Duration, Instant};

/// The time in which the weight of a service time halves.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The weight below which old service times do not fall by age, so that a kind of few requests
/// keeps an estimate that does not rest on the last one alone.
const MIN_WEIGHT: f64 = 8.0;
/// The weight from which an estimate is reported.
const MIN_REPORTED_WEIGHT: f64 = 4.0;
/// The number of buckets of a histogram; the last one holds all longer times.
const BUCKETS: usize = 40;
/// The buckets in which times double.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// The upper end of the first bucket.
const FIRST_BUCKET: Duration = Duration::from_millis(1);
/// The number of times in a histogram from which all counts are halved.
const MAX_COUNT: u32 = 256;

/// What was learned of the requests of one kind at one backend server.
#[derive(Debug)]
pub(crate) struct Kind {
    /// The weighted sum of the logarithms of service times in seconds. Their mean is robust against
    /// the few requests that take many times as long, which say nothing about the server's speed.
    log_sum: f64,
    weight: f64,
    updated_at: Instant,
    /// The times for which requests held a slot, by their length.
    held: [u32; BUCKETS],
    count: u32,
}

impl Kind {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            log_sum: 0.0,
            weight: 0.0,
            updated_at: now,
            held: [0; BUCKETS],
            count: 0,
        }
    }

    /// Adds a request that held a slot for `held`, and worked itself for `service` of this time.
    pub(crate) fn add(&mut self, now: Instant, held: Duration, service: Duration) {
        let idle = now.saturating_duration_since(self.updated_at);
        let faded = self.weight * (-idle.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let kept = faded.max(self.weight.min(MIN_WEIGHT));
        if self.weight > 0.0 {
            self.log_sum *= kept / self.weight;
        }
        self.log_sum += service.max(Duration::from_micros(1)).as_secs_f64().ln();
        self.weight = kept + 1.0;
        self.updated_at = now;
        self.held[bucket(held)] += 1;
        self.count += 1;
        if self.count >= MAX_COUNT {
            for count in &mut self.held {
                *count /= 2;
            }
            self.count = self.held.iter().sum();
        }
    }

    /// The typical service time, which is the geometric mean, once enough requests were seen.
    pub(crate) fn service(&self) -> Option<Duration> {
        if self.weight < MIN_REPORTED_WEIGHT {
            return None;
        }
        Duration::try_from_secs_f64((self.log_sum / self.weight).exp()).ok()
    }

    /// The time for which a request that has held its slot for `age` is expected to hold it on.
    ///
    /// This is the mean over the requests that took longer. With a heavy tail it grows with the
    /// age. A request older than any that was seen is expected to take as long again.
    pub(crate) fn remaining(&self, age: Duration) -> Option<Duration> {
        if self.count == 0 {
            return None;
        }
        let first = bucket(age);
        let (mut count, mut seconds) = (0.0, 0.0);
        for (n, held) in self.held.iter().enumerate().skip(first) {
            let held = f64::from(*held);
            count += held;
            seconds += held * middle(n);
        }
        let age_seconds = age.as_secs_f64();
        if count == 0.0 {
            return Some(age);
        }
        // Within its bucket an old request may be past the middle of the bucket.
        let shortest = FIRST_BUCKET.as_secs_f64() / 2.0;
        let left = (seconds / count - age_seconds).max(shortest);
        Duration::try_from_secs_f64(left).ok()
    }
}

fn bucket(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    if ratio <= 1.0 {
        return 0;
    }
    let position = (ratio.log2() * BUCKETS_PER_OCTAVE).ceil();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let position = position.min(40.0) as usize;
    position.min(BUCKETS - 1)
}

/// The middle of a bucket, in seconds.
fn middle(bucket: usize) -> f64 {
    let steps = f64::from(u32::try_from(bucket).unwrap_or(u32::MAX)) - 0.5;
    FIRST_BUCKET.as_secs_f64() * (steps / BUCKETS_PER_OCTAVE).exp2()
}
