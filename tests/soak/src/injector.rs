//! Injects the faults of a plan into a running fleet, from outside its processes.

use std::{
    collections::HashMap,
    fs,
    io::Write as _,
    time::{Duration, Instant},
};

use nutmegwheel_support::{Fault as ServerFault, relay::Direction};

use crate::{
    checker::FaultWindow,
    environment::Environment,
    plan::{BackendFault, Fault, LinkFault, Plan, Step},
};

/// The time within which a process must exit after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// The folder of the log in the data folder of a control VM.
const LOG_FOLDER: &str = "log";
/// The first bytes of a log frame, as a power loss may leave them after the last complete one; see
/// docs/spec/AGREEMENT.md, "Files".
const TORN_FRAME: &[u8] = &[0x31, 0x4c, 0x57, 0x4e, 200, 0, 0];

/// The start or the end of a fault.
struct FaultEvent<'a> {
    at: Instant,
    is_start: bool,
    /// The index of the step in the plan.
    number: usize,
    step: &'a Step,
}

/// Injects the faults of a plan and waits until the last one has ended.
///
/// Returns the times in which processes were paused, killed or stopped.
pub(crate) async fn inject_faults(
    env: &mut Environment,
    plan: &Plan,
    start: Instant,
) -> anyhow::Result<Vec<FaultWindow>> {
    let mut events: Vec<FaultEvent<'_>> = Vec::new();
    for (number, step) in plan.steps.iter().enumerate() {
        let at = start + step.at;
        events.push(FaultEvent {
            at,
            is_start: true,
            number,
            step,
        });
        events.push(FaultEvent {
            at: at + step.lasts,
            is_start: false,
            number,
            step,
        });
    }
    events.sort_by_key(|event| event.at);
    let mut injector = FaultInjector {
        env,
        fault_windows: HashMap::new(),
        stopping: HashMap::new(),
    };
    for event in events {
        tokio::time::sleep_until(event.at.into()).await;
        if event.is_start {
            injector.begin(event.number, event.step);
        } else {
            injector.end(event.number, event.step).await?;
        }
    }
    injector.clear_link_faults();
    Ok(injector.fault_windows.into_values().collect())
}

struct FaultInjector<'a> {
    env: &'a mut Environment,
    /// The fault windows by the index of the step.
    fault_windows: HashMap<usize, FaultWindow>,
    /// The ids of the processes that received SIGTERM, by name.
    stopping: HashMap<String, u32>,
}

