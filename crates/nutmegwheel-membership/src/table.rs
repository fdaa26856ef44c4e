use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegwheel_types::{DataCentreId, ProcessName, plain, plain_copy};

use crate::record::hash;
use crate::{Health, LinkAddress, MemberStatus, Merge, Record, Role};

plain! {
    /// The records of all processes, and the indexes and values derived from them.
    pub(crate) struct Table {
        own: Record,
        records: BTreeMap<ProcessName, Record>,
        by_address: BTreeMap<LinkAddress, ProcessName>,
        suspects: BTreeMap<ProcessName, Instant>,
        dead: BTreeMap<ProcessName, Instant>,
        buckets: Vec<u32>,
        ingress_nodes: usize,
        routes: Routes,
        are_routes_stale: bool,
    }

    /// The peers of this process by purpose, recomputed when members join or leave.
    struct Routes {
        local: Vec<LinkAddress>,
        remote: Vec<Remote>,
        control: Vec<LinkAddress>,
        dead_control: Vec<LinkAddress>,
        knows_other_data_centres: bool,
    }

    /// The peers in another data centre.
    pub(crate) struct Remote {
        /// The members there that are elected to exchange updates with this process's data centre.
        pub(crate) gateways: Vec<LinkAddress>,
        /// All members there.
        pub(crate) all: Vec<LinkAddress>,
    }

    /// The effect of merging a record from a peer.
    pub(crate) struct MergeOutcome {
        pub(crate) merge: Merge,
        pub(crate) previous: Option<PreviousState>,
    }
}

plain_copy! {
    /// The parts of the previous record that events depend on.
    pub(crate) struct PreviousState {
        pub(crate) health: Health,
        pub(crate) status: MemberStatus,
        pub(crate) incarnation: u64,
    }
}

/// The number of buckets into which names are hashed for digests.
pub(crate) const BUCKETS: u32 = 64;
/// The number of members of a data centre that exchange updates with one other data centre.
const GATEWAYS_PER_DATA_CENTRE: usize = 2;
/// The time that a suspect has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// The time for which the record of a dead process is kept, so that late updates do not make it
/// alive again.
const DEAD_RETENTION: Duration = Duration::from_mins(5);

impl Table {
    pub(crate) fn open(own: Record) -> Self {
        let mut table = Self {
            own: own.clone(),
            records: BTreeMap::new(),
            by_address: BTreeMap::new(),
            suspects: BTreeMap::new(),
            dead: BTreeMap::new(),
            buckets: vec![0; BUCKETS as usize],
            ingress_nodes: 0,
            routes: Routes {
                local: Vec::new(),
                remote: Vec::new(),
                control: Vec::new(),
                dead_control: Vec::new(),
                knows_other_data_centres: false,
            },
            are_routes_stale: true,
        };
        table.insert(own);
        table
    }

    /// Replaces the record of this process.
    pub(crate) fn set_own(&mut self, own: Record) {
        self.own = own.clone();
        self.insert(own);
    }

    /// Merges a record of another process; returns `None` if it changed nothing.
    ///
    /// It ignores the record of a dead process that is not in the table.
    pub(crate) fn merge(&mut self, now: Instant, record: &Record) -> Option<MergeOutcome> {
        let Some(old) = self.records.get(&record.name) else {
            return self.insert_new(now, record);
        };
        let mut merged = old.clone();
        let merge = merged.merge(record);
        if !merge.has_changes() {
            return None;
        }
        let previous = Some(PreviousState {
            health: old.health,
            status: old.status,
            incarnation: old.incarnation,
        });
        self.update_timers(now, &merged);
        self.insert(merged);
        Some(MergeOutcome { merge, previous })
    }

    fn insert_new(&mut self, now: Instant, record: &Record) -> Option<MergeOutcome> {
        if record.health == Health::Dead {
            return None;
        }
        self.update_timers(now, record);
        self.insert(record.clone());
        let merge = Merge {
            owner: true,
            health: true,
        };
        Some(MergeOutcome {
            merge,
            previous: None,
        })
    }

