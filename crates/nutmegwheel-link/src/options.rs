use std::{fmt, net::SocketAddr, time::Duration};

use nutmegwheel_memory::Account;
use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain};

use crate::Topic;

/// The configuration of an endpoint.
#[derive(Clone)]
pub struct Options {
    /// The name of this process, which is sent to its peers in the handshake.
    pub name: ProcessName,
    /// The data centre in which this process runs.
    pub data_centre: DataCentreId,
    /// The incarnation of this process, by which peers detect a restart.
    pub incarnation: Incarnation,
    /// The address on which links from other processes are accepted.
    pub listen: SocketAddr,
    /// The address at which peers reach this process, if it differs from `listen`.
    pub advertised: Option<SocketAddr>,
    /// The secret that all processes of the fleet share. Both sides prove in the handshake that
    /// they hold it.
    pub fleet_secret: Vec<u8>,
    /// The limits on links, messages, memory and time.
    pub limits: Limits,
    /// The account that messages of some topics take from.
    pub metering: Option<Metering>,
}

/// The account of the process, and the topics whose requests and replies take from it.
#[derive(Clone, Debug)]
pub struct Metering {
    /// The account.
    pub account: Account,
    /// The topics. Messages on others are not refused for lack of room.
    pub topics: Vec<Topic>,
}

impl Metering {
    /// The account that messages on this topic take from, if any.
    pub(crate) fn account(&self, topic: Topic) -> Option<&Account> {
        self.topics.contains(&topic).then_some(&self.account)
    }
}

impl fmt::Debug for Options {
    /// Omits the fleet secret, so that it cannot appear in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Options")
            .field("name", &self.name)
            .field("data_centre", &self.data_centre)
            .field("incarnation", &self.incarnation)
            .field("listen", &self.listen)
            .field("advertised", &self.advertised)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

plain! {
    /// The limits of an endpoint. Each applies to every link separately unless it says otherwise.
    pub struct Limits {
        /// The number of links to keep to each peer that is called.
        pub links_per_peer: usize,
        /// The maximum length of the head of a message, in bytes.
        pub max_head: usize,
        /// The maximum length of the body of a message, in bytes.
        pub max_body: usize,
        /// The maximum number of calls that are open at the same time, in each direction.
        pub max_streams: usize,
        /// The highest stream id, after which a link is replaced, since ids are never reused.
        pub max_stream_id: u32,
        /// The maximum number of bytes of incomplete messages that are buffered, in each direction.
        /// A message that exceeds half of it is accepted while the others take at most half.
        pub max_buffered: usize,
        /// The maximum number of accepted connections whose handshake has not completed, over the
        /// whole endpoint.
        pub max_half_open: usize,
        /// The time within which a connection must be established and its handshake completed.
        pub handshake_timeout: Duration,
        /// The time between pings while a call is open or the link was used recently.
        pub ping_interval: Duration,
        /// The time between pings of a link that is not in use.
        pub idle_ping_interval: Duration,
        /// The time after which a link is closed when the peer does not answer pings.
        pub silence_timeout: Duration,
        /// The time after which a link without calls is closed.
        pub idle_timeout: Duration,
        /// The backoff after the first failure to connect, before jitter.
        pub min_backoff: Duration,
        /// The maximum backoff between attempts to connect.
        pub max_backoff: Duration,
    }
}

impl Limits {
    /// Whether a message fits into the buffer beside others, which take `buffered` bytes.
    pub(crate) fn has_room(&self, buffered: usize, message: usize) -> bool {
        let with_large = message.saturating_add(self.max_buffered / 2);
        buffered.saturating_add(message) <= self.max_buffered.max(with_large)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            links_per_peer: 2,
            max_head: 64 * 1024,
            max_body: 4 * 1024 * 1024 + 64 * 1024,
            max_streams: 4096,
            max_stream_id: 1 << 31,
            max_buffered: 32 * 1024 * 1024,
            max_half_open: 256,
            handshake_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_millis(250),
            idle_ping_interval: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_mins(1),
            min_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}
