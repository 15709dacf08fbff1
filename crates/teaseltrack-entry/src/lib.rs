//! Entry daemon, the process that callers and operators connect to.
//!
//! An entry routes callers' requests to agents ([`callers`]) and serves operators' commands and
//! queries ([`operators`]). It has no durable state: its data about targets may be stale and is
//! corrected by agents' responses, and records are stored in the platform's store.

pub mod callers;
pub mod entry;
pub mod operators;
pub mod options;

use std::process::ExitCode;

use teaseltrack_daemon::{args, args::DaemonArgs, lifecycle::run_daemon, settings::read_settings};

use crate::{entry::Entry, options::config::EntrySettings};

/// Worker threads of the runtime; more threads cost more in wake-ups than they gain.
const WORKER_THREADS: usize = 2;

/// Runs the entry with the arguments of the command line.
pub fn run_from_command_line() -> ExitCode {
    let about = "Routes callers' requests to agents and serves operators' commands";
    let matches = args::command("teaseltrack-entry", about).get_matches();
    let args = DaemonArgs::from_matches(&matches);
    let settings = read_settings::<EntrySettings>(&args.settings)
        .and_then(|settings| settings.check().map(|()| settings));
    run_daemon(&args, WORKER_THREADS, settings, |settings, shutdown| async move {
        Entry::start(settings, shutdown).await.map(Entry::wait)
    })
}
