use std::collections::BTreeMap;

use nutmegwheel_config::{Change, CheckError, Configuration, Delta, View};
use nutmegwheel_limits::share::{ChangeSet, Table};
use nutmegwheel_types::{
    ConfigVersion, DataCentreId, Incarnation, KeyHash, WorkspaceId, hex, plain,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number that an operator chooses for a change. Numbers must increase, with gaps allowed.
pub type ChangeNumber = u64;

/// The version that an operator chooses for a published configuration. Versions must increase, with
/// gaps allowed.
pub type PublishedVersion = u64;

/// The number of committed changes, and of publications, whose resends are still recognized.
const MAX_RETAINED_CHANGES: usize = 4096;
/// The maximum number of keys in a fleet, including withdrawn ones.
const MAX_KEYS: usize = 200_000;

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Commits a change under the number that the operator chose.
    Change {
        /// The number of the change.
        number: ChangeNumber,
        /// The canonical form of the change.
        content: String,
    },
    /// Publishes a whole configuration to replace the published one.
    Publish {
        /// The version that the operator chose.
        version: PublishedVersion,
        /// The published version that it replaces; 0 if none is published yet.
        base: PublishedVersion,
        /// The canonical form of the configuration.
        content: String,
        /// The document as the operator wrote it.
        document: String,
    },
    /// Withdraws a key. It needs no number, because withdrawing a key twice has no further effect.
    Withdraw {
        /// The hash of the key, in hex digits.
        hash: String,
    },
    /// Orders that the backend servers of a data centre get no requests. Like its withdrawal it
    /// needs no number, because repeating the last order has no further effect.
    Evacuate {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Withdraws the order to evacuate a data centre.
    Readmit {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// Asks whether a seed starts for the first time. At most one incarnation of each name gets a
    /// positive answer.
    FirstStart {
        /// The name of the seed.
        seed: String,
        /// The incarnation of the seed process.
        incarnation: Incarnation,
    },
    /// Changes the shares of data centres in the rate limits of workspaces.
    Shares(ChangeSet),
}

plain! {
    /// The outcome of a command, which is the same on every replica.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum CommandOutcome {
        /// The change, publication, withdrawal or order is committed.
        Committed {
            /// The version of the configuration that it produced.
            version: ConfigVersion,
            /// Whether this command committed it; `false` if it is a resend of an earlier one.
            first: bool,
        },
        /// Another change was committed under the number.
        NumberTaken {
            /// The change that was committed under it.
            winner: CommittedChange,
        },
        /// The published version is not the base of the publication.
        OtherBase {
            /// The version that is published.
            current: PublishedVersion,
        },
        /// The version of the configuration is not greater than the published one.
        VersionTooLow {
            /// The version that is published.
            current: PublishedVersion,
        },
        /// A greater number is committed, and this one was never committed, or too long ago to be
        /// retained.
        NumberTooLow {
            /// The greatest committed number.
            last_change: ChangeNumber,
        },
        /// The outcome of [`Command::Shares`].
        Shares {
            /// Whether the shares were changed; `false` if the table had changed since the command
            /// was computed.
            moved: bool,
        },
        /// The answer to [`Command::FirstStart`].
        FirstStart {
            /// Whether the seed starts for the first time. This is never `true` for two
            /// incarnations of one name.
            granted: bool,
        },
        /// The key already belongs to another workspace.
        KeyTaken,
        /// The key was withdrawn, which is permanent.
        KeyWithdrawn,
        /// The command is malformed, or does not fit the committed configuration.
        Refused {
            /// The invalid field.
            field: String,
            /// A description of the fault.
            detail: String,
        },
    }

    /// The configuration that an operator published last.
    #[derive(Serialize, Deserialize)]
    pub struct Published {
        /// The version that the operator chose.
        pub version: PublishedVersion,
        /// The document as the operator wrote it.
        pub document: String,
    }

    /// A change that was committed under a number.
    #[derive(Serialize, Deserialize)]
    pub struct CommittedChange {
        /// The SHA-256 of the canonical form of the change, in hex digits.
        pub content: String,
        /// The kind of the change, `configure` or `give_key`.
        pub kind: String,
        /// The version of the configuration that the change produced.
        pub version: ConfigVersion,
    }
}

/// The replicated state, which is equal on all control VMs that applied the same commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    view: View,
    last_change: ChangeNumber,
    committed_changes: BTreeMap<ChangeNumber, CommittedChange>,
    /// The incarnation of the first start of each seed, by the name of the seed.
    first_starts: BTreeMap<String, Incarnation>,
    shares: Table,
    published: Option<Published>,
    /// The SHA-256 of each published document, in hex digits, by which a resend is recognized.
    accepted: BTreeMap<PublishedVersion, String>,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    view: Box<serde_json::value::RawValue>,
    last_change: ChangeNumber,
    answers: BTreeMap<ChangeNumber, CommittedChange>,
    first_starts: BTreeMap<String, Incarnation>,
    shares: Table,
    #[serde(default)]
    published: Option<Published>,
    #[serde(default)]
    accepted: BTreeMap<PublishedVersion, String>,
}

