use std::time::Instant;

use nutmegwheel_types::Priority;

use super::{BackendKey, Table};

impl Table {
    /// Chooses the least loaded of the given backend servers that accept requests, and counts the
    /// request as outstanding there until [`finish`](Table::finish) is called.
    pub fn choose_among(
        &mut self,
        now: Instant,
        priority: Priority,
        keys: &[BackendKey],
    ) -> Option<BackendKey> {
        let available = keys
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(*key)?)))
            .filter(|(_, server)| server.is_available());
        let loads = available
            .map(|(key, server)| (key, server.projected_load(now, priority, &self.options)));
        let (key, _) = loads.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        self.servers[key].outstanding += 1;
        Some(key)
    }
}