impl FaultInjector<'_> {
    fn begin(&mut self, number: usize, step: &Step) {
        let name = &step.process;
        let from = Instant::now();
        match &step.fault {
            Fault::Freeze => self.env.fleet.process(name).signal("STOP"),
            Fault::Stop => {
                let process = self.env.fleet.process(name);
                process.signal("TERM");
                let id = process.id();
                self.stopping.extend(id.map(|id| (name.clone(), id)));
            }
            Fault::Kill | Fault::LoseDisk | Fault::TearDisk => self.env.fleet.process(name).kill(),
            Fault::Link(fault) => self.begin_link(name, fault),
            Fault::Backend(fault) => self.begin_backend(name, fault),
        }
        if !matches!(step.fault, Fault::Link(_) | Fault::Backend(_)) {
            let window = FaultWindow {
                process: name.clone(),
                from,
                to: from + step.lasts,
            };
            self.fault_windows.insert(number, window);
        }
    }

    async fn end(&mut self, number: usize, step: &Step) -> anyhow::Result<()> {
        let name = &step.process;
        let is_down = self.env.fleet.process(name).id().is_none();
        match &step.fault {
            Fault::Freeze => self.env.fleet.process(name).signal("CONT"),
            Fault::Stop => self.end_stop(name).await?,
            // The process runs again because an overlapping restart has ended already.
            Fault::Kill | Fault::LoseDisk | Fault::TearDisk if !is_down => {}
            Fault::Kill => self.env.fleet.restart_without_waiting(name)?,
            Fault::LoseDisk => {
                fs::remove_dir_all(self.env.fleet.folder().join(name))?;
                self.env.fleet.restart_without_waiting(name)?;
            }
            Fault::TearDisk => {
                self.append_torn_frame(name)?;
                self.env.fleet.restart_without_waiting(name)?;
            }
            Fault::Link(_) => self.env.fleet.relay(name).clear_faults(),
            Fault::Backend(fault) => self.end_backend(name, fault).await?,
        }
        // The actual end may be later than planned: a process takes a while to stop.
        if let Some(window) = self.fault_windows.get_mut(&number) {
            window.to = Instant::now();
        }
        Ok(())
    }

    /// Waits until a process that received SIGTERM has exited, and starts it again.
    async fn end_stop(&mut self, name: &str) -> anyhow::Result<()> {
        let stopped_id = self.stopping.remove(name);
        let process = self.env.fleet.process(name);
        if process.id() != stopped_id || stopped_id.is_none() {
            return Ok(());
        }
        // An overlapping fault may have paused the process, which then cannot exit.
        process.signal("CONT");
        process.wait_for_exit(STOP_LIMIT).await;
        if process.id().is_some() {
            let log = self.env.fleet.log(name);
            anyhow::bail!("{name} did not stop within {STOP_LIMIT:?} of SIGTERM:\n{log}");
        }
        self.env.fleet.restart_without_waiting(name)
    }

    fn append_torn_frame(&self, name: &str) -> anyhow::Result<()> {
        let mut logs = Vec::new();
        for entry in fs::read_dir(self.env.fleet.folder().join(name).join(LOG_FOLDER))? {
            let entry = entry?;
            if entry.file_name().to_string_lossy().starts_with("log-") {
                logs.push(entry.path());
            }
        }
        // File names sort by number; the log is appended to the newest file.
        if let Some(newest) = logs.into_iter().max() {
            fs::File::options()
                .append(true)
                .open(newest)?
                .write_all(TORN_FRAME)?;
        }
        Ok(())
    }

    fn begin_link(&self, name: &str, fault: &LinkFault) {
        let relay = self.env.fleet.relay(name);
        match fault {
            LinkFault::Delay(time) => relay.delay(*time),
            LinkFault::Reset => relay.close_existing(),
            LinkFault::Refuse => relay.refuse(),
            LinkFault::SilenceOpen => relay.silence_existing(),
            LinkFault::SilenceAll => relay.silence_all(),
            LinkFault::Hold => relay.hold(),
            LinkFault::OneWay(from) => relay.block_matching(from),
            LinkFault::Truncate(after) => relay.truncate_after(Direction::ToTarget, *after),
            LinkFault::Corrupt(after) => relay.corrupt_after(Direction::ToTarget, *after),
        }
    }

    fn begin_backend(&self, name: &str, fault: &BackendFault) {
        let Some(backend) = self.env.backends.get(name) else {
            return;
        };
        backend.set_behaviour(|behaviour| match fault {
            BackendFault::Shed => behaviour.fault = ServerFault::Shed,
            BackendFault::Break => behaviour.fault = ServerFault::Disconnect,
            BackendFault::Truncate => behaviour.fault = ServerFault::Truncate,
            BackendFault::Status => behaviour.fault = ServerFault::Status(500),
            BackendFault::Slow(time) => behaviour.service_time = *time,
            BackendFault::Die => {}
        });
        if *fault == BackendFault::Die {
            backend.kill();
        }
    }

    /// Replaces a backend server that crashed, and clears any other fault.
    async fn end_backend(&mut self, name: &str, fault: &BackendFault) -> anyhow::Result<()> {
        let index = self.env.nodes.iter().position(|node| node.name == name);
        if *fault == BackendFault::Die
            && let Some(index) = index
        {
            self.env.start_backend(index).await?;
        } else if let Some(backend) = self.env.backends.get(name) {
            backend.set_behaviour(|behaviour| {
                behaviour.fault = ServerFault::None;
                behaviour.service_time = crate::environment::SERVICE_TIME;
            });
        }
        Ok(())
    }

    /// Clears the link faults of all processes. Overlapping faults of one link replace and end each
    /// other; this ensures that none is left.
    fn clear_link_faults(&mut self) {
        let all = self.env.nodes.iter().chain(&self.env.control);
        for vm in all {
            self.env.fleet.relay(&vm.name).clear_faults();
        }
    }
}
