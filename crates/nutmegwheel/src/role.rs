use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use anyhow::Context as _;
use nutmegwheel_config::{Dialect, Role, Settings};
use nutmegwheel_events::{Clock, Event, Journal, Options, Output, SystemTime, WallTime as _};
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The number of events that a process keeps for the timeline.
const JOURNAL_CAPACITY: usize = 8192;
/// The number of worker threads of the runtime. HTTP listeners use separate threads.
const WORKER_THREADS: usize = 2;
/// The interval at which the settings file is checked, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Exit code: the settings are invalid or the start failed.
const EXIT_REFUSED: u8 = 1;

/// Runs a role until a stop signal arrives, and returns the exit code.
pub(crate) fn run(path: &Path, role: Role) -> u8 {
    match start(path, role) {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("{e:#}");
            EXIT_REFUSED
        }
    }
}

/// Checks a settings file and returns the exit code.
pub(crate) fn check(path: &Path) -> u8 {
    match read(path) {
        Ok(settings) => {
            println!(
                "{}: {} of {}: good",
                path.display(),
                settings.name,
                settings.data_centre
            );
            0
        }
        Err(e) => {
            eprintln!("{e:#}");
            EXIT_REFUSED
        }
    }
}

fn read(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{}: settings cannot be read", path.display()))?;
    Settings::parse(&text).with_context(|| path.display().to_string())
}

fn start(path: &Path, role: Role) -> anyhow::Result<()> {
    let settings = read(path)?;
    anyhow::ensure!(
        settings.role == role,
        "{}: role: the settings are for another role",
        path.display()
    );
    init_log()?;
    let opts = Options {
        process: settings.name.clone(),
        capacity: JOURNAL_CAPACITY,
    };
    let journal = Arc::new(Journal::open(opts, Clock::open(SystemTime)));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(path, settings, journal))
}

async fn serve(path: &Path, mut settings: Settings, journal: Arc<Journal>) -> anyhow::Result<()> {
    let mut stop = StopSignals::open()?;
    let mut watcher = SettingsWatcher::open(path)?;
    // The start time, so that a restarted process has a greater incarnation.
    let incarnation = SystemTime.millis();
    let role = settings.role;
    let is_platform = settings.dialect == Dialect::Platform;
    if is_platform && settings.routing.is_none() {
        settings.routing = nutmegwheel_platform::routing(&settings.contracts);
    }
    match role {
        Role::Node => {
            let dialect = is_platform.then(|| Arc::new(nutmegwheel_platform::NodeDialect) as _);
            let reload_journal = journal.clone();
            let node = nutmegwheel_node::spawn(settings, incarnation, journal, dialect).await?;
            loop {
                tokio::select! {
                    () = stop.recv() => break,
                    read = watcher.next() => {
                        record_reload(&reload_journal, read.map(|new| node.reload(&new)));
                    }
                }
            }
            node.shutdown().await;
        }
        Role::Control => {
            let dialect = is_platform.then(|| Arc::new(nutmegwheel_platform::ControlDialect) as _);
            let reload_journal = journal.clone();
            let control = nutmegwheel_control::spawn(settings, incarnation, journal, dialect);
            let control = control.await?;
            loop {
                tokio::select! {
                    () = stop.recv() => break,
                    read = watcher.next() => {
                        record_reload(&reload_journal, read.map(|new| control.reload(&new)));
                    }
                }
            }
            control.shutdown().await;
        }
    }
    Ok(())
}

/// The signals that stop a process.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn open() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reloads the settings on SIGHUP, and whenever the content of the file has changed.
struct SettingsWatcher {
    path: PathBuf,
    hang_up: Signal,
    text: String,
}

impl SettingsWatcher {
    fn open(path: &Path) -> anyhow::Result<Self> {
        Ok(Self {
            path: path.to_owned(),
            hang_up: signal(SignalKind::hangup())?,
            text: std::fs::read_to_string(path).unwrap_or_default(),
        })
    }

    /// Waits until the settings have to be reloaded and reads them.
    async fn next(&mut self) -> anyhow::Result<Settings> {
        loop {
            let is_signalled = tokio::select! {
                _ = self.hang_up.recv() => true,
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
            };
            let text = std::fs::read_to_string(&self.path)
                .with_context(|| format!("{}: read the settings", self.path.display()));
            let text = match text {
                Ok(text) => text,
                Err(e) if is_signalled => return Err(e),
                // The file may be missing while it is replaced; the next check finds it.
                Err(_) => continue,
            };
            if text == self.text && !is_signalled {
                continue;
            }
            let parsed = Settings::parse(&text).with_context(|| self.path.display().to_string());
            self.text = text;
            return parsed;
        }
    }
}

fn record_reload(journal: &Journal, reloaded: anyhow::Result<()>) {
    match reloaded {
        Ok(()) => journal.emit(Event::SettingsReloaded, &[]),
        Err(e) => journal.emit(Event::SettingsRefused, &[("error", &format!("{e:#}"))]),
    }
}

/// Sets up the log on standard output.
///
/// Events are lines of JSON that contain time, number and process, so the logger adds nothing.
fn init_log() -> anyhow::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("nutmegwheel")
        .build();
    let (output, _dropped) = Output::open(std::io::stdout()).context("cannot open the log")?;
    WriteLogger::init(LevelFilter::Info, config, output).context("cannot open the log")
}
