use nutmegwheel_link::Topic;

/// A request for a backend server: [`crate::CallHead`] and [`crate::ReplyHead`].
pub const CALL: Topic = Topic(1);
/// A request for a newer view: [`crate::FetchView`], answered by the view's bytes or nothing.
pub const FETCH_VIEW: Topic = Topic(2);
/// A notice of the membership protocol.
pub const GOSSIP: Topic = Topic(3);
/// A notice of requests that were in flight when a backend server died: [`crate::Suspicions`].
pub const SUSPICIONS: Topic = Topic(4);
