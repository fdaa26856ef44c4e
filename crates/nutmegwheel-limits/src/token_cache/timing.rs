use std::time::Duration;

/// The interval at which to call [`super::TokenCache::poll`].
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time within which the token server has to reply.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// The shortest interval between messages that are not urgent.
pub const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// The period of recent demand for which a node prefetches tokens.
pub const PREFETCH_HORIZON: Duration = Duration::from_secs(1);
/// The longest time for which spent tokens remain unreported.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The time before a batch expires at which its remaining tokens are returned.
pub(super) const RETURN_MARGIN: Duration = Duration::from_millis(250);
/// The longest time for which a node refuses requests by itself after the token server had no
/// token. Afterwards it finds tokens that other nodes returned in the meantime.
pub(super) const MAX_REFUSAL_REUSE: Duration = Duration::from_millis(50);
/// The time before the next prefetch after fewer tokens were granted than requested.
pub(super) const PREFETCH_RETRY: Duration = Duration::from_millis(250);
/// The time after which to retry while there is no token server. A new one is elected within the
/// term of the lease.
pub(super) const RETRY_WITHOUT_TOKEN_SERVER: Duration = Duration::from_secs(1);
/// The time after which to retry for a workspace that is no longer configured.
pub(super) const RETRY_WHEN_CLOSED: Duration = Duration::from_secs(1);