    /// Starts or clears the suspicion timer and the retention timer of the process.
    ///
    /// Only suspects of this process's data centre get a timer.
    fn update_timers(&mut self, now: Instant, record: &Record) {
        let name = &record.name;
        if record.health != Health::Suspect {
            self.suspects.remove(name);
        } else if record.data_centre == self.own.data_centre {
            self.suspects.entry(name.clone()).or_insert(now);
        }
        if record.health == Health::Dead {
            self.dead.entry(name.clone()).or_insert(now);
        } else {
            self.dead.remove(name);
        }
    }

    fn insert(&mut self, record: Record) {
        let bucket = bucket(&record);
        let mut is_route_unchanged = false;
        if let Some(old) = self.records.get(&record.name) {
            self.buckets[bucket] ^= old.state_hash();
            is_route_unchanged = old.link == record.link
                && old.status == record.status
                && (old.health == Health::Dead) == (record.health == Health::Dead);
            if old.link != record.link {
                self.by_address.remove(&old.link);
            }
        }
        if !is_route_unchanged {
            self.are_routes_stale = true;
        }
        self.buckets[bucket] ^= record.state_hash();
        self.by_address.insert(record.link, record.name.clone());
        self.ingress_nodes += usize::from(is_ingress(&record));
        if let Some(old) = self.records.insert(record.name.clone(), record) {
            self.ingress_nodes -= usize::from(is_ingress(&old));
        }
    }

    /// Removes processes that have been dead for the retention time, and returns the suspects that
    /// did not refute in time.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Record> {
        let has_elapsed = |at: &Instant, keep| now.saturating_duration_since(*at) >= keep;
        let expired: Vec<ProcessName> = self
            .dead
            .iter()
            .filter(|(_, at)| has_elapsed(at, DEAD_RETENTION))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.remove(&name);
        }
        self.suspects
            .iter()
            .filter(|(_, at)| has_elapsed(at, SUSPICION_TIMEOUT))
            .filter_map(|(name, _)| self.records.get(name).cloned())
            .collect()
    }

    fn remove(&mut self, name: &ProcessName) {
        self.dead.remove(name);
        let Some(record) = self.records.remove(name) else {
            return;
        };
        self.ingress_nodes -= usize::from(is_ingress(&record));
        self.are_routes_stale = true;
        if self.by_address.get(&record.link) == Some(name) {
            self.by_address.remove(&record.link);
        }
    }

    /// Restarts the suspicion timeout of every suspect, after this process itself was paused.
    pub(crate) fn reset_suspicion_timers(&mut self, now: Instant) {
        for at in self.suspects.values_mut() {
            *at = now;
        }
    }

    /// Recomputes the routes if members joined or left.
    ///
    /// Between calls the routes may be stale, so that a burst of joins costs one computation per
    /// tick.
    pub(crate) fn refresh_routes(&mut self) {
        if self.are_routes_stale {
            self.routes = self.compute_routes();
            self.are_routes_stale = false;
        }
    }
}

