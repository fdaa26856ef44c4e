use log::Level;
use nutmegwheel_types::plain_copy;

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $word:literal, $level:ident;)*) => {
        plain_copy! {
            /// A numbered event; docs/EVENTS.md tells operators what each one means.
            pub enum Event {
                $($(#[$doc])* $name,)*
            }
        }

        impl Event {
            /// Every event, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable number.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The stable word.
            #[must_use]
            pub fn word(self) -> &'static str {
                match self { $(Self::$name => $word,)* }
            }

            /// How loudly it is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }
        }
    };
}

catalogue! {
    /// The process took up its work.
    ProcessStarted = 100, "process-started", Info;
    /// The process was told to stop and takes nothing new.
    ProcessLeaving = 101, "process-leaving", Info;
    /// The process finished everything and ends.
    ProcessStopped = 102, "process-stopped", Info;
    /// A task of the supervisor tree failed and was started again.
    TaskRestarted = 103, "task-restarted", Error;
    /// A stop was not over in time, and what was open then is cut off.
    ProcessStopTimedOut = 104, "process-cut-off", Warn;
    /// The process took over newer settings.
    SettingsReloaded = 105, "settings-reloaded", Info;
    /// Newer settings were refused, and the old ones stay in force.
    SettingsRefused = 106, "settings-refused", Error;
    /// A backend server announced itself or changed its state.
    BackendAnnounced = 200, "backend-announced", Info;
    /// A backend server's announcement lapsed without a renewal.
    BackendLapsed = 201, "backend-lapsed", Warn;
    /// A backend server broke off requests that it had begun.
    BackendCrashed = 202, "backend-died", Warn;
    /// A backend server said that it goes.
    BackendGone = 203, "backend-gone", Info;
    /// A heartbeat spoke for another backend server or could not be read.
    HeartbeatRefused = 204, "heartbeat-refused", Warn;
    /// A backend server fails many of its requests and announces fewer slots.
    BackendFailing = 205, "backend-failing", Warn;
    /// A backend server that failed many of its requests is sound again.
    BackendHealthy = 206, "backend-sound", Info;
    /// The level at which a node sheds changed.
    ShedLevelChanged = 300, "shed-level-changed", Warn;
    /// A request spent the last retry of its chain.
    RetriesExhausted = 301, "retries-spent", Warn;
    /// Requests of a fingerprint are refused because they bring down backend servers.
    RequestQuarantined = 302, "request-quarantined", Error;
    /// A caller's request was refused or failed.
    RequestFailed = 310, "request-failed", Warn;
    /// A call was refused or failed at the node of its backend server.
    CallFailed = 311, "call-failed", Warn;
    /// A try failed, and the call is sent again.
    CallRetried = 312, "call-retried", Info;
    /// The hub of limits did not answer a door that wanted to borrow.
    CoordinatorSilent = 313, "hub-silent", Warn;
    /// A newer configuration is in force in this process.
    ConfigurationInForce = 400, "configuration-in-force", Info;
    /// A configuration or view from another process was refused.
    ViewRefused = 401, "view-refused", Error;
    /// This process refuses a key from now on.
    KeyWithdrawn = 402, "key-withdrawn", Info;
    /// The node serves no keyed work because its view may be old.
    NodeFenced = 403, "node-fenced", Warn;
    /// The node serves keyed work again.
    NodeUnfenced = 404, "node-unfenced", Info;
    /// Another process joined the fleet.
    MemberJoined = 410, "member-joined", Info;
    /// Another process does not answer and may be dead.
    MemberSuspected = 411, "member-suspected", Warn;
    /// Another process is leaving or has left.
    MemberLeft = 412, "member-left", Info;
    /// Another process is dead.
    MemberDied = 413, "member-died", Warn;
    /// A change of an operator was committed.
    ChangeCommitted = 500, "change-committed", Info;
    /// A change of an operator was refused.
    ChangeRefused = 501, "change-refused", Warn;
    /// This control VM became the leader.
    LeaderElected = 502, "leader-elected", Info;
    /// This control VM is no longer the leader.
    LeaderStoodDown = 503, "leader-stood-down", Warn;
    /// The disk of a control VM did not take what it had to keep.
    StorageFailed = 504, "storage-failed", Error;
    /// A member of the control group was added, replaced or removed.
    ControlMembersChanged = 505, "control-members-changed", Info;
    /// A data centre's share of a workspace's rate moved.
    ShareMoved = 506, "share-moved", Info;
    /// This process hands out the tokens of its data centre.
    TokenServerElected = 507, "steward-elected", Info;
    /// This process no longer hands out tokens.
    TokenServerStoodDown = 508, "steward-stood-down", Info;
    /// It is not known whether a change of an operator was committed.
    ChangeOutcomeUnknown = 509, "change-uncertain", Warn;
}
