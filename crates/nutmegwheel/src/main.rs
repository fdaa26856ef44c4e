//! The binary of nutmegwheel: `node`, `control`, `ctl`, `read-logs` and `check-settings`.
//!
//! This crate parses the command line, prints, and sets the exit code; the libraries do the work.
//! Exit codes: 0 success, 1 refused, 2 usage error, 3 no process reached or no definite answer, 4
//! withdrawal pending.

mod ctl;
mod flags;
mod logs;
mod role;

use std::process::ExitCode;

use flags::{Nutmegwheel, NutmegwheelCmd};

/// Exit code: invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = match Nutmegwheel::from_env() {
        Ok(flags) => flags,
        Err(e) if e.is_help() => {
            println!("{e}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("{e}\n\nTry: nutmegwheel --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let code = match flags.subcommand {
        NutmegwheelCmd::Node(cmd) => role::run(&cmd.settings, nutmegwheel_config::Role::Node),
        NutmegwheelCmd::Control(cmd) => role::run(&cmd.settings, nutmegwheel_config::Role::Control),
        NutmegwheelCmd::CheckSettings(cmd) => role::check(&cmd.file),
        NutmegwheelCmd::ReadLogs(cmd) => logs::run(&cmd),
        NutmegwheelCmd::Ctl(cmd) => ctl::run(cmd),
    };
    ExitCode::from(code)
}
