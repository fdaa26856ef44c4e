use log::Level;
use nutmegwheel_types::plain_copy;

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $level:ident;)*) => {
        plain_copy! {
            /// A numbered event; docs/EVENTS.md explains each one to operators.
            pub enum Event {
                $($(#[$doc])* $name,)*
            }
        }

        impl Event {
            /// Every event, in ascending order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number in log lines, which never changes for an event.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The name in log lines, which never changes for an event.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The level at which the event is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }
        }
    };
}

catalogue! {
    /// The process started and accepts work.
    ProcessStarted = 100, "process-started", Info;
    /// The process was asked to stop and accepts no new work.
    ProcessLeaving = 101, "process-leaving", Info;
    /// The process finished its open work and exits.
    ProcessStopped = 102, "process-stopped", Info;
    /// A supervised task failed and was restarted.
    TaskRestarted = 103, "task-restarted", Error;
    /// The process did not stop within its time limit; the work that was still open is aborted.
    ProcessStopTimedOut = 104, "process-cut-off", Warn;
    /// The process applied newer settings.
    SettingsReloaded = 105, "settings-reloaded", Info;
    /// Newer settings were rejected, and the process keeps the previous ones.
    SettingsRefused = 106, "settings-refused", Error;
    /// A listener could not accept or keep a connection.
    ConnectionRefused = 107, "connection-refused", Warn;
    /// A listener closed connections that waited for a request, to make room for new ones.
    ConnectionsClosed = 108, "connections-closed", Warn;
    /// A request that had not arrived completely was evicted for lack of memory.
    RequestEvicted = 109, "request-evicted", Warn;
    /// A caller sent a body too slowly.
    RequestTooSlow = 110, "request-too-slow", Warn;
    /// A backend server announced itself or changed its state.
    BackendAnnounced = 200, "backend-announced", Info;
    /// A backend server's announcement expired without a renewal.
    BackendLapsed = 201, "backend-lapsed", Warn;
    /// A backend server crashed and aborted requests that it had started.
    BackendCrashed = 202, "backend-died", Warn;
    /// A backend server announced that it shuts down.
    BackendGone = 203, "backend-gone", Info;
    /// A heartbeat was for another backend server than the node's own, or could not be decoded.
    HeartbeatRefused = 204, "heartbeat-refused", Warn;
    /// A backend server fails many of its requests, so its node announces fewer slots.
    BackendFailing = 205, "backend-failing", Warn;
    /// The failure rate of a backend server is back to normal.
    BackendHealthy = 206, "backend-sound", Info;
    /// A backend server named, changed or took back a limit of its requests per second.
    BackendLimited = 207, "backend-limited", Warn;
    /// A backend server's answer has a field that could not be decoded.
    AnswerFieldRefused = 208, "answer-field-refused", Warn;
    /// A backend server says in its answers that it leaves, and gets no new requests.
    BackendLeaving = 209, "backend-leaving", Info;
    /// A heartbeat was ignored, because it was sent before another one or before its sender left.
    HeartbeatIgnored = 210, "heartbeat-ignored", Info;
    /// A heartbeat does not count yet, since its sender may have left.
    HeartbeatHeld = 211, "heartbeat-held", Info;
    /// The node knows which instances of its backend server left before it restarted.
    DeparturesKnown = 212, "departures-known", Info;
    /// The backend server is cold, or may be, and is held to the rate of its cold start.
    BackendCold = 213, "backend-cold", Info;
    /// The backend server is warm again.
    BackendWarm = 214, "backend-warm", Info;
    /// The load shedding level of a node changed.
    ShedLevelChanged = 300, "shed-level-changed", Warn;
    /// A request used up the retry budget of its call chain.
    RetriesExhausted = 301, "retries-spent", Warn;
    /// Requests with this fingerprint are refused because they crash backend servers.
    RequestQuarantined = 302, "request-quarantined", Error;
    /// A caller's request was refused or failed.
    RequestFailed = 310, "request-failed", Warn;
    /// A call was refused or failed at the node of its backend server.
    CallFailed = 311, "call-failed", Warn;
    /// An attempt failed, and the call is retried.
    CallRetried = 312, "call-retried", Info;
    /// The coordinator of limits did not answer an ingress node's request for another token.
    CoordinatorSilent = 313, "hub-silent", Warn;
    /// A request was dropped before it was started, because its caller had left.
    RequestAbandoned = 314, "request-abandoned", Info;
    /// The bytes of a connection were no request that could be read or passed on.
    RequestMalformed = 315, "request-malformed", Warn;
    /// A caller was evicted that did not read its answers while memory was short.
    ReaderEvicted = 316, "reader-evicted", Warn;
    /// Requests of a service begin to cross to other data centres.
    SpillOverBegan = 320, "spill-over-began", Info;
    /// Requests of a service no longer cross to other data centres.
    SpillOverEnded = 321, "spill-over-ended", Info;
    /// The typical service time of an endpoint at the local backend server changed much.
    CostChanged = 322, "cost-changed", Info;
    /// This process applied a newer configuration.
    ConfigurationInForce = 400, "configuration-in-force", Info;
    /// A configuration or view from another process was rejected.
    ViewRefused = 401, "view-refused", Error;
    /// An API key was withdrawn, and this process refuses it from now on.
    KeyWithdrawn = 402, "key-withdrawn", Info;
    /// The node refuses requests that need an API key, because its view may be out of date.
    NodeFenced = 403, "node-fenced", Warn;
    /// The node serves requests that need an API key again.
    NodeUnfenced = 404, "node-unfenced", Info;
    /// Another process joined the fleet.
    MemberJoined = 410, "member-joined", Info;
    /// Another process does not answer probes and is suspected to be dead.
    MemberSuspected = 411, "member-suspected", Warn;
    /// Another process is leaving or has left.
    MemberLeft = 412, "member-left", Info;
    /// Another process was declared dead.
    MemberDied = 413, "member-died", Warn;
    /// This node sends no more requests to the backend servers of a data centre.
    DataCentreEvacuated = 414, "data-centre-evacuated", Info;
    /// This node sends requests to the backend servers of a data centre again.
    DataCentreReadmitted = 415, "data-centre-readmitted", Info;
    /// An operator's change was committed.
    ChangeCommitted = 500, "change-committed", Info;
    /// An operator's change was refused.
    ChangeRefused = 501, "change-refused", Warn;
    /// This control VM became the leader of the control group.
    LeaderElected = 502, "leader-elected", Info;
    /// This control VM is no longer the leader.
    LeaderStoodDown = 503, "leader-stood-down", Warn;
    /// A control VM could not write to its durable storage.
    StorageFailed = 504, "storage-failed", Error;
    /// A member of the control group was added, replaced or removed.
    ControlMembersChanged = 505, "control-members-changed", Info;
    /// A data centre's share of a workspace's rate changed.
    ShareMoved = 506, "share-moved", Info;
    /// This process became the token server of its data centre.
    TokenServerElected = 507, "steward-elected", Info;
    /// This process is no longer the token server of its data centre.
    TokenServerStoodDown = 508, "steward-stood-down", Info;
    /// It is unknown whether an operator's change was committed.
    ChangeOutcomeUnknown = 509, "change-uncertain", Warn;
    /// An operator's order to evacuate a data centre was committed.
    EvacuationOrdered = 510, "evacuation-ordered", Info;
    /// The withdrawal of an order to evacuate a data centre was committed.
    EvacuationWithdrawn = 511, "evacuation-withdrawn", Info;
    /// An operator's order was for an unknown data centre.
    EvacuationRefused = 512, "evacuation-refused", Warn;
    /// It is unknown whether an operator's order was committed.
    EvacuationOutcomeUnknown = 513, "evacuation-uncertain", Warn;
    /// All data centres are evacuated, so that every request is refused.
    NoDataCentreLeft = 514, "no-data-centre-left", Warn;
}
