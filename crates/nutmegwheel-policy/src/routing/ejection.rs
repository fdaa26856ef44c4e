use std::time::Instant;

use super::{BackendKey, Table};

impl Table {
    /// Ejects an outlier unless the maximum number of backend servers is already ejected.
    pub(crate) fn eject_if_allowed(&mut self, now: Instant, key: BackendKey) {
        if !self.servers[key].is_available() || self.servers[key].is_ejected(now) {
            return;
        }
        if self.ejected(now) < self.max_ejected() {
            self.servers[key].eject(now, &self.options);
        }
    }

    /// Ends ejections, those that expire first, until no more than the maximum are left.
    ///
    /// The maximum falls when healthy backend servers leave.
    pub(crate) fn enforce_ejection_limit(&mut self, now: Instant) {
        for _ in self.max_ejected()..self.ejected(now) {
            let earliest = self
                .servers
                .values_mut()
                .filter(|server| server.is_available() && server.is_ejected(now))
                .min_by_key(|server| server.ejected_until);
            if let Some(server) = earliest {
                server.ejected_until = None;
                server.begin_slow_start(now);
            }
        }
    }

    /// The number of available backend servers that are currently ejected.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> usize {
        self.servers
            .values()
            .filter(|server| server.is_available() && server.is_ejected(now))
            .count()
    }

    /// The maximum number of available backend servers that may be ejected at a time.
    ///
    /// This is [`max_ejected_percent`](super::Options::max_ejected_percent) of them but at least
    /// one. It is never all of them, so an only backend server is not ejected.
    #[must_use]
    pub fn max_ejected(&self) -> usize {
        let available = self.available();
        let percent = usize::try_from(self.options.max_ejected_percent).unwrap_or(usize::MAX);
        let allowed = available.saturating_mul(percent) / 100;
        allowed.max(1).min(available.saturating_sub(1))
    }
}