impl State {
    /// The shares of the data centres in the rate limits of the workspaces.
    #[must_use]
    pub fn shares(&self) -> &Table {
        &self.shares
    }

    /// The current view of the configuration, which gossip distributes to the processes of the
    /// fleet.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The published configuration, or `None` if none was published yet.
    #[must_use]
    pub fn published(&self) -> Option<&Published> {
        self.published.as_ref()
    }

    /// The greatest number of a committed change.
    #[must_use]
    pub fn last_change(&self) -> ChangeNumber {
        self.last_change
    }

    /// The change committed under a number, or `None` if there is none or it is no longer retained.
    #[must_use]
    pub fn committed_change(&self, number: ChangeNumber) -> Option<&CommittedChange> {
        self.committed_changes.get(&number)
    }
}

impl State {
    /// Encodes the state as a snapshot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let view = String::from_utf8(self.view.encode()).unwrap_or_default();
        let snapshot = Snapshot {
            view: serde_json::value::RawValue::from_string(view).unwrap_or_default(),
            last_change: self.last_change,
            answers: self.committed_changes.clone(),
            first_starts: self.first_starts.clone(),
            shares: self.shares.clone(),
            published: self.published.clone(),
            accepted: self.accepted.clone(),
        };
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Decodes a snapshot written by [`State::encode`].
    ///
    /// # Errors
    ///
    /// Returns an error if any part of the snapshot is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, nutmegwheel_config::ViewError> {
        let snapshot: Snapshot = serde_json::from_slice(bytes)?;
        Ok(Self {
            view: View::decode(snapshot.view.get().as_bytes())?,
            last_change: snapshot.last_change,
            committed_changes: snapshot.answers,
            first_starts: snapshot.first_starts,
            shares: snapshot.shares,
            published: snapshot.published,
            accepted: snapshot.accepted,
        })
    }
}

