use std::time::Duration;

use nutmegwheel_types::{KeyHash, Priority, plain};

use crate::{Context, ShedLevel};

plain! {
    /// A message that decodes but has invalid content. It is dropped or refused as a whole.
    pub struct Malformed {
        /// The invalid field.
        pub field: &'static str,
    }
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the field {} is malformed", self.field)
    }
}

impl std::error::Error for Malformed {}

/// Encodes the context of a call and the hash of its key for the next hop.
#[must_use]
pub fn context_to_wire(context: &nutmegwheel_types::Context, key: Option<&KeyHash>) -> Context {
    Context {
        root: context.root.to_be_bytes().to_vec().into(),
        workspace: context.workspace.as_deref().map(str::to_owned),
        class: context.class.to_string(),
        rank: context.priority.rank.into(),
        over_share: context.priority.over_share.into(),
        root_hash: context.priority.root_hash.into(),
        remaining_us: u64::try_from(context.remaining.as_micros()).unwrap_or(u64::MAX),
        depth: context.depth.into(),
        retry_tokens: context.retry_tokens,
        non_idempotent: context.non_idempotent,
        key_hash: key.map(|hash| hash.to_vec().into()).unwrap_or_default(),
        repeats: context.is_repeat,
    }
}

/// Decodes the context of a call and the hash of its key.
///
/// # Errors
///
/// Returns the first field that is out of range.
pub fn context_from_wire(
    wire: &Context,
) -> Result<(nutmegwheel_types::Context, Option<KeyHash>), Malformed> {
    let root = bytes(&wire.root, "root")?;
    let key = match wire.key_hash.len() {
        0 => None,
        _ => Some(bytes(&wire.key_hash, "key_hash")?),
    };
    let context = nutmegwheel_types::Context {
        root: u128::from_be_bytes(root),
        workspace: wire.workspace.as_deref().map(Into::into),
        class: wire.class.as_str().into(),
        priority: priority(wire.rank, wire.over_share, wire.root_hash)?,
        remaining: Duration::from_micros(wire.remaining_us),
        depth: number(wire.depth, "depth")?,
        retry_tokens: wire.retry_tokens,
        non_idempotent: wire.non_idempotent,
        is_repeat: wire.repeats,
    };
    Ok((context, key))
}

impl From<Priority> for ShedLevel {
    fn from(priority: Priority) -> Self {
        Self {
            rank: priority.rank.into(),
            over_share: priority.over_share.into(),
            root_hash: priority.root_hash.into(),
        }
    }
}

impl TryFrom<&ShedLevel> for Priority {
    type Error = Malformed;

    fn try_from(wire: &ShedLevel) -> Result<Self, Malformed> {
        priority(wire.rank, wire.over_share, wire.root_hash)
    }
}

fn priority(rank: u32, over_share: u32, root_hash: u32) -> Result<Priority, Malformed> {
    Ok(Priority {
        rank: number(rank, "rank")?,
        over_share: number(over_share, "over_share")?,
        root_hash: number(root_hash, "root_hash")?,
    })
}

fn number<T: TryFrom<u32>>(value: u32, field: &'static str) -> Result<T, Malformed> {
    T::try_from(value).map_err(|_| Malformed { field })
}

fn bytes<const N: usize>(value: &[u8], field: &'static str) -> Result<[u8; N], Malformed> {
    value.try_into().map_err(|_| Malformed { field })
}
