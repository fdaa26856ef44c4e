//! Tells the fleet when the backend server beside this node fails many of its requests.

use std::{sync::Arc, time::Instant};

use nutmegwheel_events::Event;

use crate::{members, shared::Shared};

/// Counts the end of a request that the backend server alone is to blame or to praise for.
pub(crate) fn count(shared: &Arc<Shared>, is_failure: bool) {
    if shared.soundness().count(Instant::now(), is_failure) {
        tell(shared);
    }
}

/// Lets a backend server that got no requests for long count as sound.
pub(crate) fn expire(shared: &Arc<Shared>) {
    if shared.soundness().expire(Instant::now()) {
        tell(shared);
    }
}

fn tell(shared: &Arc<Shared>) {
    let (is_failing, percent) = {
        let soundness = shared.soundness();
        (soundness.is_failing(), soundness.percent())
    };
    let event = if is_failing {
        Event::BackendFailing
    } else {
        Event::BackendSound
    };
    let failed = format!("{percent:.0}");
    shared.journal.emit(event, &[("failed_percent", &failed)]);
    members::announce(shared);
}
