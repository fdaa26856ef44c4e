use std::collections::{BTreeMap, BTreeSet};

use nutmegwheel_types::{ConfigVersion, DataCentreId, KeyHash, WorkspaceId, hex};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::{CheckError, Configuration};

/// The replicated state as every process keeps it. The newest version wins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The version, which never decreases; 0 stands for no configuration.
    pub version: ConfigVersion,
    /// The configuration that the operators committed.
    pub configuration: Configuration,
    /// The workspace that each key authenticates.
    pub keys: BTreeMap<KeyHash, WorkspaceId>,
    /// The keys that are withdrawn permanently.
    pub withdrawn: BTreeSet<KeyHash>,
    /// The data centres whose backend servers get no requests; see docs/design/EVACUATION.md.
    pub evacuated: BTreeSet<DataCentreId>,
}

/// Why an encoded view or delta was refused.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The bytes are not a valid document.
    #[error("the document of the view is malformed: {0}")]
    Document(#[from] serde_json::Error),
    /// The configuration or change in the document is invalid.
    #[error("the configuration inside the view is refused: {0}")]
    Configuration(#[from] CheckError),
    /// The delta applies to another version than the current one.
    #[error("the step leads on from version {base}, but {current} is held")]
    Base {
        /// The version to which the delta applies.
        base: ConfigVersion,
        /// The current version.
        current: ConfigVersion,
    },
    /// A key's hash is not 64 hex digits.
    #[error("the hash {0:?} is not 64 hex digits")]
    Hash(String),
}

#[derive(Serialize, Deserialize)]
struct Document {
    version: ConfigVersion,
    configuration: Box<serde_json::value::RawValue>,
    keys: BTreeMap<String, WorkspaceId>,
    withdrawn: Vec<String>,
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    evacuated: BTreeSet<DataCentreId>,
}

/// Hashes a key. Keys are stored and compared by this hash only.
#[must_use]
pub fn hash_key(key: &[u8]) -> KeyHash {
    Sha256::digest(key).into()
}

impl View {
    /// Encodes the view for transfer and storage.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let raw = serde_json::value::RawValue::from_string(self.configuration.to_json());
        let document = Document {
            version: self.version,
            configuration: raw.unwrap_or_default(),
            keys: self.hex_keys(),
            withdrawn: self.withdrawn.iter().map(|h| hex::encode(h)).collect(),
            evacuated: self.evacuated.clone(),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Decodes the output of [`View::encode`].
    ///
    /// # Errors
    ///
    /// Returns an error if the document is malformed; nothing of it is used then.
    pub fn decode(bytes: &[u8]) -> Result<Self, ViewError> {
        let document: Document = serde_json::from_slice(bytes)?;
        let mut view = Self {
            version: document.version,
            configuration: Configuration::parse(document.configuration.get())?,
            evacuated: document.evacuated,
            ..Self::default()
        };
        for (hash, workspace) in document.keys {
            view.keys.insert(read_hash(&hash)?, workspace);
        }
        for hash in document.withdrawn {
            view.withdrawn.insert(read_hash(&hash)?);
        }
        Ok(view)
    }

    fn hex_keys(&self) -> BTreeMap<String, WorkspaceId> {
        let keys = self.keys.iter();
        keys.map(|(hash, workspace)| (hex::encode(hash), workspace.clone()))
            .collect()
    }
}

fn read_hash(text: &str) -> Result<KeyHash, ViewError> {
    hex::decode(text).ok_or_else(|| ViewError::Hash(text.to_owned()))
}
