use std::time::{Duration, Instant};

use nutmegwheel_types::{ConfigVersion, DataCentreId, KeyHash, ProcessName, plain};

use super::{Event, Gossip};
use crate::freshness::{Decision, SeedState};
use crate::{
    AnnouncementState, ControlHeartbeat, Health, LinkAddress, MemberStatus, Record,
    WithdrawalState, WithdrawnSet,
};

plain! {
    /// A backend server as ingress nodes see it.
    pub struct BackendServer {
        /// The name of the node on the same VM.
        pub process: ProcessName,
        /// The data centre of that node.
        pub data_centre: DataCentreId,
        /// The address on which its node accepts links.
        pub link: LinkAddress,
        /// The maximum number of concurrent requests that the backend server accepts.
        pub slots: u16,
        /// Whether it accepts requests, as announced by its node.
        pub state: AnnouncementState,
        /// Whether its node did not answer probes and has not refuted the suspicion yet.
        pub is_suspect: bool,
    }

    /// How current the view of a process is.
    pub struct Freshness {
        /// The version of the stored configuration, 0 if there is none.
        pub version: ConfigVersion,
        /// The newest control heartbeat that the process has observed.
        pub heartbeat: Option<ControlHeartbeat>,
        /// An upper bound on the time since that heartbeat was issued.
        pub heartbeat_age: Option<Duration>,
        /// The age of its lease, see [`crate::freshness::Lease::age`].
        pub lease_age: Option<Duration>,
        /// The control VM that the process polls, if it is a seed or runs without leases.
        pub attached: Option<LinkAddress>,
        /// Whether the process may start keyed work, and if not, why.
        pub decision: Decision,
    }
}

impl Gossip {
    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// All records, including that of this process and those of dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.table.all()
    }

    /// The record of the process with this name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Record> {
        self.table.get(name)
    }

    /// The record of this process.
    #[must_use]
    pub fn own(&self) -> &Record {
        self.table.own()
    }

    /// The number of nodes that may accept requests from callers: all except those that left. A
    /// node that does not answer is counted, since it may still accept requests on the other side
    /// of a partition.
    #[must_use]
    pub fn ingress_nodes(&self) -> usize {
        self.table.ingress_nodes()
    }

    /// The backend servers of a service whose nodes are not dead.
    pub fn backend_servers(&self, service: &str) -> impl Iterator<Item = BackendServer> {
        self.table.live().filter_map(move |record| {
            let announcement = record.announcement.as_ref()?;
            if &*announcement.service != service {
                return None;
            }
            let state = match record.status {
                MemberStatus::Active => announcement.state,
                MemberStatus::Leaving => AnnouncementState::Leaving,
            };
            Some(BackendServer {
                process: record.name.clone(),
                data_centre: record.data_centre.clone(),
                link: record.link,
                slots: announcement.slots,
                state,
                is_suspect: record.health == Health::Suspect,
            })
        })
    }

    /// Whether the process may start keyed work; `now` must be read right before that.
    #[must_use]
    pub fn decide(&self, now: Instant) -> Decision {
        if !self.options.needs_lease && self.store.version() > 0 {
            return Decision::Serve;
        }
        Decision::at(
            now,
            self.store.version(),
            &self.lease,
            self.latest_heartbeat.age(now),
            self.options.partition_policy,
        )
    }

    /// Whether a key is withdrawn, as far as this process knows.
    #[must_use]
    pub fn is_withdrawn(&self, key: &KeyHash) -> bool {
        self.withdrawn.contains(key)
    }

    /// All withdrawn keys that this process knows.
    #[must_use]
    pub fn withdrawn(&self) -> &WithdrawnSet {
        &self.withdrawn
    }

    /// The progress of a withdrawal that was passed to [`Gossip::withdraw`] in this process.
    #[must_use]
    pub fn withdrawal_state(&self, key: &KeyHash) -> WithdrawalState {
        self.tracked.state(key, &self.required_data_centres())
    }

    /// Reports how current the view of the process is at `now`.
    #[must_use]
    pub fn freshness(&self, now: Instant) -> Freshness {
        Freshness {
            version: self.store.version(),
            heartbeat: self.latest_heartbeat.get(),
            heartbeat_age: self.latest_heartbeat.age(now),
            lease_age: self.lease.age(now),
            attached: self.control.attached(),
            decision: self.decide(now),
        }
    }

    /// Whether the process is a seed that has synced, so that its confirmations count.
    #[must_use]
    pub fn is_synced_seed(&self) -> bool {
        self.seed_state.as_ref().is_some_and(SeedState::is_synced)
    }

    /// The data centres that must confirm a withdrawal: the configured and the discovered ones.
    pub(super) fn required_data_centres(&self) -> Vec<DataCentreId> {
        let mut names = self.options.data_centres.clone();
        names.extend(self.table.data_centres());
        names.sort();
        names.dedup();
        names
    }
}
