use nutmegwheel_types::{KeyHash, WorkspaceId, hex};
use serde::Serialize;

use crate::{
    CheckError, Configuration, configuration,
    reader::{self, Field, Table},
};

/// A change that an operator submits under a change number; see docs/INTERFACES.md, "Changes".
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Replaces the whole configuration.
    Configure(Configuration),
    /// Adds an API key to a workspace.
    GiveKey {
        /// The workspace that the key authenticates.
        workspace: WorkspaceId,
        /// The SHA-256 of the key.
        #[serde(serialize_with = "serialize_hash")]
        hash: KeyHash,
    },
}

impl Change {
    /// Parses and validates the body of a change.
    ///
    /// # Errors
    ///
    /// Returns the first error with its line and field.
    pub fn parse(text: &str) -> Result<Self, CheckError> {
        reader::document(text, read)
    }

    /// Serializes to the canonical form, in which equal values have equal text.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

fn serialize_hash<S: serde::Serializer>(hash: &KeyHash, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&hex::encode(hash))
}

fn read(mut table: Table<'_>) -> Result<Change, CheckError> {
    let change = if let Some(field) = table.take("configure") {
        Change::Configure(configuration::read(field.table()?)?)
    } else if let Some(field) = table.take("give_key") {
        read_give_key(field.table()?)?
    } else {
        return Err(table.error("must hold configure or give_key"));
    };
    table.finish()?;
    Ok(change)
}

fn read_give_key(mut table: Table<'_>) -> Result<Change, CheckError> {
    let change = Change::GiveKey {
        workspace: table.required("workspace")?.name()?.into(),
        hash: read_hash(&table.required("hash")?)?,
    };
    table.finish()?;
    Ok(change)
}

pub(crate) fn read_hash(field: &Field<'_>) -> Result<KeyHash, CheckError> {
    hex::decode(field.string()?).ok_or_else(|| field.error("must be 64 hex digits"))
}
