//! Runs the soak from the command line: `nutmegwheel-soak --seeds 50`.
#![forbid(unsafe_code)]

use std::{path::PathBuf, process::ExitCode, time::Duration};

use nutmegwheel_soak::{FleetShape, Options, Outcome};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Injects randomized faults into fleets of real processes and checks their guarantees.
        cmd soak {
            /// The first seed; random by default.
            optional --first seed: u64
            /// How many seeds to run, one after the other; 1 by default.
            optional --seeds count: u64
            /// The duration of faults and traffic per seed, in seconds; 15 by default.
            optional --time seconds: u64
            /// The number of nodes in each of the three data centres; 3 by default.
            optional --nodes count: usize
            /// The program under test; by default the one in the directory of this tool.
            optional --program path: PathBuf
            /// The folder for the logs of seeds with findings; soak-logs by default.
            optional --logs folder: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    match run_seeds(&flags) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("{failed} seeds with findings");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_seeds(flags: &flags::Soak) -> anyhow::Result<u64> {
    const SECONDS: u64 = 15;
    const NODES: usize = 3;
    let runtime = tokio::runtime::Runtime::new()?;
    let default_program = std::env::current_exe()?.with_file_name("nutmegwheel");
    let program = flags.program.clone().unwrap_or(default_program);
    anyhow::ensure!(program.is_file(), "{} not found", program.display());
    let first = flags.first.unwrap_or_else(rand::random);
    let mut failed = 0;
    for seed in (0..flags.seeds.unwrap_or(1)).map(|more| first.wrapping_add(more)) {
        let opts = Options {
            program: program.clone(),
            shape: FleetShape {
                data_centres: vec!["riga1", "riga2", "riga3"],
                nodes: flags.nodes.unwrap_or(NODES),
                control_vms: 3,
            },
            seed,
            time: Duration::from_secs(flags.time.unwrap_or(SECONDS)),
        };
        match runtime.block_on(nutmegwheel_soak::run(&opts)) {
            Ok(outcome) => failed += u64::from(!report(seed, &outcome, flags)?),
            Err(e) => {
                failed += 1;
                println!("seed {seed}: {e:#}");
            }
        }
    }
    Ok(failed)
}

/// Prints the outcome of a seed, writes the logs if it has findings, and returns whether it has
/// none.
fn report(seed: u64, outcome: &Outcome, flags: &flags::Soak) -> anyhow::Result<bool> {
    let Outcome {
        findings,
        plan,
        sent,
        served,
        operations,
        logs,
    } = outcome;
    let faults = plan.steps.len();
    println!("seed {seed}: {faults} faults, {served} of {sent} served, {operations} operations");
    if findings.is_empty() {
        return Ok(true);
    }
    let folder = flags
        .logs
        .clone()
        .unwrap_or_else(|| PathBuf::from("soak-logs"));
    let folder = folder.join(seed.to_string());
    std::fs::create_dir_all(&folder)?;
    let steps: Vec<String> = plan.steps.iter().map(|step| format!("{step:?}")).collect();
    std::fs::write(folder.join("plan"), steps.join("\n"))?;
    std::fs::write(folder.join("findings"), findings.join("\n"))?;
    for (name, log) in logs {
        std::fs::write(folder.join(format!("{name}.log")), log)?;
    }
    for finding in findings.iter().take(5) {
        println!("  {finding}");
    }
    println!(
        "  {} findings, logs in {}",
        findings.len(),
        folder.display()
    );
    Ok(false)
}
