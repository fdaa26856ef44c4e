use std::time::{Duration, Instant};

use nutmegwheel_types::Priority;

use super::{Announcement, LoadReport, Options, Outcome, ServerState, pace::Pace};

/// The fraction of its limit to which a backend server is held at the beginning of a slow start.
const SLOW_START_MIN_FACTOR: f64 = 0.1;
/// The penalty that is added to the load after a refusal or failure, or if the server sheds
/// requests of the priority; 1 is a full limit.
pub(crate) const PENALTY: f64 = 1.0;
/// The maximum number of doublings of the time for which a server is penalised or ejected.
const MAX_DOUBLINGS: u32 = 16;

/// The routing state of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) announcement: Announcement,
    pub(crate) outstanding: u32,
    pub(crate) is_unresponsive: bool,
    /// Whether the data centre of the server is evacuated.
    pub(crate) is_evacuated: bool,
    pub(crate) ejected_until: Option<Instant>,
    pub(crate) pace: Pace,
    unreachable_until: Option<Instant>,
    ready_since: Option<Instant>,
    report: Option<(Instant, LoadReport, u32)>,
    refused_at: Option<Instant>,
    consecutive_failures: u32,
    ejections: u32,
    last_failure: Option<Instant>,
}

impl Server {
    pub(crate) fn new(announcement: Announcement, is_evacuated: bool) -> Self {
        Self {
            announcement,
            outstanding: 0,
            is_unresponsive: false,
            is_evacuated,
            ejected_until: None,
            pace: Pace::default(),
            unreachable_until: None,
            ready_since: None,
            report: None,
            refused_at: None,
            consecutive_failures: 0,
            ejections: 0,
            last_failure: None,
        }
    }

    /// Applies a newer announcement of the same incarnation.
    pub(crate) fn update(&mut self, now: Instant, announcement: Announcement) {
        let was_ready = self.announcement.state == ServerState::Ready;
        let is_ready = announcement.state == ServerState::Ready;
        if is_ready && !was_ready {
            self.ready_since = Some(now);
        }
        self.announcement = announcement;
    }

    /// Begins a slow start, as if the server had just become ready.
    pub(crate) fn begin_slow_start(&mut self, now: Instant) {
        self.ready_since = Some(now);
    }

    pub(crate) fn report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((now, report, self.outstanding));
    }

    /// Records an outcome and returns whether the server is now an outlier.
    pub(crate) fn record_outcome(
        &mut self,
        now: Instant,
        outcome: Outcome,
        options: &Options,
    ) -> bool {
        match outcome {
            Outcome::Answered => {
                self.consecutive_failures = 0;
                self.unreachable_until = None;
                self.reset_ejections_if_stable(now, options);
            }
            Outcome::Refused => self.refused_at = Some(now),
            Outcome::Failed => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.last_failure = Some(now);
            }
            Outcome::Unreachable => {
                self.unreachable_until = Some(now + options.unreachable_cooldown);
            }
            Outcome::Cancelled => {}
        }
        self.consecutive_failures >= options.failures_to_eject
    }

    fn reset_ejections_if_stable(&mut self, now: Instant, options: &Options) {
        let is_stable = self
            .last_failure
            .is_none_or(|at| now.saturating_duration_since(at) >= options.ejection_reset_after);
        if is_stable {
            self.ejections = 0;
        }
    }

    /// Ejects the server; the duration doubles with each ejection up to a maximum.
    pub(crate) fn eject(&mut self, now: Instant, options: &Options) {
        let factor = 1_u32 << self.ejections.min(MAX_DOUBLINGS);
        let duration = (options.base_ejection_time * factor).min(options.max_ejection_time);
        self.ejections = self.ejections.saturating_add(1);
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + duration);
        self.ready_since = Some(now + duration);
    }
}

