use std::collections::{BTreeMap, BTreeSet};

use nutmegwheel_types::{ConfigVersion, KeyHash, WorkspaceId, hex};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::{CheckError, Configuration};

/// What every process holds of the replicated state, newest version wins.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The version, which only goes up; 0 is no configuration at all.
    pub version: ConfigVersion,
    /// What the operators want.
    pub configuration: Configuration,
    /// Whom a key speaks for.
    pub keys: BTreeMap<KeyHash, WorkspaceId>,
    /// The keys that are withdrawn for good.
    pub withdrawn: BTreeSet<KeyHash>,
}

/// Why the bytes of a view were refused.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The bytes are no document of a view.
    #[error("the document of the view is malformed: {0}")]
    Document(#[from] serde_json::Error),
    /// The configuration inside is refused.
    #[error("the configuration inside the view is refused: {0}")]
    Configuration(#[from] CheckError),
    /// A step leads on from another version than the one held.
    #[error("the step leads on from version {base}, but {held} is held")]
    Base {
        /// The version that the step leads on from.
        base: ConfigVersion,
        /// The version that is held.
        held: ConfigVersion,
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
}

/// The hash by which a key is stored and compared.
#[must_use]
pub fn hash_key(key: &[u8]) -> KeyHash {
    Sha256::digest(key).into()
}

impl View {
    /// The form in which a view travels and is kept.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let raw = serde_json::value::RawValue::from_string(self.configuration.to_json());
        let document = Document {
            version: self.version,
            configuration: raw.unwrap_or_default(),
            keys: self.hex_keys(),
            withdrawn: self.withdrawn.iter().map(|h| hex::encode(h)).collect(),
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// Reads what [`View::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Refuses a malformed document as a whole.
    pub fn decode(bytes: &[u8]) -> Result<Self, ViewError> {
        let document: Document = serde_json::from_slice(bytes)?;
        let mut view = Self {
            version: document.version,
            configuration: Configuration::parse(document.configuration.get())?,
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
