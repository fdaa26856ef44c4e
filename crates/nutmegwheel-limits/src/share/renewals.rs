use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use nutmegwheel_types::{DataCentreId, plain};

use super::{Change, ChangeSet, Renewal, RenewalRequest, SHARE_LEASE_TERM, Table};

plain! {
    /// Records when the control leader last renewed the shares of each data centre.
    ///
    /// A new leader creates one after it has applied every entry of earlier terms. It assumes that
    /// each data centre was renewed at that time, since it cannot know what its predecessor
    /// answered.
    pub struct RenewalTracker {
        opened_at: Instant,
        renewed_at: BTreeMap<DataCentreId, Instant>,
        expiring: BTreeSet<DataCentreId>,
    }
}

impl RenewalTracker {
    /// Creates the tracker of a leader that was elected and caught up at `now`.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        RenewalTracker {
            opened_at: now,
            renewed_at: BTreeMap::new(),
            expiring: BTreeSet::new(),
        }
    }

    /// Answers a renewal request, or returns `None` while an expiry of the data centre is being
    /// committed.
    ///
    /// The caller must hold the leader lease at `now`.
    pub fn renew(&mut self, table: &Table, req: &RenewalRequest, now: Instant) -> Option<Renewal> {
        if self.expiring.contains(&req.data_centre) {
            return None;
        }
        self.renewed_at.insert(req.data_centre.clone(), now);
        Some(Renewal {
            number: req.number,
            version: table.version(),
            shares: table.shares_of(&req.data_centre),
        })
    }

    /// The command that commits the version confirmed by a request, or `None` if it would change
    /// nothing.
    #[must_use]
    pub fn confirmation(&self, table: &Table, req: &RenewalRequest) -> Option<ChangeSet> {
        let data_centre = req.data_centre.clone();
        let confirms = table
            .workspaces()
            .filter_map(|w| table.entry(w, &data_centre));
        let mut open = confirms.filter(|e| e.version <= req.confirmed && e.bound != e.share);
        open.next()?;
        let change = Change::Confirmed {
            data_centre,
            version: req.confirmed,
        };
        Some(ChangeSet {
            based_on: table.version(),
            changes: vec![change],
        })
    }

    /// The command that expires the leases of the data centres that were not renewed for
    /// [`SHARE_LEASE_TERM`], or `None` if there are none.
    ///
    /// These data centres get no renewal until [`Self::finish_expiry`] is called.
    pub fn begin_expiry(&mut self, table: &Table, now: Instant) -> Option<ChangeSet> {
        let mut changes = Vec::new();
        for data_centre in data_centres_above_floor(table) {
            let renewed = *self.renewed_at.get(&data_centre).unwrap_or(&self.opened_at);
            if now < renewed + SHARE_LEASE_TERM || !self.expiring.insert(data_centre.clone()) {
                continue;
            }
            changes.push(Change::Expired { data_centre });
        }
        (!changes.is_empty()).then(|| ChangeSet {
            based_on: table.version(),
            changes,
        })
    }

    /// Resumes renewals for the data centres whose expiry was applied.
    pub fn finish_expiry(&mut self, set: &ChangeSet) {
        for change in &set.changes {
            if let Change::Expired { data_centre } = change {
                self.expiring.remove(data_centre);
            }
        }
    }
}

fn data_centres_above_floor(table: &Table) -> BTreeSet<DataCentreId> {
    let entries = table.workspaces().flat_map(|w| table.entries(w));
    let above = entries.filter(|(_, e)| e.bound.whole != e.bound.floor);
    above.map(|(data_centre, _)| data_centre.clone()).collect()
}
