//! Load balancing among the backend servers of one service; see docs/POLICY.md.
//!
//! Two random backend servers are compared by their outstanding work (power of two choices). This
//! keeps senders from all picking the one that last reported the lowest load, without coordination
//! between them.

mod among;
mod choose;
mod ejection;
mod error;
mod evacuation;
mod expected_time;
mod pace;
mod server;
mod types;

use std::{
    collections::{BTreeSet, HashMap},
    time::Instant,
};

use nutmegwheel_types::{DataCentreId, ProcessName};
use slotmap::SlotMap;

pub use error::Error;
pub use expected_time::SpillChange;
pub use types::{Announcement, BackendKey, LoadReport, Options, Outcome, Request, ServerState};

use pace::Kinds;
use server::Server;

/// The backend servers of one service, as one node knows them.
#[derive(Debug)]
pub struct Table {
    options: Options,
    data_centre: DataCentreId,
    servers: SlotMap<BackendKey, Server>,
    by_node: HashMap<ProcessName, BackendKey>,
    local: Vec<BackendKey>,
    remote: Vec<BackendKey>,
    evacuated: BTreeSet<DataCentreId>,
    kinds: Kinds,
    is_spilling: bool,
    spill_change: Option<SpillChange>,
}

impl Table {
    /// Creates an empty table for a sender in `data_centre`.
    #[must_use]
    pub fn open(data_centre: DataCentreId, options: Options) -> Self {
        Self {
            options,
            data_centre,
            servers: SlotMap::with_key(),
            by_node: HashMap::new(),
            local: Vec::new(),
            remote: Vec::new(),
            evacuated: BTreeSet::new(),
            kinds: Kinds::default(),
            is_spilling: false,
            spill_change: None,
        }
    }

    /// Applies an announcement and returns the key of its backend server. Applying the same
    /// announcement again has no effect.
    ///
    /// A new incarnation gets a new key, so that outcomes of the previous one do not count against
    /// it. Announcements of older incarnations are ignored.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> BackendKey {
        let key = match self.find_announced(&announcement) {
            Some(key) if self.is_same_incarnation(key, &announcement) => {
                self.servers[key].update(now, announcement);
                key
            }
            Some(key) if self.is_older_incarnation(key, &announcement) => key,
            Some(key) => {
                self.remove(now, key);
                self.insert_restarted(now, announcement)
            }
            None => self.insert(announcement),
        };
        self.enforce_ejection_limit(now);
        key
    }

    /// Removes a backend server, for example when its lease has ended.
    pub fn remove(&mut self, now: Instant, key: BackendKey) {
        if let Some(server) = self.servers.remove(key) {
            self.by_node.remove(&server.announcement.node);
            self.local.retain(|candidate| *candidate != key);
            self.remote.retain(|candidate| *candidate != key);
            self.enforce_ejection_limit(now);
        }
    }

    /// Sets whether the node of a backend server is unresponsive; it then gets no new requests.
    pub fn set_unresponsive(&mut self, now: Instant, key: BackendKey, is_unresponsive: bool) {
        if let Some(server) = self.servers.get_mut(key) {
            server.is_unresponsive = is_unresponsive;
            self.enforce_ejection_limit(now);
        }
    }

    /// Records the outcome of a request and the load report that came with its response.
    pub fn finish(
        &mut self,
        now: Instant,
        key: BackendKey,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.outstanding = server.outstanding.saturating_sub(1);
        if let Some(report) = report {
            server.report(now, report);
        }
        if server.record_outcome(now, outcome, &self.options) {
            self.eject_if_allowed(now, key);
        }
    }

    fn insert(&mut self, announcement: Announcement) -> BackendKey {
        let is_local = announcement.data_centre == self.data_centre;
        let node = announcement.node.clone();
        let is_evacuated = self.evacuated.contains(&announcement.data_centre);
        let key = self.servers.insert(Server::new(announcement, is_evacuated));
        self.by_node.insert(node, key);
        if is_local {
            &mut self.local
        } else {
            &mut self.remote
        }
        .push(key);
        key
    }

    /// Inserts a backend server that has just restarted, with a slow start.
    fn insert_restarted(&mut self, now: Instant, announcement: Announcement) -> BackendKey {
        let key = self.insert(announcement);
        self.servers[key].begin_slow_start(now);
        key
    }
}

impl Table {
    /// The key of the backend server of `node`.
    #[must_use]
    pub fn find(&self, node: &str) -> Option<BackendKey> {
        self.by_node.get(node).copied()
    }

    /// The last announcement of a backend server.
    #[must_use]
    pub fn announcement(&self, key: BackendKey) -> Option<&Announcement> {
        self.servers.get(key).map(|server| &server.announcement)
    }

    /// The number of requests that this sender has outstanding at a backend server.
    #[must_use]
    pub fn outstanding(&self, key: BackendKey) -> u32 {
        self.servers.get(key).map_or(0, |server| server.outstanding)
    }

    /// Whether a backend server is currently ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, key: BackendKey) -> bool {
        self.servers
            .get(key)
            .is_some_and(|server| server.is_ejected(now))
    }

    /// The number of backend servers that are ready, responsive and not evacuated, including ejected
    /// ones.
    #[must_use]
    pub fn available(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.is_available())
            .count()
    }

    /// Whether a request that was sent to the `tried` backend servers can be sent to another one.
    /// Some of the tried ones may not be available any more.
    #[must_use]
    pub fn has_untried(&self, tried: &[BackendKey]) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|(key, server)| server.is_available() && !tried.contains(&key))
    }

    /// Iterates over all backend servers and their announcements.
    pub fn iter(&self) -> impl Iterator<Item = (BackendKey, &Announcement)> {
        self.servers
            .iter()
            .map(|(key, server)| (key, &server.announcement))
    }

    fn find_announced(&self, announcement: &Announcement) -> Option<BackendKey> {
        self.find(&announcement.node)
    }

    fn is_same_incarnation(&self, key: BackendKey, announcement: &Announcement) -> bool {
        self.servers[key].announcement.incarnation == announcement.incarnation
    }

    fn is_older_incarnation(&self, key: BackendKey, announcement: &Announcement) -> bool {
        self.servers[key].announcement.incarnation > announcement.incarnation
    }
}
