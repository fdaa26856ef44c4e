use std::time::{Duration, Instant};

use nutmegwheel_types::Priority;

use super::{Announcement, LoadReport, Options, Outcome, ServerState};

/// The share of its limit that a backend server gets at the beginning of its slow start.
const SLOW_START_FLOOR: f64 = 0.1;
/// What a refusal adds to a load, in limits.
const REFUSAL_LOAD: f64 = 1.0;

/// What is known of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) announcement: Announcement,
    pub(crate) outstanding: u32,
    pub(crate) silent: bool,
    pub(crate) ejected_until: Option<Instant>,
    unreachable_until: Option<Instant>,
    ready_since: Option<Instant>,
    report: Option<(Instant, LoadReport, u32)>,
    refused_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    last_failure: Option<Instant>,
}

/// Lifecycle
impl Server {
    pub(crate) fn new(announcement: Announcement) -> Self {
        Self {
            announcement,
            outstanding: 0,
            silent: false,
            ejected_until: None,
            unreachable_until: None,
            ready_since: None,
            report: None,
            refused_at: None,
            failures: 0,
            ejections: 0,
            last_failure: None,
        }
    }

    /// Takes over a newer announcement of the same life.
    pub(crate) fn update(&mut self, now: Instant, announcement: Announcement) {
        let was_ready = self.announcement.state == ServerState::Ready;
        let is_ready = announcement.state == ServerState::Ready;
        if is_ready && !was_ready {
            self.ready_since = Some(now);
        }
        self.announcement = announcement;
    }

    /// Begins a slow start, as for one that was ready only now.
    pub(crate) fn start_slowly(&mut self, now: Instant) {
        self.ready_since = Some(now);
    }

    pub(crate) fn report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((now, report, self.outstanding));
    }

    /// Counts an outcome and says whether it makes the server an outlier.
    pub(crate) fn count(&mut self, now: Instant, outcome: Outcome, options: &Options) -> bool {
        match outcome {
            Outcome::Answered => {
                self.failures = 0;
                self.unreachable_until = None;
                self.forgive(now, options);
            }
            Outcome::Refused => self.refused_at = Some(now),
            Outcome::Failed => {
                self.failures = self.failures.saturating_add(1);
                self.last_failure = Some(now);
            }
            Outcome::Unreachable => {
                self.unreachable_until = Some(now + options.unreachable_for);
            }
            Outcome::Cancelled => {}
        }
        self.failures >= options.failures_to_eject
    }

    fn forgive(&mut self, now: Instant, options: &Options) {
        let calm = self
            .last_failure
            .is_none_or(|at| now.saturating_duration_since(at) >= options.forgive_after);
        if calm {
            self.ejections = 0;
        }
    }

    /// Ejects the server for a time that doubles with each ejection.
    pub(crate) fn eject(&mut self, now: Instant, options: &Options) {
        let factor = 1_u32 << self.ejections.min(16);
        let time = (options.first_ejection * factor).min(options.longest_ejection);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.ejected_until = Some(now + time);
        self.ready_since = Some(now + time);
    }
}

/// Access
impl Server {
    pub(crate) fn is_available(&self) -> bool {
        self.announcement.state == ServerState::Ready && !self.silent
    }

    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| until > now)
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// The expected load after one more request, 1 being the limit.
    pub(crate) fn load(&self, now: Instant, priority: Priority, options: &Options) -> f64 {
        let one_more = 1.0 / self.capacity(now, options);
        self.busy(now, priority, options) + one_more
    }

    /// The load now, 1 being the limit.
    pub(crate) fn busy(&self, now: Instant, priority: Priority, options: &Options) -> f64 {
        let work = f64::from(self.outstanding) + self.foreign_work(now, options);
        work / self.capacity(now, options) + self.penalty(now, priority, options)
    }

    fn capacity(&self, now: Instant, options: &Options) -> f64 {
        f64::from(self.limit(now, options).max(1)) * self.warmth(now, options)
    }

    fn fresh_report(&self, now: Instant, options: &Options) -> Option<(f64, &LoadReport, u32)> {
        let (at, report, own) = self.report.as_ref()?;
        let weight = 1.0 - elapsed_share(*at, now, options.report_lifetime);
        (weight > 0.0).then_some((weight, report, *own))
    }

    /// The work of other senders at the time of the last report, aged.
    fn foreign_work(&self, now: Instant, options: &Options) -> f64 {
        self.fresh_report(now, options)
            .map_or(0.0, |(weight, report, own)| {
                let all = report.running.saturating_add(report.waiting);
                weight * f64::from(all.saturating_sub(own))
            })
    }

    fn limit(&self, now: Instant, options: &Options) -> u32 {
        let slots = self.announcement.slots;
        self.fresh_report(now, options)
            .map_or(slots, |(_, report, _)| report.limit.min(slots))
    }

    fn warmth(&self, now: Instant, options: &Options) -> f64 {
        self.ready_since.map_or(1.0, |since| {
            elapsed_share(since, now, options.slow_start).max(SLOW_START_FLOOR)
        })
    }

    fn penalty(&self, now: Instant, priority: Priority, options: &Options) -> f64 {
        let refused = self
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < options.refusal_penalty);
        let sheds = self
            .fresh_report(now, options)
            .and_then(|(_, report, _)| report.shed_level)
            .is_some_and(|level| priority > level);
        if refused || sheds { REFUSAL_LOAD } else { 0.0 }
    }
}

/// The part of `span` that has passed since `from`, 0 to 1.
fn elapsed_share(from: Instant, now: Instant, span: Duration) -> f64 {
    if span.is_zero() {
        return 1.0;
    }
    let elapsed = now.saturating_duration_since(from);
    (elapsed.as_secs_f64() / span.as_secs_f64()).min(1.0)
}
