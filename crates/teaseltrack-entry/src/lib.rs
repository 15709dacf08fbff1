//! The process between callers and agents.
//!
//! An entry takes callers' requests ([`callers`]) and operators' commands and queries
//! ([`operators`]). It owns nothing durable: what it knows of targets are hints, which agents correct,
//! and records live in the platform's store.

pub mod callers;
pub mod entry;
pub mod operators;
pub mod options;

use std::process::ExitCode;

use teaseltrack_daemon::{args, args::DaemonArgs, lifecycle::run_daemon, settings::read_settings};

use crate::{entry::Entry, options::config::EntrySettings};

/// Threads of the process; waking up more of them costs more than they gain.
const WORKER_THREADS: usize = 2;

/// Runs the entry as the command line says.
pub fn run_from_command_line() -> ExitCode {
    let about = "Takes callers' requests and operators' commands";
    let matches = args::command("teaseltrack-entry", about).get_matches();
    let args = DaemonArgs::from_matches(&matches);
    let settings = read_settings::<EntrySettings>(&args.settings)
        .and_then(|settings| settings.check().map(|()| settings));
    run_daemon(&args, WORKER_THREADS, settings, |settings, shutdown| async move {
        Entry::start(settings, shutdown).await.map(Entry::wait)
    })
}
