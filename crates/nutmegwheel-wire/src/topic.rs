use nutmegwheel_link::Topic;

/// A request for a backend server: [`crate::CallHead`] and [`crate::ReplyHead`].
pub const CALL: Topic = Topic(1);
/// A one-way message of the membership protocol.
pub const GOSSIP: Topic = Topic(3);
/// A one-way message with the requests that were in flight when a backend server crashed:
/// [`crate::Suspicions`].
pub const SUSPICIONS: Topic = Topic(4);
/// A one-way message between control VMs: a message of the replicated log.
pub const AGREEMENT: Topic = Topic(5);
/// A request to the leading control VM to commit a command, answered by the outcome.
pub const COMMIT: Topic = Topic(6);
/// A request to the leading control VM for the log index that a read must include.
pub const READ_INDEX: Topic = Topic(7);
/// A request to a seed to store a claim: [`crate::ClaimRequest`] and [`crate::ClaimReply`].
pub const CLAIM: Topic = Topic(8);
/// A request that reports the progress of an attempt to a seed: [`crate::ClaimUpdate`].
pub const CLAIM_UPDATE: Topic = Topic(9);
/// A request of a restarted seed to another one for its claims: [`crate::RecoverRequest`] and
/// [`crate::RecoverReply`].
pub const RECOVER: Topic = Topic(10);
/// A request to the target of an attempt: [`crate::FenceRequest`] and [`crate::FenceReply`].
pub const FENCE: Topic = Topic(11);
/// A request of a seed to a control VM: [`crate::FirstStart`], answered by one byte, which is 1 if
/// the log confirms that no seed of this name was active before.
pub const FIRST_START: Topic = Topic(12);
/// A request of an ingress node to a token server: [`crate::Ask`] and [`crate::Grant`].
pub const TOKEN_REQUEST: Topic = Topic(13);
/// A request of a token server candidate to a seed: [`crate::LeaseRequest`] and
/// [`crate::LeaseReply`].
pub const LEASE: Topic = Topic(14);
/// A request that releases a lease: [`crate::LeaseRelease`].
pub const LEASE_RELEASE: Topic = Topic(15);
/// A request of a restarted seed to another one for the limit shares that it knows, answered by
/// [`crate::KnownShares`].
pub const KNOWN_SHARES: Topic = Topic(16);
/// A request to the leading control VM: [`crate::RenewalRequest`] and [`crate::Renewal`]. Any
/// other process sends an empty reply.
pub const RENEWAL: Topic = Topic(17);
/// A request of an ingress node to the coordinator of limits: [`crate::AllotmentReport`] and
/// [`crate::AllotmentAnswer`].
pub const ALLOTMENT: Topic = Topic(18);
/// A request of an ingress node to the coordinator of limits: [`crate::Borrow`] and
/// [`crate::BorrowAnswer`].
pub const BORROW: Topic = Topic(19);
/// A request of a node to a process that remembers its departures: [`crate::DepartureReport`] and
/// [`crate::DepartureAnswer`].
pub const DEPARTURES: Topic = Topic(20);
