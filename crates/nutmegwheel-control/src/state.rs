use std::collections::BTreeMap;

use nutmegwheel_config::{Change, CheckError, Configuration, Delta, View};
use nutmegwheel_limits::share::{ChangeSet, Table};
use nutmegwheel_types::{ConfigVersion, Incarnation, KeyHash, WorkspaceId, hex, plain};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number that an operator chose for a change.
pub type ChangeNumber = u64;

/// The version that an operator gives a published configuration; it only goes up, with gaps.
pub type PublishedVersion = u64;

/// How many committed changes keep their answer.
const MAX_RETAINED_CHANGES: usize = 4096;
/// The most keys that a fleet holds, withdrawn ones included.
const KEY_LIMIT: usize = 200_000;

/// What the log replicates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A change under the operator's number.
    Change {
        /// The number.
        number: ChangeNumber,
        /// The canonical form of the change.
        content: String,
    },
    /// A whole configuration on top of the one published before.
    Publish {
        /// The version that its operator gave it.
        version: PublishedVersion,
        /// The version that it builds on; 0 where none is published yet.
        base: PublishedVersion,
        /// The canonical form of the configuration.
        content: String,
        /// The document as the operator wrote it.
        document: String,
    },
    /// The withdrawal of a key, which needs no number.
    Withdraw {
        /// The key's hash in hex digits.
        hash: String,
    },
    /// A seed asks whether one of its name ever served before.
    FirstStart {
        /// The seed.
        seed: String,
        /// Its life.
        incarnation: Incarnation,
    },
    /// Shares of the data centres in workspaces' rates move.
    Shares(ChangeSet),
}

plain! {
    /// What became of a command; the same on every replica.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum CommandOutcome {
        /// The change is committed.
        Committed {
            /// The version that it made.
            version: ConfigVersion,
            /// Whether this very command made it, and not an earlier one that this one resends.
            first: bool,
        },
        /// The number was committed with other content.
        NumberTaken {
            /// What was committed under it.
            winner: CommittedChange,
        },
        /// Another version is published than the one that the configuration builds on.
        OtherBase {
            /// The version that is published.
            current: PublishedVersion,
        },
        /// The configuration's version is not above the published one.
        VersionTooLow {
            /// The version that is published.
            current: PublishedVersion,
        },
        /// A later number is committed, and this one never was or is forgotten.
        NumberTooLow {
            /// The last committed number.
            last_change: ChangeNumber,
        },
        /// The shares moved, or did not because others moved first.
        Shares {
            /// Whether they moved.
            moved: bool,
        },
        /// The answer to a seed that asked whether it starts for the first time.
        FirstStart {
            /// Whether it does; never true for two lives of one name.
            granted: bool,
        },
        /// The key belongs to another workspace already.
        KeyTaken,
        /// The key is withdrawn for good.
        KeyWithdrawn,
        /// The change does not fit what is committed by now.
        Refused {
            /// The field at fault.
            field: String,
            /// What is wrong.
            detail: String,
        },
    }

    /// The configuration that was published last.
    #[derive(Serialize, Deserialize)]
    pub struct Published {
        /// The version that its operator gave it.
        pub version: PublishedVersion,
        /// The document as the operator wrote it.
        pub document: String,
    }

    /// The change that was committed under a number.
    #[derive(Serialize, Deserialize)]
    pub struct CommittedChange {
        /// The SHA-256 of its canonical form, in hex digits.
        pub content: String,
        /// What kind of change it is.
        pub kind: String,
        /// The version that it made.
        pub version: ConfigVersion,
    }
}

/// The replicated state: what every control VM holds after the same commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    view: View,
    last_change: ChangeNumber,
    answers: BTreeMap<ChangeNumber, CommittedChange>,
    /// The life in which each seed served first.
    first_starts: BTreeMap<String, Incarnation>,
    shares: Table,
    published: Option<Published>,
    /// The SHA-256 of the documents that were published, by which a resend is known.
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

/// Access.
impl State {
    /// The data centres' shares in the workspaces' rates.
    #[must_use]
    pub fn shares(&self) -> &Table {
        &self.shares
    }

    /// What the processes of the fleet hold.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// What was published last.
    #[must_use]
    pub fn published(&self) -> Option<&Published> {
        self.published.as_ref()
    }

    /// The greatest committed number.
    #[must_use]
    pub fn last_change(&self) -> ChangeNumber {
        self.last_change
    }

    /// The change committed under a number, while it is remembered.
    #[must_use]
    pub fn committed_change(&self, number: ChangeNumber) -> Option<&CommittedChange> {
        self.answers.get(&number)
    }
}

/// Lifecycle.
impl State {
    /// The bytes of a snapshot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let view = String::from_utf8(self.view.encode()).unwrap_or_default();
        let snapshot = Snapshot {
            view: serde_json::value::RawValue::from_string(view).unwrap_or_default(),
            last_change: self.last_change,
            answers: self.answers.clone(),
            first_starts: self.first_starts.clone(),
            shares: self.shares.clone(),
            published: self.published.clone(),
            accepted: self.accepted.clone(),
        };
        serde_json::to_vec(&snapshot).unwrap_or_default()
    }

    /// Reads what [`State::encode`] wrote.
    ///
    /// # Errors
    ///
    /// Refuses a malformed snapshot as a whole.
    pub fn decode(bytes: &[u8]) -> Result<Self, nutmegwheel_config::ViewError> {
        let snapshot: Snapshot = serde_json::from_slice(bytes)?;
        Ok(Self {
            view: View::decode(snapshot.view.get().as_bytes())?,
            last_change: snapshot.last_change,
            answers: snapshot.answers,
            first_starts: snapshot.first_starts,
            shares: snapshot.shares,
            published: snapshot.published,
            accepted: snapshot.accepted,
        })
    }
}

/// Applying commands.
impl State {
    /// Applies one committed command.
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
        if let Some(committed) = self.answers.get(&number) {
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
        let current = self.published.as_ref().map_or(0, |held| held.version);
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

    /// Checks a change against what is committed.
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
            None if self.key_count() >= KEY_LIMIT => {
                let detail = format!("the fleet holds {KEY_LIMIT} keys already");
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

    fn record_change(&mut self, number: ChangeNumber, content: String, kind: &str) {
        self.last_change = number;
        let committed = CommittedChange {
            content,
            kind: kind.to_owned(),
            version: self.view.version,
        };
        self.answers.insert(number, committed);
        if self.answers.len() > MAX_RETAINED_CHANGES {
            self.answers.pop_first();
        }
    }

    fn key_count(&self) -> usize {
        self.view.keys.len() + self.view.withdrawn.len()
    }
}

impl Command {
    /// What the command changes in the view when it is committed for the first time.
    #[must_use]
    pub fn delta(&self) -> Option<Delta> {
        match self {
            Self::Change { content, .. } => Change::parse(content).ok().map(Delta::Change),
            Self::Publish { content, .. } => Configuration::parse(content)
                .ok()
                .map(|configuration| Delta::Change(Change::Configure(configuration))),
            Self::Withdraw { hash } => hex::decode(hash).map(Delta::Withdraw),
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
