use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// A way through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the process that connected to the relay.
    ToTarget,
    /// To the process that connected to the relay.
    FromTarget,
}

/// What the relay does to its connections.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    pub(super) accepted: u64,
    pub(super) cut_up_to: u64,
    pub(super) silent_up_to: u64,
    pub(super) refuse: bool,
    pub(super) silence_new: bool,
    pub(super) hold: bool,
    pub(super) delay: Duration,
    pub(super) fault: Option<Fault>,
    /// What the first bytes of a connection hold through which nothing goes.
    pub(super) barred: Vec<String>,
    faults: u64,
}

/// A fault at one place in the bytes of a direction, which strikes once.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    pub(super) number: u64,
    pub(super) direction: Direction,
    pub(super) kind: Kind,
    pub(super) after: usize,
    is_spent: Arc<AtomicBool>,
}

impl Fault {
    /// Tells whether the fault is still to strike, and makes this the one time.
    pub(super) fn strike(&self) -> bool {
        !self.is_spent.swap(true, Ordering::SeqCst)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Truncate,
    Corrupt,
}

impl Plan {
    pub(super) fn pass(&mut self) {
        // Connections that were made while everything was silent stay so.
        if self.silence_new {
            self.silent_up_to = self.accepted;
        }
        self.refuse = false;
        self.silence_new = false;
        self.hold = false;
        self.delay = Duration::ZERO;
        self.fault = None;
        self.barred.clear();
    }

    pub(super) fn set_fault(&mut self, direction: Direction, kind: Kind, after: usize) {
        self.faults += 1;
        self.fault = Some(Fault {
            number: self.faults,
            direction,
            kind,
            after,
            is_spent: Arc::default(),
        });
    }

    pub(super) fn is_cut(&self, connection: u64) -> bool {
        connection <= self.cut_up_to
    }

    /// Whether bytes go through a connection that began with those of `opening`.
    pub(super) fn is_flowing(&self, connection: u64, opening: &[u8]) -> bool {
        let is_barred = self
            .barred
            .iter()
            .any(|name| holds(opening, name.as_bytes()));
        !is_barred && !self.hold && !self.silence_new && connection > self.silent_up_to
    }
}

fn holds(bytes: &[u8], name: &[u8]) -> bool {
    bytes.windows(name.len()).any(|window| window == name)
}
