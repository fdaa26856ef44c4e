use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// A direction of traffic through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected to the relay to the target.
    ToTarget,
    /// From the target to the process that connected to the relay.
    FromTarget,
}

/// The faults that are currently injected. Connections are numbered from 1.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    pub(super) accepted: u64,
    pub(super) closed_up_to: u64,
    pub(super) silent_up_to: u64,
    pub(super) refuse_new: bool,
    pub(super) silence_new: bool,
    pub(super) hold: bool,
    pub(super) delay: Duration,
    pub(super) fault: Option<Fault>,
    /// Connections whose first bytes contain one of these names carry no traffic.
    pub(super) blocked: Vec<String>,
    faults_set: u64,
}

/// A fault at a byte offset of one direction. It is triggered at most once.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    pub(super) number: u64,
    pub(super) direction: Direction,
    pub(super) kind: FaultKind,
    pub(super) offset: usize,
    is_triggered: Arc<AtomicBool>,
}

impl Fault {
    /// Returns true on the first call only, whichever connection makes it.
    pub(super) fn trigger(&self) -> bool {
        !self.is_triggered.swap(true, Ordering::SeqCst)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultKind {
    Truncate,
    Corrupt,
}

impl Plan {
    pub(super) fn clear(&mut self) {
        // Connections made while all traffic was stopped stay silent.
        if self.silence_new {
            self.silent_up_to = self.accepted;
        }
        self.refuse_new = false;
        self.silence_new = false;
        self.hold = false;
        self.delay = Duration::ZERO;
        self.fault = None;
        self.blocked.clear();
    }

    pub(super) fn set_fault(&mut self, direction: Direction, kind: FaultKind, offset: usize) {
        self.faults_set += 1;
        self.fault = Some(Fault {
            number: self.faults_set,
            direction,
            kind,
            offset,
            is_triggered: Arc::default(),
        });
    }

    pub(super) fn is_closed(&self, connection: u64) -> bool {
        connection <= self.closed_up_to
    }

    /// Whether a connection that started with `first_bytes` carries traffic.
    pub(super) fn is_flowing(&self, connection: u64, first_bytes: &[u8]) -> bool {
        let is_blocked = self
            .blocked
            .iter()
            .any(|name| contains(first_bytes, name.as_bytes()));
        !is_blocked && !self.hold && !self.silence_new && connection > self.silent_up_to
    }
}

fn contains(bytes: &[u8], name: &[u8]) -> bool {
    bytes.windows(name.len()).any(|window| window == name)
}
