use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegwheel_types::{ConfigVersion, plain};

use super::Gossip;
use crate::freshness::{ConfirmOutcome, Lease, LeaseOptions, SyncProgress};
use crate::random::Random;
use crate::{
    AgedHeartbeat, Body, Confirmation, ControlHeartbeat, LinkAddress, PartitionPolicy, Renew, Role,
    WithdrawnPart, WithdrawnSet,
};

const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which an unanswered request to a control VM is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The time without a newer heartbeat after which a seed switches to another control VM.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

plain! {
    /// The control VMs that this process polls for confirmations and heartbeats. A seed polls the
    /// control VM to which it is attached, and a control VM polls all others.
    pub(super) struct ControlMonitor {
        monitored: BTreeMap<LinkAddress, MonitoredVm>,
        attached: Option<LinkAddress>,
        first_sequence: u64,
    }

    struct MonitoredVm {
        lease: Lease,
        newest: Option<ControlHeartbeat>,
        last_progress: Instant,
    }
}

impl ControlMonitor {
    pub(super) fn open(first_sequence: u64) -> Self {
        Self {
            monitored: BTreeMap::new(),
            attached: None,
            first_sequence,
        }
    }

    /// Switches to another control VM if the attached one is gone or its heartbeat has stalled.
    pub(super) fn attach(&mut self, now: Instant, known: &[LinkAddress], random: &mut Random) {
        let current = self.attached.filter(|address| known.contains(address));
        let is_progressing = current
            .and_then(|address| self.monitored.get(&address))
            .is_some_and(|vm| now.saturating_duration_since(vm.last_progress) < STALL_TIMEOUT);
        if is_progressing {
            return;
        }
        let mut others: Vec<LinkAddress> = known.to_vec();
        others.retain(|address| Some(*address) != current);
        self.attached = random.draw(&mut others, 1).first().copied().or(current);
        if let Some(address) = self.attached {
            self.watch(now, address).last_progress = now;
        }
    }

    fn watch(&mut self, now: Instant, address: LinkAddress) -> &mut MonitoredVm {
        let options = LeaseOptions {
            seeds: vec![address],
            first_sequence: self.first_sequence,
            interval: RENEW_INTERVAL,
            retry: RETRY_INTERVAL,
        };
        self.monitored
            .entry(address)
            .or_insert_with(|| MonitoredVm {
                lease: Lease::open(options),
                newest: None,
                last_progress: now,
            })
    }

    /// Returns the renewal requests that are due: to all `known` control VMs if `all` is set, else
    /// to the attached one.
    pub(super) fn renew(
        &mut self,
        now: Instant,
        known: &[LinkAddress],
        all: bool,
    ) -> Vec<(LinkAddress, Renew)> {
        let polled = if all { known } else { self.attached.as_slice() };
        let polled = polled.to_vec();
        let mut requests = Vec::new();
        for address in polled {
            requests.extend(self.watch(now, address).lease.renew(now, true));
        }
        requests
    }

    /// Handles a confirmation from a control VM.
    pub(super) fn confirm(
        &mut self,
        now: Instant,
        from: LinkAddress,
        confirmation: &Confirmation,
        version: ConfigVersion,
        withdrawn: &WithdrawnSet,
    ) -> ConfirmOutcome {
        let Some(vm) = self.monitored.get_mut(&from) else {
            return ConfirmOutcome::Ignored;
        };
        let heartbeat = confirmation.heartbeat.map(|aged| aged.heartbeat);
        if heartbeat > vm.newest {
            vm.newest = heartbeat;
            vm.last_progress = now;
        }
        vm.lease.confirm(from, confirmation, version, withdrawn)
    }

    pub(super) fn record_read(&mut self, from: LinkAddress, part: &WithdrawnPart) {
        if let Some(vm) = self.monitored.get_mut(&from) {
            vm.lease.record_read(from, part);
        }
    }

    pub(super) fn apply_pending(&mut self, version: ConfigVersion, withdrawn: &WithdrawnSet) {
        for vm in self.monitored.values_mut() {
            vm.lease.apply_pending(version, withdrawn);
        }
    }
}

impl ControlMonitor {
    /// The time at which the open request with this sequence number was sent.
    pub(super) fn sent_at(&self, from: LinkAddress, sequence: u64) -> Option<Instant> {
        self.monitored.get(&from)?.lease.sent_at(from, sequence)
    }

    pub(super) fn attached(&self) -> Option<LinkAddress> {
        self.attached
    }

    pub(super) fn has_authority(&self) -> bool {
        self.monitored.values().any(|vm| vm.lease.has_authority())
    }
}

/// Heartbeats and confirmations of control VMs.
impl Gossip {
    /// Issues a heartbeat; the leader of the control VMs calls this about every 500 ms.
    pub fn issue_heartbeat(&mut self, now: Instant, heartbeat: ControlHeartbeat) {
        self.latest_heartbeat.observe(
            now,
            AgedHeartbeat {
                heartbeat,
                age_ms: 0,
            },
        );
    }

    /// Declares this control VM authoritative until `until`: it holds all withdrawals and the
    /// configuration that were committed before this call.
    ///
    /// The caller must have confirmed its read index, and passed all committed state to
    /// [`Gossip::load_withdrawn`] and [`Gossip::set_configuration`].
    pub fn extend_authority(&mut self, until: Instant) {
        self.authority_until = self.authority_until.max(Some(until));
        self.update_synced_with(true);
    }

    /// Sets the behaviour of the data centre when it is partitioned from the control VMs.
    pub fn set_partition_policy(&mut self, partition_policy: PartitionPolicy) {
        self.options.partition_policy = partition_policy;
    }

    pub(super) fn is_authoritative(&self, now: Instant) -> bool {
        self.authority_until.is_some_and(|until| now < until)
    }

    pub(super) fn monitor_control_vms(&mut self, now: Instant) {
        let is_control = self.options.role == Role::Control;
        // Without leases each node attaches to a control VM itself, so that it learns of new
        // versions even if no peer pushes them.
        if !is_control && self.seed_state.is_none() && self.options.needs_lease {
            return;
        }
        let known = self.table.control().to_vec();
        if !is_control {
            self.control.attach(now, &known, &mut self.random);
        }
        for (to, renew) in self.control.renew(now, &known, is_control) {
            self.send(to, Body::Renew(renew));
        }
    }

    /// Marks this process as a synced seed once it has caught up.
    pub(super) fn update_synced(&mut self) {
        self.update_synced_with(self.control.has_authority());
    }

    fn update_synced_with(&mut self, authority: bool) {
        let own = self.options.link;
        let seeds = self.lease.synced_seed_count(own);
        if let Some(seed_state) = &mut self.seed_state {
            let authority = authority || self.lease.has_authority();
            seed_state.update_synced(SyncProgress { seeds, authority });
        }
    }
}
