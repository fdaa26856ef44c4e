use std::sync::Arc;

use nutmegwheel_types::plain;

plain! {
    /// One run of a backend server process, as its heartbeats identify it.
    pub struct Instance {
        /// The id of the backend server, which an earlier instance may have used too.
        pub id: Arc<str>,
        /// When the process started, in milliseconds of the wall clock of its VM.
        pub started_at_ms: u64,
    }

    /// What a heartbeat says.
    pub struct Beat<'a> {
        /// The instance that sent it.
        pub instance: &'a Instance,
        /// The number of the heartbeat within the instance.
        pub sequence: u64,
        /// Whether the instance accepts new requests. If not, it leaves.
        pub is_ready: bool,
    }

    /// The effect of a heartbeat on the registration of a backend server.
    #[derive(Copy)]
    pub enum HeartbeatStatus {
        /// The heartbeat is the first one of a new instance, which becomes the current one.
        NewInstance,
        /// The heartbeat is newer than the last one of the current instance.
        Renewed,
        /// The heartbeat is ignored, because a newer heartbeat, a newer instance or the end of its
        /// instance is known.
        Stale,
        /// The instance may have ended. The heartbeat counts once a later one follows, or once the
        /// departures before this process started are known.
        Unconfirmed,
    }
}
