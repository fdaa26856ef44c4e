use std::{collections::BTreeSet, time::Instant};

use nutmegwheel_types::DataCentreId;

use super::Table;

impl Table {
    /// Sets the data centres whose backend servers get no requests. Those of a data centre that is
    /// no longer among them begin a slow start, since their load arrived elsewhere meanwhile and
    /// they may have lost their caches.
    pub fn set_evacuated(&mut self, now: Instant, data_centres: &BTreeSet<DataCentreId>) {
        if self.evacuated == *data_centres {
            return;
        }
        self.evacuated.clone_from(data_centres);
        for server in self.servers.values_mut() {
            let is_evacuated = data_centres.contains(&server.announcement.data_centre);
            if server.is_evacuated && !is_evacuated {
                server.begin_slow_start(now);
            }
            server.is_evacuated = is_evacuated;
        }
        self.enforce_ejection_limit(now);
    }
}
