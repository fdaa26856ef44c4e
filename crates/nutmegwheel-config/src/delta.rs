use nutmegwheel_types::{ConfigVersion, KeyHash, WorkspaceId, hex};
use serde::{Deserialize, Serialize};

use crate::{Change, Configuration, View, ViewError};

/// What turns a view into its next version; small enough to be sent to every process.
#[derive(Clone, Debug, PartialEq)]
pub enum Delta {
    /// A committed change.
    Change(Change),
    /// A withdrawn key.
    Withdraw(KeyHash),
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Document {
    Change(String),
    Withdraw(String),
}

impl Delta {
    /// The form in which it travels.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let document = match self {
            Self::Change(change) => Document::Change(change.to_json()),
            Self::Withdraw(hash) => Document::Withdraw(hex::encode(hash)),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Reads what [`Delta::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Refuses a malformed document as a whole.
    pub fn decode(bytes: &[u8]) -> Result<Self, ViewError> {
        match serde_json::from_slice(bytes)? {
            Document::Change(text) => Ok(Self::Change(Change::parse(&text)?)),
            Document::Withdraw(text) => {
                let hash = hex::decode(&text).ok_or(ViewError::Hash(text))?;
                Ok(Self::Withdraw(hash))
            }
        }
    }
}

/// Moving on to the next version.
impl View {
    /// The next version, for a delta that leads on from `base`.
    ///
    /// # Errors
    ///
    /// Refuses a delta whose base is another version than this view's.
    pub fn advanced(&self, base: ConfigVersion, delta: Delta) -> Result<Self, ViewError> {
        if base != self.version {
            let held = self.version;
            return Err(ViewError::Base { base, held });
        }
        let mut next = self.clone();
        next.advance(delta);
        Ok(next)
    }

    /// Applies what was committed as the next version.
    pub fn advance(&mut self, delta: Delta) {
        match delta {
            Delta::Change(Change::Configure(configuration)) => self.configure(configuration),
            Delta::Change(Change::GiveKey { workspace, hash }) => self.give_key(workspace, hash),
            Delta::Withdraw(hash) => self.withdraw(hash),
        }
        self.version += 1;
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
