//! The development tool of nutmegwheel: `demo` and `measure`.
//!
//! Both start real processes and fake backend servers on loopback, send requests and operator
//! commands to them, and exit when done. See docs/MEASURE.md.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod backend_pool;
mod demo;
mod deployment;
mod flags;
mod load;
mod measure;
mod operator;
mod program;
mod score;
mod system;
mod usage;

use std::process::ExitCode;

use flags::{MeasureCmd, NutmegwheelBench, NutmegwheelBenchCmd};

/// The exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let flags = match NutmegwheelBench::from_env() {
        Ok(flags) => flags,
        Err(e) if e.is_help() => {
            println!("{e}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("{e}\n\nTry: nutmegwheel-bench --help");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run(flags.subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(cmd: NutmegwheelBenchCmd) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    match cmd {
        NutmegwheelBenchCmd::Demo(_) => runtime.block_on(demo::run()),
        NutmegwheelBenchCmd::Measure(cmd) => runtime.block_on(measure(cmd.subcommand)),
    }
}

async fn measure(cmd: MeasureCmd) -> anyhow::Result<()> {
    match cmd {
        MeasureCmd::Scenarios(flags) => measure::scenarios(&flags).await,
        MeasureCmd::Added(flags) => measure::added::run(&flags).await,
        MeasureCmd::Readers(flags) => measure::readers::run(&flags).await,
        MeasureCmd::Slopes(flags) => measure::slopes::run(&flags).await,
    }
}
