use nutmegwheel_link::Topic;

/// A request for a backend server: [`crate::CallHead`] and [`crate::ReplyHead`].
pub const CALL: Topic = Topic(1);
/// A notice of the membership protocol.
pub const GOSSIP: Topic = Topic(3);
/// A notice of requests that were in flight when a backend server died: [`crate::Suspicions`].
pub const SUSPICIONS: Topic = Topic(4);
/// A notice between control VMs: a message of the replicated log.
pub const AGREEMENT: Topic = Topic(5);
/// A request to the leading control VM: a command to commit, answered by its verdict.
pub const COMMIT: Topic = Topic(6);
/// A request to the leading control VM for the index that a read must include.
pub const READ_INDEX: Topic = Topic(7);
/// A request to a seed to hold a claim: [`crate::ClaimRequest`] and [`crate::ClaimReply`].
pub const CLAIM: Topic = Topic(8);
/// A request that tells a seed how a try went on: [`crate::ClaimUpdate`].
pub const CLAIM_UPDATE: Topic = Topic(9);
/// A request of a restarted seed: [`crate::RecoverRequest`] and [`crate::RecoverReply`].
pub const RECOVER: Topic = Topic(10);
/// A request to the target of a try: [`crate::FenceRequest`] and [`crate::FenceReply`].
pub const FENCE: Topic = Topic(11);
/// A request of a seed to a control VM: [`crate::FirstStart`], answered by one byte, 1 for yes.
pub const FIRST_START: Topic = Topic(12);
/// A request of a door to a steward: [`crate::Ask`] and [`crate::Grant`].
pub const TOKEN_REQUEST: Topic = Topic(13);
/// A request of a possible steward to a seed: [`crate::LeaseRequest`] and [`crate::LeaseReply`].
pub const LEASE: Topic = Topic(14);
/// A request that gives a lease back: [`crate::LeaseRelease`].
pub const LEASE_RELEASE: Topic = Topic(15);
/// A request of a restarted seed to another one, answered by [`crate::KnownShares`].
pub const KNOWN_SHARES: Topic = Topic(16);
/// A request to the leading control VM: [`crate::RenewalRequest`] and [`crate::Renewal`]; any other
/// process answers with nothing.
pub const RENEWAL: Topic = Topic(17);
/// A request of a door to the hub of limits: [`crate::AllotmentReport`] and
/// [`crate::AllotmentAnswer`].
pub const ALLOTMENT: Topic = Topic(18);
/// A request of a door to the hub of limits: [`crate::Borrow`] and [`crate::BorrowAnswer`].
pub const BORROW: Topic = Topic(19);