impl Table {
    pub(crate) fn own(&self) -> &Record {
        &self.own
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    pub(crate) fn get_by_address(&self, address: LinkAddress) -> Option<&Record> {
        let name = self.by_address.get(&address)?;
        self.records.get(name)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Record> {
        self.all().filter(|record| record.health != Health::Dead)
    }

    /// The other members of this process's data centre.
    pub(crate) fn local(&self) -> &[LinkAddress] {
        &self.routes.local
    }

    /// The data centres for which this process is a gateway.
    pub(crate) fn remote(&self) -> &[Remote] {
        &self.routes.remote
    }

    /// The other control VMs that are not dead.
    pub(crate) fn control(&self) -> &[LinkAddress] {
        &self.routes.control
    }

    /// The control VMs that were declared dead without having announced that they leave.
    pub(crate) fn dead_control(&self) -> &[LinkAddress] {
        &self.routes.dead_control
    }

    /// Whether a live process of another data centre is known.
    pub(crate) fn knows_other_data_centres(&self) -> bool {
        self.routes.knows_other_data_centres
    }

    pub(crate) fn seeds_of(&self, data_centre: &str) -> Vec<LinkAddress> {
        self.live()
            .filter(|record| record.seed && &*record.data_centre == data_centre)
            .map(|record| record.link)
            .collect()
    }

    pub(crate) fn data_centres(&self) -> Vec<DataCentreId> {
        let mut names: Vec<DataCentreId> = self
            .live()
            .map(|record| record.data_centre.clone())
            .collect();
        names.sort();
        names.dedup();
        names
    }

    /// The number of nodes except those that left.
    pub(crate) fn ingress_nodes(&self) -> usize {
        self.ingress_nodes
    }

    pub(crate) fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// The records in the given buckets, except those of dead processes.
    pub(crate) fn live_in_buckets(&self, buckets: &[u32]) -> Vec<&Record> {
        self.live()
            .filter(|record| {
                let bucket = u32::try_from(bucket(record)).unwrap_or(u32::MAX);
                buckets.contains(&bucket)
            })
            .collect()
    }

    fn compute_routes(&self) -> Routes {
        let mut by_data_centre: BTreeMap<&DataCentreId, Vec<&Record>> = BTreeMap::new();
        for record in self.live() {
            let members = by_data_centre.entry(&record.data_centre).or_default();
            members.push(record);
        }
        let own_members = by_data_centre
            .remove(&self.own.data_centre)
            .unwrap_or_default();
        let knows_other_data_centres = !by_data_centre.is_empty();
        let local = own_members
            .iter()
            .filter(|record| record.name != self.own.name)
            .map(|record| record.link)
            .collect();
        let remote = by_data_centre
            .iter()
            .filter(|(name, _)| elect_gateways(&own_members, name).contains(&self.own.link))
            .map(|(_, members)| Remote {
                gateways: elect_gateways(members, &self.own.data_centre),
                all: members.iter().map(|record| record.link).collect(),
            })
            .collect();
        let control = self
            .live()
            .filter(|record| record.role == Role::Control && record.name != self.own.name)
            .map(|record| record.link)
            .collect();
        let dead_control = self
            .all()
            .filter(|record| record.role == Role::Control && record.name != self.own.name)
            .filter(|record| record.health == Health::Dead && record.status == MemberStatus::Active)
            .map(|record| record.link)
            .collect();
        Routes {
            local,
            remote,
            control,
            dead_control,
            knows_other_data_centres,
        }
    }
}

/// Elects the members of a data centre that exchange updates with another one.
///
/// With rendezvous hashing, every process elects the same members, and the loss of one does not
/// replace another. Seeds and control VMs, which already renew leases, are elected only if there
/// are too few other members.
fn elect_gateways(members: &[&Record], other: &str) -> Vec<LinkAddress> {
    let mut staying: Vec<&&Record> = members
        .iter()
        .filter(|record| record.status == MemberStatus::Active)
        .collect();
    staying.sort_by_cached_key(|record| {
        let rank = hash(other.as_bytes(), record.name_hash());
        let is_reserved = record.seed || record.role == Role::Control;
        (is_reserved, std::cmp::Reverse(rank))
    });
    staying
        .iter()
        .take(GATEWAYS_PER_DATA_CENTRE)
        .map(|record| record.link)
        .collect()
}

/// Whether the node may still accept requests from callers. A node that is declared dead may still
/// accept them on the other side of a partition, unless it left.
fn is_ingress(record: &Record) -> bool {
    let has_left = record.health == Health::Dead && record.status == MemberStatus::Leaving;
    record.role == Role::Node && !has_left
}

fn bucket(record: &Record) -> usize {
    let bucket = record.name_hash() % u64::from(BUCKETS);
    usize::try_from(bucket).unwrap_or_default()
}
