//! The process beside each target.
//!
//! An agent is the only owner of its instance's capacity. It takes the target's announcement
//! ([`announce`]), admits and forwards requests ([`requests`]), runs tasks on the worker under the
//! instance's lease and owns job shards ([`tasks`]). It keeps nothing: what must last is in the
//! platform's store, and the rest is learnt from peers.

pub mod agent;
pub mod announce;
pub mod options;
pub mod requests;
pub mod tasks;

use std::process::ExitCode;

use teaseltrack_daemon::{args, args::DaemonArgs, lifecycle::run_daemon, settings::read_settings};

use crate::{agent::Agent, options::config::AgentSettings};

/// Threads of the process; waking up more of them costs more than they gain.
const WORKER_THREADS: usize = 1;

/// Runs the agent as the command line says.
pub fn run_from_command_line() -> ExitCode {
    let about = "Owns an instance's capacity: admits requests for its target and runs its tasks";
    let matches = args::command("teaseltrack-agent", about).get_matches();
    let args = DaemonArgs::from_matches(&matches);
    let settings = read_settings::<AgentSettings>(&args.settings)
        .and_then(|settings| settings.check().map(|()| settings));
    run_daemon(&args, WORKER_THREADS, settings, |settings, shutdown| async move {
        Agent::start(settings, shutdown).await.map(Agent::wait)
    })
}
