use std::{path::Path, sync::Arc};

use anyhow::Context as _;
use nutmegwheel_config::{Role, Settings};
use nutmegwheel_events::{Clock, Journal, Options, SystemTime, WallTime as _};
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use tokio::signal::unix::{SignalKind, signal};

/// How many events a process keeps for the time line.
const EVENTS_KEPT: usize = 8192;
/// The threads that serve links; HTTP listeners have their own.
const THREADS: usize = 2;
/// The settings or the start were refused.
const REFUSED: u8 = 1;

/// Runs a role until it is told to stop, and returns the exit code.
pub(crate) fn run(path: &Path, role: Role) -> u8 {
    match start(path, role) {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("{e:#}");
            REFUSED
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
            REFUSED
        }
    }
}

fn read(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{}: read the settings", path.display()))?;
    Settings::parse(&text).with_context(|| path.display().to_string())
}

fn start(path: &Path, role: Role) -> anyhow::Result<()> {
    let settings = read(path)?;
    anyhow::ensure!(
        settings.role == role,
        "{}: role: the settings are for another role",
        path.display()
    );
    log_to_stderr()?;
    let opts = Options {
        process: settings.name.clone(),
        capacity: EVENTS_KEPT,
    };
    let journal = Arc::new(Journal::open(opts, Clock::open(SystemTime)));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings, journal))
}

async fn serve(settings: Settings, journal: Arc<Journal>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let told_to_stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    // A restarted process has a greater number, which tells its lives apart.
    let incarnation = SystemTime.millis();
    match settings.role {
        Role::Node => {
            let node = nutmegwheel_node::spawn(settings, incarnation, journal).await?;
            told_to_stop.await;
            node.shutdown().await;
        }
        Role::Control => {
            let control = nutmegwheel_control::spawn(settings, incarnation, journal).await?;
            told_to_stop.await;
            control.shutdown().await;
        }
    }
    Ok(())
}

fn log_to_stderr() -> anyhow::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("nutmegwheel")
        .build();
    SimpleLogger::init(LevelFilter::Info, config).context("open the log")
}
