use nutmegwheel_types::{ConfigVersion, DataCentreId, KeyHash, WorkspaceId, hex};
use serde::{Deserialize, Serialize};

use crate::{Change, Configuration, View, ViewError};

/// The difference between a view and its next version, small enough to be sent to every process.
#[derive(Clone, Debug, PartialEq)]
pub enum Delta {
    /// A committed change.
    Change(Change),
    /// A withdrawn key.
    Withdraw(KeyHash),
    /// A data centre whose backend servers get no requests from now on.
    Evacuate(DataCentreId),
    /// A data centre whose backend servers get requests again.
    Readmit(DataCentreId),
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Document {
    Change(String),
    Withdraw(String),
    Evacuate(DataCentreId),
    Readmit(DataCentreId),
}

impl Delta {
    /// Encodes the delta for transfer.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let document = match self {
            Self::Change(change) => Document::Change(change.to_json()),
            Self::Withdraw(hash) => Document::Withdraw(hex::encode(hash)),
            Self::Evacuate(data_centre) => Document::Evacuate(data_centre.clone()),
            Self::Readmit(data_centre) => Document::Readmit(data_centre.clone()),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Decodes the output of [`Delta::encode`].
    ///
    /// # Errors
    ///
    /// Returns an error if the document is malformed; nothing of it is used then.
    pub fn decode(bytes: &[u8]) -> Result<Self, ViewError> {
        match serde_json::from_slice(bytes)? {
            Document::Change(text) => Ok(Self::Change(Change::parse(&text)?)),
            Document::Withdraw(text) => {
                let hash = hex::decode(&text).ok_or(ViewError::Hash(text))?;
                Ok(Self::Withdraw(hash))
            }
            Document::Evacuate(data_centre) => Ok(Self::Evacuate(data_centre)),
            Document::Readmit(data_centre) => Ok(Self::Readmit(data_centre)),
        }
    }
}

impl View {
    /// Returns the next version, given a delta that applies to version `base`.
    ///
    /// # Errors
    ///
    /// Returns [`ViewError::Base`] if `base` is not the version of this view.
    pub fn advanced(&self, base: ConfigVersion, delta: Delta) -> Result<Self, ViewError> {
        if base != self.version {
            let current = self.version;
            return Err(ViewError::Base { base, current });
        }
        let mut next = self.clone();
        next.advance(delta);
        Ok(next)
    }

    /// Applies a committed delta and increments the version.
    pub fn advance(&mut self, delta: Delta) {
        self.apply(delta);
        self.version += 1;
    }

    /// Applies a delta without a new version, for what takes effect with the first configuration.
    pub fn apply(&mut self, delta: Delta) {
        match delta {
            Delta::Change(Change::Configure(configuration)) => self.configure(configuration),
            Delta::Change(Change::GiveKey { workspace, hash }) => self.give_key(workspace, hash),
            Delta::Withdraw(hash) => self.withdraw(hash),
            Delta::Evacuate(data_centre) => {
                self.evacuated.insert(data_centre);
            }
            Delta::Readmit(data_centre) => {
                self.evacuated.remove(&data_centre);
            }
        }
    }

    fn configure(&mut self, configuration: Configuration) {
        let carries_keys = |configuration: &Configuration| {
            let workspaces = configuration.workspaces.values();
            workspaces.into_iter().any(|w| !w.keys.is_empty())
        };
        if carries_keys(&configuration) || carries_keys(&self.configuration) {
            let workspaces = configuration.workspaces.iter();
            self.keys = workspaces
                .flat_map(|(name, w)| w.keys.iter().map(|key| (*key, name.clone())))
                .collect();
        }
        self.configuration = configuration;
    }

    fn give_key(&mut self, workspace: WorkspaceId, hash: KeyHash) {
        self.keys.insert(hash, workspace);
    }

    fn withdraw(&mut self, hash: KeyHash) {
        self.keys.remove(&hash);
        self.withdrawn.insert(hash);
    }
}
