use std::time::{Duration, Instant};

use super::{Gossip, Outgoing, TICK, is_due};
use crate::Body;
use crate::freshness::SeedState;
use crate::probe::ProbeAction;

/// The time between ticks above which the process assumes that it was paused itself, and does not
/// suspect peers for missing answers.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// The interval between the first attempts to join. It doubles up to [`MAX_JOIN_INTERVAL`]: after a
/// loss of power the contacts may start a moment later than the process.
const MIN_JOIN_INTERVAL: Duration = TICK;
/// The maximum interval between attempts to join.
const MAX_JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// The number of doublings after which the interval has long reached [`MAX_JOIN_INTERVAL`].
const MAX_JOIN_DOUBLINGS: u32 = 8;
/// The number of members asked to probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;

/// Periodic actions.
impl Gossip {
    /// Runs the actions that are due at `now` and returns the messages to send.
    ///
    /// It must be called every [`super::TICK`]; late calls only delay the actions.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        if self.is_stopped {
            return Vec::new();
        }
        self.budget.refill(now);
        self.table.refresh_routes();
        self.detect_pause(now);
        self.join(now);
        self.probe(now);
        self.expire(now);
        self.renew(now);
        self.monitor_control_vms(now);
        self.update_synced();
        self.confirm_withdrawals(now);
        self.fetch(now);
        self.push_broadcasts(now);
        self.run_anti_entropy(now);
        self.flush(now)
    }

    fn detect_pause(&mut self, now: Instant) {
        let last = self.timers.last_tick.replace(now);
        if last.is_some_and(|at| now.saturating_duration_since(at) > PAUSE_THRESHOLD) {
            self.prober.clear_pending();
            self.table.reset_suspicion_timers(now);
        }
    }

    fn probe(&mut self, now: Instant) {
        let mut actions = self.prober.advance(now);
        if self.prober.is_due(now) {
            let members = self.table.local();
            actions.extend(self.prober.start(now, members, &mut self.random));
        }
        for action in actions {
            self.run_probe_action(now, action);
        }
    }

    fn run_probe_action(&mut self, now: Instant, action: ProbeAction) {
        match action {
            ProbeAction::Ping { sequence, target } => {
                let records = self.piggyback();
                self.send(target, Body::Ping { sequence, records });
            }
            ProbeAction::Indirect { sequence, target } => {
                let mut others = self.table.local().to_vec();
                others.retain(|address| *address != target);
                for helper in self.random.draw(&mut others, INDIRECT_PROBES) {
                    self.send(helper, Body::ProbeRequest { sequence, target });
                }
            }
            ProbeAction::Suspect(target) => self.suspect(now, target),
        }
    }

    fn renew(&mut self, now: Instant) {
        let is_synced = self.seed_state.as_ref().is_none_or(SeedState::is_synced);
        for (to, renew) in self.lease.renew(now, !is_synced) {
            self.send(to, Body::Renew(renew));
        }
    }

    fn confirm_withdrawals(&mut self, now: Instant) {
        if let Some(seed_state) = &mut self.seed_state {
            seed_state.advance_in_force(now);
            for (to, request) in seed_state.due_requests(now) {
                self.send(to, Body::Withdraw(request));
            }
        }
        self.request_data_centre_confirmations(now);
    }

    fn join(&mut self, now: Instant) {
        const FAN_OUT: usize = 1;
        let attempts = self.timers.join_attempts;
        let doublings = attempts.saturating_sub(1).min(MAX_JOIN_DOUBLINGS);
        let interval = MAX_JOIN_INTERVAL.min(MIN_JOIN_INTERVAL * (1 << doublings));
        if self.timers.is_joined || !is_due(&mut self.timers.last_join, now, interval) {
            return;
        }
        let is_first = attempts == 0;
        self.timers.join_attempts = attempts.saturating_add(1);
        let own = self.options.link;
        let mut contacts: Vec<_> = self.options.seeds.iter().map(|seed| seed.link).collect();
        // The first attempt asks a seed of the data centre: that spreads the load of answers better
        // than asking the few contacts that all data centres share.
        if !is_first || contacts.iter().all(|address| *address == own) {
            contacts.extend(&self.options.contacts);
        }
        contacts.retain(|address| *address != own);
        contacts.sort_unstable();
        contacts.dedup();
        for to in self.random.draw(&mut contacts, FAN_OUT) {
            self.send(to, Body::Join(self.table.own().clone()));
        }
    }
}
