//! Follows the orders of operators to evacuate data centres; see docs/design/EVACUATION.md.

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use nutmegwheel_events::Event;
use nutmegwheel_types::DataCentreId;

use crate::{cold_start, shared::Shared};

/// The evacuated data centres that this node follows.
#[derive(Default)]
pub(crate) struct Evacuations {
    in_force: Mutex<BTreeSet<DataCentreId>>,
}

impl Evacuations {
    /// The evacuated data centres.
    pub(crate) fn in_force(&self) -> BTreeSet<DataCentreId> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeSet<DataCentreId>> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the orders in the current view of the node.
pub(crate) fn apply(shared: &Shared) {
    // Two views may arrive at once. The lock keeps the newer one from being overwritten.
    let mut in_force = shared.evacuations.lock();
    let view = shared.views.current();
    if *in_force == view.evacuated {
        return;
    }
    let own = &shared.settings.data_centre;
    let (was_evacuated, is_evacuated) = (in_force.contains(own), view.evacuated.contains(own));
    if was_evacuated && !is_evacuated {
        prepare_readmission(shared);
    }
    shared.local_backend.set_evacuated(is_evacuated);
    shared.routes.set_evacuated(Instant::now(), &view.evacuated);
    for data_centre in view.evacuated.difference(&in_force) {
        journal(shared, Event::DataCentreEvacuated, data_centre);
    }
    for data_centre in in_force.difference(&view.evacuated) {
        journal(shared, Event::DataCentreReadmitted, data_centre);
    }
    in_force.clone_from(&view.evacuated);
    drop(in_force);
    if is_evacuated && !was_evacuated {
        shared.admission.refuse_waiting(Instant::now());
    }
}

/// Prepares for the requests that the local backend server gets from now on. It may have become
/// cold while it got none.
fn prepare_readmission(shared: &Shared) {
    let now = Instant::now();
    cold_start::expect_cold(shared, now);
    shared.admission.begin_slow_start(now);
}

fn journal(shared: &Shared, event: Event, data_centre: &DataCentreId) {
    let version = shared.views.version();
    shared.journal.emit(
        event,
        &[("data_centre", data_centre), ("version", &version)],
    );
}
