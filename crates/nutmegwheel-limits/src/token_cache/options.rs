use std::time::Duration;

/// How often a door should call [`super::TokenCache::poll`].
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a door waits for the steward's answer before it gives up on it.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long messages that are not urgent are gathered.
pub const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);
/// How much of its recent demand a door keeps in stock.
pub const PREFETCH_HORIZON: Duration = Duration::from_secs(1);
/// How long spending may go unreported.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long before its end the rest of a batch is given back.
pub(super) const RETURN_MARGIN: Duration = Duration::from_millis(250);
/// How long a door refuses by itself after the steward had no token; a token that another door gives
/// back is found after this time.
pub(super) const MAX_REFUSAL_REUSE: Duration = Duration::from_millis(50);
/// How long a door waits before it asks for stock again after it got less than it wanted.
pub(super) const PREFETCH_RETRY: Duration = Duration::from_millis(250);
/// When to come back while there is no steward: the time a new one takes at most is the lease's.
pub(super) const RETRY_WITHOUT_TOKEN_SERVER: Duration = Duration::from_secs(1);
/// When to come back to a workspace that is no longer configured.
pub(super) const RETRY_WHEN_CLOSED: Duration = Duration::from_secs(1);
