use std::{fmt, net::SocketAddr, time::Duration};

use nutmegwheel_types::{DataCentreId, Incarnation, ProcessName, plain};

/// What an endpoint needs to know to be bound.
#[derive(Clone)]
pub struct Options {
    /// The name of this process, which is shown to its peers.
    pub name: ProcessName,
    /// The data centre in which this process runs.
    pub data_centre: DataCentreId,
    /// The number of this process's life, so that peers notice a restart.
    pub incarnation: Incarnation,
    /// The address on which links from other processes are accepted.
    pub listen: SocketAddr,
    /// The address at which others reach the one listened on, where that is another.
    pub advertised: Option<SocketAddr>,
    /// The secret that every process of the fleet holds and proves in the handshake.
    pub fleet_secret: Vec<u8>,
    /// The bounds on memory and time.
    pub limits: Limits,
}

impl fmt::Debug for Options {
    /// The fleet secret is left out, so that it cannot reach a log.
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
    /// The bounds of an endpoint; every one of them holds for each link on its own unless it says
    /// otherwise.
    pub struct Limits {
        /// The number of links that are kept to each peer that is called.
        pub links_per_peer: usize,
        /// The longest head of a message, in bytes.
        pub max_head: usize,
        /// The longest body of a message, in bytes.
        pub max_body: usize,
        /// The number of calls that may be open at a time in each direction.
        pub max_streams: usize,
        /// The highest id of a stream, after which a link is replaced; ids are never used again.
        pub max_stream_id: u32,
        /// The number of bytes of unfinished messages that are held at a time in each direction.
        pub max_buffered: usize,
        /// The number of accepted connections, over the whole endpoint, whose handshake is not done.
        pub max_half_open: usize,
        /// The time in which a connection must be made and its handshake finished.
        pub handshake_timeout: Duration,
        /// The time between pings while a call is open or the link was used lately.
        pub ping_interval: Duration,
        /// The time between pings of a link that is not in use.
        pub idle_ping_interval: Duration,
        /// The time after which a link that has answered nothing is abandoned.
        pub silence_timeout: Duration,
        /// The time after which a link without calls is closed.
        pub idle_timeout: Duration,
        /// The shortest pause before a failed connection is tried again.
        pub min_backoff: Duration,
        /// The longest pause before a failed connection is tried again.
        pub max_backoff: Duration,
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