impl Server {
    pub(crate) fn is_available(&self) -> bool {
        self.announcement.state == ServerState::Ready && !self.is_unresponsive && !self.is_evacuated
    }

    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| until > now)
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// The load with one more request, as a multiple of the limit.
    pub(crate) fn projected_load(
        &self,
        now: Instant,
        priority: Priority,
        options: &Options,
    ) -> f64 {
        let request_load = 1.0 / self.capacity(now, options);
        self.current_load(now, priority, options) + request_load
    }

    /// The present load, as a multiple of the limit.
    pub(crate) fn current_load(&self, now: Instant, priority: Priority, options: &Options) -> f64 {
        let (requests, capacity) = self.requests_and_capacity(now, options);
        requests / capacity + self.penalty(now, priority, options)
    }

    /// The requests that run or wait, and the number that may run at a time.
    pub(crate) fn requests_and_capacity(&self, now: Instant, options: &Options) -> (f64, f64) {
        let requests = f64::from(self.outstanding) + self.other_senders_requests(now, options);
        (requests, self.capacity(now, options))
    }

    /// The number of requests in the last load report.
    pub(crate) fn reported_requests(&self) -> u32 {
        let report = self.report.as_ref();
        report.map_or(0, |(_, report, _)| {
            report.running.saturating_add(report.waiting)
        })
    }

    fn capacity(&self, now: Instant, options: &Options) -> f64 {
        f64::from(self.limit(now, options).max(1)) * self.slow_start_factor(now, options)
    }

    fn fresh_report(&self, now: Instant, options: &Options) -> Option<(f64, &LoadReport, u32)> {
        let (at, report, own_outstanding) = self.report.as_ref()?;
        let weight = 1.0 - elapsed_fraction(*at, now, options.report_lifetime);
        (weight > 0.0).then_some((weight, report, *own_outstanding))
    }

    /// The number of requests of other senders in the last load report, weighted down by its age.
    fn other_senders_requests(&self, now: Instant, options: &Options) -> f64 {
        self.fresh_report(now, options)
            .map_or(0.0, |(weight, report, own_outstanding)| {
                let total = report.running.saturating_add(report.waiting);
                weight * f64::from(total.saturating_sub(own_outstanding))
            })
    }

    fn limit(&self, now: Instant, options: &Options) -> u32 {
        let slots = self.announcement.slots;
        self.fresh_report(now, options)
            .map_or(slots, |(_, report, _)| report.limit.min(slots))
    }

    fn slow_start_factor(&self, now: Instant, options: &Options) -> f64 {
        self.ready_since.map_or(1.0, |since| {
            elapsed_fraction(since, now, options.slow_start).max(SLOW_START_MIN_FACTOR)
        })
    }

    pub(crate) fn penalty(&self, now: Instant, priority: Priority, options: &Options) -> f64 {
        let refused_recently = self
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < options.refusal_penalty_time);
        let sheds_priority = self
            .fresh_report(now, options)
            .and_then(|(_, report, _)| report.shed_level)
            .is_some_and(|level| priority > level);
        if refused_recently || sheds_priority || self.failed_recently(now, options) {
            PENALTY
        } else {
            0.0
        }
    }

    /// Whether the last request failed, within a time that doubles with each consecutive failure.
    ///
    /// A server that fails fast has few requests outstanding, so its load alone would attract more.
    fn failed_recently(&self, now: Instant, options: &Options) -> bool {
        let Some(doublings) = self.consecutive_failures.checked_sub(1) else {
            return false;
        };
        let time = options.failure_penalty_time * (1 << doublings.min(MAX_DOUBLINGS));
        self.last_failure
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }
}

/// The fraction of `span` that has passed since `from`, from 0 to 1.
fn elapsed_fraction(from: Instant, now: Instant, span: Duration) -> f64 {
    if span.is_zero() {
        return 1.0;
    }
    let elapsed = now.saturating_duration_since(from);
    (elapsed.as_secs_f64() / span.as_secs_f64()).min(1.0)
}