impl State {
    /// Applies a committed command and returns its outcome.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::Change { number, content } => self.apply_change(*number, content),
            Command::Publish {
                version,
                base,
                content,
                document,
            } => self.apply_publication(*version, *base, content, document),
            Command::Withdraw { hash } => self.apply_withdrawal(hash),
            Command::Evacuate { data_centre } => {
                let is_new = !self.view.evacuated.contains(data_centre);
                self.apply_order(is_new, Delta::Evacuate(data_centre.clone()))
            }
            Command::Readmit { data_centre } => {
                let is_new = self.view.evacuated.contains(data_centre);
                self.apply_order(is_new, Delta::Readmit(data_centre.clone()))
            }
            Command::FirstStart { seed, incarnation } => self.apply_first_start(seed, *incarnation),
            Command::Shares(set) => CommandOutcome::Shares {
                moved: self.shares.apply(set).is_ok(),
            },
        }
    }

    fn apply_first_start(&mut self, seed: &str, incarnation: Incarnation) -> CommandOutcome {
        let first = self.first_starts.entry(seed.to_owned());
        let granted = *first.or_insert(incarnation) == incarnation;
        CommandOutcome::FirstStart { granted }
    }

    fn apply_change(&mut self, number: ChangeNumber, content: &str) -> CommandOutcome {
        let digest = hex::encode(&Sha256::digest(content.as_bytes()));
        if let Some(committed) = self.committed_changes.get(&number) {
            return outcome_of_resend(committed, &digest);
        }
        if number <= self.last_change {
            let last_change = self.last_change;
            return CommandOutcome::NumberTooLow { last_change };
        }
        let change = match Change::parse(content) {
            Ok(change) => change,
            Err(e) => return e.into(),
        };
        if let Err(refused) = self.check(&change) {
            return refused;
        }
        let kind = kind(&change);
        self.view.advance(Delta::Change(change));
        self.record_change(number, digest, kind);
        CommandOutcome::Committed {
            version: self.view.version,
            first: true,
        }
    }

    fn apply_publication(
        &mut self,
        version: PublishedVersion,
        base: PublishedVersion,
        content: &str,
        document: &str,
    ) -> CommandOutcome {
        let digest = hex::encode(&Sha256::digest(document.as_bytes()));
        if self.accepted.get(&version) == Some(&digest) {
            return CommandOutcome::Committed {
                version: self.view.version,
                first: false,
            };
        }
        let current = self
            .published
            .as_ref()
            .map_or(0, |published| published.version);
        if base != current {
            return CommandOutcome::OtherBase { current };
        }
        if version <= current {
            return CommandOutcome::VersionTooLow { current };
        }
        let configuration = match Configuration::parse(content) {
            Ok(configuration) => configuration,
            Err(e) => return e.into(),
        };
        self.view
            .advance(Delta::Change(Change::Configure(configuration)));
        self.accepted.insert(version, digest);
        if self.accepted.len() > MAX_RETAINED_CHANGES {
            self.accepted.pop_first();
        }
        self.published = Some(Published {
            version,
            document: document.to_owned(),
        });
        CommandOutcome::Committed {
            version: self.view.version,
            first: true,
        }
    }

    /// Checks a change against the committed state.
    fn check(&self, change: &Change) -> Result<(), CommandOutcome> {
        match change {
            Change::Configure(_) => Ok(()),
            Change::GiveKey { workspace, hash } => self.check_key(workspace, hash),
        }
    }

    fn check_key(&self, workspace: &WorkspaceId, hash: &KeyHash) -> Result<(), CommandOutcome> {
        if self.view.withdrawn.contains(hash) {
            return Err(CommandOutcome::KeyWithdrawn);
        }
        if !self.view.configuration.workspaces.contains_key(workspace) {
            let detail = format!("there is no workspace {workspace:?}");
            return Err(refused("give_key.workspace", detail));
        }
        match self.view.keys.get(hash) {
            Some(owner) if owner != workspace => Err(CommandOutcome::KeyTaken),
            None if self.key_count() >= MAX_KEYS => {
                let detail = format!("the fleet holds {MAX_KEYS} keys already");
                Err(refused("give_key.hash", detail))
            }
            _ => Ok(()),
        }
    }

    fn apply_withdrawal(&mut self, hash: &str) -> CommandOutcome {
        let Some(hash) = hex::decode(hash) else {
            return refused("hash", "must be 64 hex digits".to_owned());
        };
        let first = !self.view.withdrawn.contains(&hash);
        if first {
            self.view.advance(Delta::Withdraw(hash));
        }
        CommandOutcome::Committed {
            version: self.view.version,
            first,
        }
    }

    /// Applies an order to evacuate or readmit a data centre, unless it is already in force.
    fn apply_order(&mut self, is_new: bool, delta: Delta) -> CommandOutcome {
        if is_new {
            // Version 0 stands for no configuration. The order takes effect with the first one.
            if self.view.version == 0 {
                self.view.apply(delta);
            } else {
                self.view.advance(delta);
            }
        }
        CommandOutcome::Committed {
            version: self.view.version,
            first: is_new,
        }
    }

    fn record_change(&mut self, number: ChangeNumber, content: String, kind: &str) {
        self.last_change = number;
        let committed = CommittedChange {
            content,
            kind: kind.to_owned(),
            version: self.view.version,
        };
        self.committed_changes.insert(number, committed);
        if self.committed_changes.len() > MAX_RETAINED_CHANGES {
            self.committed_changes.pop_first();
        }
    }

    fn key_count(&self) -> usize {
        self.view.keys.len() + self.view.withdrawn.len()
    }
}

impl Command {
    /// The change that the command makes to the view when it is first committed, or `None` if it
    /// makes none.
    #[must_use]
    pub fn delta(&self) -> Option<Delta> {
        match self {
            Self::Change { content, .. } => Change::parse(content).ok().map(Delta::Change),
            Self::Publish { content, .. } => Configuration::parse(content)
                .ok()
                .map(|configuration| Delta::Change(Change::Configure(configuration))),
            Self::Withdraw { hash } => hex::decode(hash).map(Delta::Withdraw),
            Self::Evacuate { data_centre } => Some(Delta::Evacuate(data_centre.clone())),
            Self::Readmit { data_centre } => Some(Delta::Readmit(data_centre.clone())),
            Self::FirstStart { .. } | Self::Shares(_) => None,
        }
    }
}

impl From<CheckError> for CommandOutcome {
    fn from(e: CheckError) -> Self {
        refused(&e.field, format!("line {}: {}", e.line, e.detail))
    }
}

fn refused(field: &str, detail: String) -> CommandOutcome {
    CommandOutcome::Refused {
        field: field.to_owned(),
        detail,
    }
}

fn outcome_of_resend(committed: &CommittedChange, digest: &str) -> CommandOutcome {
    if committed.content == digest {
        CommandOutcome::Committed {
            version: committed.version,
            first: false,
        }
    } else {
        CommandOutcome::NumberTaken {
            winner: committed.clone(),
        }
    }
}

fn kind(change: &Change) -> &'static str {
    match change {
        Change::Configure(_) => "configure",
        Change::GiveKey { .. } => "give_key",
    }
}
