use nutmegwheel_types::{ClassRank, Priority, plain_copy};

use super::Request;

plain_copy! {
    /// The order in which requests start; the greatest rank is shed first.
    ///
    /// The derived ordering compares the fields in order. Within a class, nested calls come before
    /// root requests, because refusing them wastes the work already done for their root request.
    pub(crate) struct Rank {
        pub(crate) class: ClassRank,
        pub(crate) is_root: bool,
        pub(crate) over_share: u8,
        pub(crate) root_hash: u16,
    }
}

impl Rank {
    pub(crate) fn of(req: &Request) -> Self {
        Self::new(req.priority, req.is_nested)
    }

    pub(crate) fn new(priority: Priority, is_nested: bool) -> Self {
        Self {
            class: priority.rank,
            is_root: !is_nested,
            over_share: priority.over_share,
            root_hash: priority.root_hash,
        }
    }
}

/// Whether a shed level refuses a request.
///
/// Levels are enforced on root requests only. The root request of a nested call passed its ingress
/// node before the level fell, and refusing the call would waste the work already done for it, so
/// nested calls compete in the queue instead.
pub(crate) fn sheds(level: Priority, priority: Priority, is_nested: bool) -> bool {
    !is_nested && priority > level
}
