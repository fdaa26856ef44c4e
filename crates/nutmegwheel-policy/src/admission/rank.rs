use nutmegwheel_types::{ClassRank, Priority, plain_copy};

use super::Request;

plain_copy! {
    /// The order in which requests are started; the greatest is shed first.
    ///
    /// The fields are in order of weight: work already begun deep in a chain comes before new
    /// work of its class, for giving it up wastes what was done for it.
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
/// Levels take load off at the doors. Work begun deep in a chain is never refused by one, for its
/// root passed a door before the level fell, and what was done for it would be lost; it competes in
/// the queue.
pub(crate) fn is_shed(level: Priority, priority: Priority, is_nested: bool) -> bool {
    !is_nested && priority > level
}
