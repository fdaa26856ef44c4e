use std::sync::{Arc, PoisonError, RwLock};

use nutmegwheel_config::{Delta, HostRoutes, View, ViewError};
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_spread::Change;
use nutmegwheel_types::{ConfigVersion, KeyHash, WorkspaceId};
use nutmegwheel_web::BodyLimit;

use crate::refusal::{Reason, Refusal};

/// The current view of this node. Its version never decreases.
pub(crate) struct Views {
    journal: Arc<Journal>,
    /// The maximum size of callers' bodies if the configuration has no limits, in bytes.
    pub(crate) default_max_body: usize,
    /// The maximum size of callers' bodies under the current view.
    pub(crate) body_limit: BodyLimit,
    current: RwLock<ActiveView>,
}

/// A view with the index of its routes.
#[derive(Clone, Default)]
pub(crate) struct ActiveView {
    pub(crate) view: Arc<View>,
    pub(crate) hosts: Arc<HostRoutes>,
}

impl Views {
    pub(crate) fn open(journal: Arc<Journal>, default_max_body: usize) -> Self {
        Self {
            journal,
            default_max_body,
            body_limit: default_max_body.into(),
            current: RwLock::default(),
        }
    }

    pub(crate) fn current(&self) -> Arc<View> {
        self.active().view
    }

    pub(crate) fn active(&self) -> ActiveView {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.current().version
    }

    /// Applies a newer view, given in full or as a delta from the current one.
    pub(crate) fn apply(&self, change: &Change) -> Result<Arc<View>, ViewError> {
        let current = self.current();
        if change.version <= current.version {
            return Ok(current);
        }
        let view = if change.base == 0 {
            View::decode(&change.bytes)?
        } else {
            // A delta fits only its base. Applied to any other version, it would yield a view that
            // was never published.
            current.advanced(change.base, Delta::decode(&change.bytes)?)?
        };
        Ok(self.replace(view))
    }

    /// Replaces the current view if `view` is newer, and returns the view that is then current.
    fn replace(&self, view: View) -> Arc<View> {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if view.version > current.view.version {
            let version = view.version;
            let limits = view.configuration.request_limits;
            let max_body = limits.map_or(self.default_max_body, |limits| limits.max_body);
            self.body_limit.set(max_body);
            *current = ActiveView {
                hosts: Arc::new(HostRoutes::open(&view.configuration)),
                view: Arc::new(view),
            };
            self.journal
                .emit(Event::ConfigurationInForce, &[("version", &version)]);
        }
        current.view.clone()
    }
}

/// Looks up the workspace of a key.
pub(crate) fn workspace_of(view: &View, key: Option<&KeyHash>) -> Result<WorkspaceId, Refusal> {
    let refuse = |reason, detail: &str| Err(Refusal::not_run(reason, detail));
    let Some(key) = key else {
        return refuse(Reason::NoKey, "the route needs a workspace's key");
    };
    if view.withdrawn.contains(key) {
        return refuse(Reason::KeyWithdrawn, "the key is withdrawn");
    }
    match view.keys.get(key) {
        Some(workspace) => Ok(workspace.clone()),
        None => refuse(Reason::UnknownKey, "no workspace has this key"),
    }
}
