use std::sync::{Arc, PoisonError, RwLock};

use nutmegwheel_config::View;
use nutmegwheel_events::{Event, Journal};
use nutmegwheel_types::{ConfigVersion, KeyHash, WorkspaceId};

use crate::refusal::{Reason, Refusal};

/// The newest view that this node holds; its version only goes up.
pub(crate) struct Views {
    journal: Arc<Journal>,
    current: RwLock<Arc<View>>,
}

impl Views {
    pub(crate) fn open(journal: Arc<Journal>) -> Self {
        Self {
            journal,
            current: RwLock::default(),
        }
    }

    pub(crate) fn current(&self) -> Arc<View> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.current().version
    }

    /// Takes in the bytes of a view when it is newer than the one held.
    pub(crate) fn offer(&self, bytes: &[u8]) {
        let view = match View::decode(bytes) {
            Ok(view) => view,
            Err(e) => return self.journal.emit(Event::ViewRefused, &[("error", &e)]),
        };
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if view.version > current.version {
            let version = view.version;
            *current = Arc::new(view);
            drop(current);
            self.journal
                .emit(Event::ConfigurationInForce, &[("version", &version)]);
        }
    }
}

/// Tells for whom a key speaks.
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
