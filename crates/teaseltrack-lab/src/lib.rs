//! Simulated dependencies, load generator, experiments and demo.
//!
//! [`platform`], [`target`] and [`worker`] simulate the platform's store, a request service and the
//! platform's workers; [`relay`] injects connection faults. [`fleet`] runs all components in one
//! process, [`processes`] runs the real binaries. [`load`] generates requests and [`ledger`]
//! records what targets and workers executed; [`experiments`] and [`demo`] combine them.

pub mod demo;
pub mod experiments;
pub mod fleet;
pub mod ledger;
pub mod load;
pub mod operator;
pub mod options;
pub mod platform;
pub mod processes;
pub mod relay;
pub mod report;
pub mod server;
pub mod target;
pub mod worker;

use std::process::ExitCode;

use crate::options::args;

/// Runs the subcommand given on the command line.
pub fn run_from_command_line() -> ExitCode {
    let matches = args::command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    let result = runtime.block_on(async {
        match matches.subcommand() {
            Some(("platform", sub)) => platform::run(&args::platform(sub)).await,
            Some(("target", sub)) => target::run(args::target(sub)).await,
            Some(("worker", sub)) => worker::run(args::worker(sub)).await,
            Some(("run", sub)) => experiments::run(&args::run(sub)).await,
            Some(("soak", sub)) => experiments::soak(args::soak(sub)).await,
            Some(("demo", _)) => demo::run().await,
            _ => Err("unknown subcommand".into()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Error shown on the terminal.
pub type LabError = Box<dyn std::error::Error + Send + Sync>;
