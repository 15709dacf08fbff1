//! Stand-ins for what the platform and the users bring, and the tools that measure.
//!
//! [`platform`], [`target`] and [`worker`] stand in for the platform's store, a request service and the
//! platform's workers; [`relay`] cuts and delays connections. [`fleet`] starts everything in one
//! process, [`processes`] starts the real binaries. [`load`] sends requests, [`ledger`] collects what
//! really ran, [`experiments`] and [`demo`] put them together.

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

/// Runs the lab as the command line says.
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
            _ => Err("no such command".into()),
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

/// Error of a tool, for people.
pub type LabError = Box<dyn std::error::Error + Send + Sync>;
