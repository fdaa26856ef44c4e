use std::collections::BTreeMap;

use nutmegwheel_types::{DataCentreId, WorkspaceId, plain};
use serde::{Deserialize, Serialize};

use super::{Change, ChangeSet, Entry, Share, ShareVersion};
use crate::Limit;

plain! {
    /// The shares of all data centres in the limits of all workspaces, as the commands of the
    /// replicated log set them.
    #[derive(Default, Hash, PartialOrd, Ord, Serialize, Deserialize)]
    pub struct Table {
        version: ShareVersion,
        workspaces: BTreeMap<WorkspaceId, BTreeMap<DataCentreId, Entry>>,
    }
}

/// Why a command of the log was not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The table changed in the meantime, so the sums that the command relies on no longer hold.
    #[error("apply shares: computed from version {based_on}, but the table is at {version}")]
    Stale {
        /// The version from which the command was computed.
        based_on: ShareVersion,
        /// The current version of the table.
        version: ShareVersion,
    },
}

impl Table {
    /// The version of the table, which increases with every change of a share.
    #[must_use]
    pub fn version(&self) -> ShareVersion {
        self.version
    }

    /// The entries of a workspace by data centre.
    pub fn entries(
        &self,
        workspace: &WorkspaceId,
    ) -> impl Iterator<Item = (&DataCentreId, &Entry)> {
        self.workspaces.get(workspace).into_iter().flatten()
    }

    /// The entry of a data centre in a workspace.
    #[must_use]
    pub fn entry(&self, workspace: &WorkspaceId, data_centre: &DataCentreId) -> Option<&Entry> {
        self.workspaces.get(workspace)?.get(data_centre)
    }

    /// The workspaces that have entries.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceId> {
        self.workspaces.keys()
    }

    /// The upper bound of what all data centres together may be using for a workspace.
    #[must_use]
    pub fn bound(&self, workspace: &WorkspaceId) -> Limit {
        self.entries(workspace)
            .fold(Limit::ZERO, |sum, (_, e)| sum.plus(e.bound.whole))
    }

    /// The shares that are assigned to a data centre, by workspace.
    #[must_use]
    pub fn shares_of(&self, data_centre: &DataCentreId) -> BTreeMap<WorkspaceId, Share> {
        let entries = self.workspaces.iter();
        entries
            .filter_map(|(w, e)| Some((w.clone(), e.get(data_centre)?.share)))
            .collect()
    }

    /// The data centres whose token servers can grant tokens of a workspace, in order of
    /// preference.
    ///
    /// If the burst is too small for a whole token in each data centre, only some have a share, and
    /// the ingress nodes of the others request tokens from those.
    #[must_use]
    pub fn token_server_order(
        &self,
        workspace: &WorkspaceId,
        own: &DataCentreId,
    ) -> Vec<DataCentreId> {
        let can_serve = |e: &Entry| e.share.whole.burst >= crate::TOKEN && e.share.whole.rate > 0;
        let mut order: Vec<_> = self
            .entries(workspace)
            .filter(|(_, e)| can_serve(e))
            .collect();
        order.sort_by_key(|(dc, e)| (*dc != own, std::cmp::Reverse(e.share.whole.burst)));
        order.into_iter().map(|(dc, _)| dc.clone()).collect()
    }
}

impl Table {
    /// Applies one command of the log.
    ///
    /// # Errors
    ///
    /// [`Error::Stale`] if the command sets shares that were computed from another version. The
    /// table is then left unchanged.
    pub fn apply(&mut self, set: &ChangeSet) -> Result<(), Error> {
        let sets_shares = set.changes.iter().any(|c| matches!(c, Change::Told { .. }));
        if sets_shares && set.based_on != self.version {
            return Err(Error::Stale {
                based_on: set.based_on,
                version: self.version,
            });
        }
        let next = self.version + 1;
        for change in &set.changes {
            self.apply_one(change, next);
        }
        self.remove_unused();
        Ok(())
    }

    fn apply_one(&mut self, change: &Change, next: ShareVersion) {
        match change {
            Change::Told {
                workspace,
                data_centre,
                share,
            } => {
                self.set_share(workspace, data_centre, *share, next);
            }
            Change::Confirmed {
                data_centre,
                version,
            } => self.confirm(data_centre, *version),
            Change::Expired { data_centre } => self.expire(data_centre, next),
            Change::Removed { data_centre } => self.remove(data_centre, next),
        }
    }

    fn set_share(
        &mut self,
        workspace: &WorkspaceId,
        data_centre: &DataCentreId,
        share: Share,
        next: ShareVersion,
    ) {
        let entries = self.workspaces.entry(workspace.clone()).or_default();
        let none = Entry {
            share: Share::ZERO,
            bound: Share::ZERO,
            version: 0,
        };
        let entry = entries.entry(data_centre.clone()).or_insert(none);
        *entry = Entry {
            share,
            bound: entry.bound.max(share),
            version: next,
        };
        self.version = next;
    }

    fn confirm(&mut self, data_centre: &DataCentreId, version: ShareVersion) {
        for entry in self
            .entries_of(data_centre)
            .filter(|e| e.version <= version)
        {
            entry.bound = entry.share;
        }
    }

    fn expire(&mut self, data_centre: &DataCentreId, next: ShareVersion) {
        for entry in self.entries_of(data_centre) {
            entry.bound.whole = entry.bound.floor;
            entry.share.whole = entry.share.floor;
            entry.version = next;
        }
        self.version = next;
    }

    fn remove(&mut self, data_centre: &DataCentreId, next: ShareVersion) {
        for entries in self.workspaces.values_mut() {
            entries.remove(data_centre);
        }
        self.version = next;
    }

    fn remove_unused(&mut self) {
        let unused = |e: &Entry| e.share == Share::ZERO && e.bound == Share::ZERO;
        for entries in self.workspaces.values_mut() {
            entries.retain(|_, e| !unused(e));
        }
        self.workspaces.retain(|_, entries| !entries.is_empty());
    }

    fn entries_of(&mut self, data_centre: &DataCentreId) -> impl Iterator<Item = &mut Entry> {
        self.workspaces
            .values_mut()
            .filter_map(move |entries| entries.get_mut(data_centre))
    }
}
