//! The faults of one run, drawn from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng as _, rngs::SmallRng};

/// The fleet that a plan is drawn for.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// The number of nodes in each data centre.
    pub nodes: usize,
    /// The number of control VMs, assigned to the data centres round-robin.
    pub control_vms: usize,
}

/// A fault, the time at which it occurs, and the process that it affects.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When the fault begins, from the start of traffic.
    pub at: Duration,
    /// How long the fault lasts.
    pub lasts: Duration,
    /// The process that the fault affects, directly or through its links or backend server.
    pub process: String,
    /// What happens to the process, its links or its backend server.
    pub fault: Fault,
}

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The process is paused.
    Freeze,
    /// The process is killed and started again.
    Kill,
    /// The process is stopped with SIGTERM and started again.
    Stop,
    /// The process is killed and started again without its data folder.
    LoseDisk,
    /// The process is killed, and started again with an incomplete record at the end of its log.
    TearDisk,
    /// The links from other processes to the process fail.
    Link(LinkFault),
    /// The backend server local to the process fails.
    Backend(BackendFault),
}

/// A fault of the connections to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFault {
    /// All data is delayed by this time.
    Delay(Duration),
    /// Open connections are reset. New connections work.
    Reset,
    /// Open connections are reset, and new connections are refused.
    Refuse,
    /// Open connections stop delivering data permanently. New connections work.
    SilenceOpen,
    /// Open and new connections stop delivering data.
    SilenceAll,
    /// All data is held back and delivered when the fault ends.
    Hold,
    /// Data from the named process does not arrive until the fault ends, but data to it does.
    OneWay(String),
    /// A connection is closed after this many more bytes.
    Truncate(usize),
    /// A byte is corrupted after this many more bytes.
    Corrupt(usize),
}

/// A fault of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendFault {
    /// It refuses requests without running them.
    Shed,
    /// It closes the connection after a request has begun to run.
    Break,
    /// It closes the connection in the middle of the answer.
    Truncate,
    /// It runs requests and answers 500.
    Status,
    /// Each request takes this long.
    Slow(Duration),
    /// It crashes and is replaced by a new one.
    Die,
}

/// The faults of one run, ordered by start time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The faults, ordered by [`Step::at`].
    pub steps: Vec<Step>,
}

/// The maximum time between the starts of two faults; short enough that several usually overlap.
const MAX_PAUSE: Duration = Duration::from_millis(900);
/// The maximum length of a fault.
const MAX_FAULT_TIME: Duration = Duration::from_millis(3500);
/// The period at the end of a run without faults, in which the service must recover.
const FAULT_FREE_TAIL: Duration = Duration::from_secs(1);

impl Plan {
    /// Draws the faults of a run of length `time`. The result depends on the arguments alone.
    ///
    /// At most one process of each data centre restarts, and at most one control VM of the fleet
    /// loses its disk. This is what docs/PROMISES.md tolerates: claims and the log survive on the
    /// other processes.
    #[must_use]
    pub fn draw(seed: u64, shape: &FleetShape, time: Duration) -> Self {
        let mut sampler = FaultSampler::open(seed, shape);
        let last = time.saturating_sub(FAULT_FREE_TAIL);
        let mut at = Duration::ZERO;
        let mut steps = Vec::new();
        loop {
            at += sampler.rng.random_range(Duration::ZERO..MAX_PAUSE);
            if at >= last {
                return Self { steps };
            }
            let longest = MAX_FAULT_TIME.min(last.saturating_sub(at));
            let lasts = sampler.rng.random_range(Duration::ZERO..=longest);
            let (process, fault) = sampler.fault();
            steps.push(Step {
                at,
                lasts,
                process,
                fault,
            });
        }
    }
}

struct FaultSampler {
    rng: SmallRng,
    nodes: Vec<String>,
    control: Vec<String>,
    /// The one process of each data centre that may be restarted.
    restartable: Vec<String>,
    has_lost_disk: bool,
}

impl FaultSampler {
    fn open(seed: u64, shape: &FleetShape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let control: Vec<String> = (0..shape.control_vms)
            .map(|number| format!("control-{number}"))
            .collect();
        let mut nodes = Vec::new();
        let mut restartable = Vec::new();
        for (index, name) in shape.data_centres.iter().enumerate() {
            let mut local: Vec<String> = (0..shape.nodes)
                .map(|number| format!("{name}-{number}"))
                .collect();
            nodes.extend(local.clone());
            let placed = control.iter().skip(index);
            local.extend(placed.step_by(shape.data_centres.len()).cloned());
            restartable.push(local[rng.random_range(0..local.len())].clone());
        }
        Self {
            rng,
            nodes,
            control,
            restartable,
            has_lost_disk: false,
        }
    }

    fn fault(&mut self) -> (String, Fault) {
        match self.rng.random_range(0..10) {
            0..2 => (self.any_process(), Fault::Freeze),
            2..4 => self.restart(),
            4..8 => (self.any_process(), Fault::Link(self.link_fault())),
            _ => (self.any_node(), Fault::Backend(self.backend_fault())),
        }
    }

    fn restart(&mut self) -> (String, Fault) {
        let name = self.restartable[self.rng.random_range(0..self.restartable.len())].clone();
        let is_control = self.control.contains(&name);
        let fault = match self.rng.random_range(0..4) {
            0 if is_control && !self.has_lost_disk => {
                self.has_lost_disk = true;
                Fault::LoseDisk
            }
            1 if is_control => Fault::TearDisk,
            0 | 2 => Fault::Stop,
            _ => Fault::Kill,
        };
        (name, fault)
    }

    fn link_fault(&mut self) -> LinkFault {
        const MAX_BYTES: usize = 20_000;
        const DELAY: std::ops::Range<Duration> =
            Duration::from_millis(5)..Duration::from_millis(400);
        match self.rng.random_range(0..9) {
            0 => LinkFault::Delay(self.rng.random_range(DELAY)),
            1 => LinkFault::Reset,
            2 => LinkFault::Refuse,
            3 => LinkFault::SilenceOpen,
            4 => LinkFault::SilenceAll,
            5 => LinkFault::Hold,
            6 => LinkFault::OneWay(self.any_process()),
            7 => LinkFault::Truncate(self.rng.random_range(0..MAX_BYTES)),
            _ => LinkFault::Corrupt(self.rng.random_range(0..MAX_BYTES)),
        }
    }

    fn backend_fault(&mut self) -> BackendFault {
        const SLOW: std::ops::Range<Duration> =
            Duration::from_millis(50)..Duration::from_millis(800);
        match self.rng.random_range(0..6) {
            0 => BackendFault::Shed,
            1 => BackendFault::Break,
            2 => BackendFault::Truncate,
            3 => BackendFault::Status,
            4 => BackendFault::Slow(self.rng.random_range(SLOW)),
            _ => BackendFault::Die,
        }
    }

    fn any_process(&mut self) -> String {
        let all = self.nodes.len() + self.control.len();
        let index = self.rng.random_range(0..all);
        let mut names = self.nodes.iter().chain(&self.control);
        names.nth(index).cloned().unwrap_or_default()
    }

    fn any_node(&mut self) -> String {
        self.nodes[self.rng.random_range(0..self.nodes.len())].clone()
    }
}
