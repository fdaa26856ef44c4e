use nutmegwheel_link::Topic;

/// A request for a backend server: [`crate::CallHead`] and [`crate::ReplyHead`].
pub const CALL: Topic = Topic(1);
/// A request for a newer view: [`crate::FetchView`], answered by the view's bytes or nothing.
pub const FETCH_VIEW: Topic = Topic(2);
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
