//! Agent daemon, colocated with each target.
//!
//! An agent is the only allocator of its instance's capacity. It accepts the target's announcement
//! ([`announce`]), admits and forwards requests ([`requests`]), runs tasks on the worker under the
//! instance's lease and owns job shards ([`tasks`]). It has no persistent state of its own: durable
//! state is in the platform's store, and everything else is received from peers.

pub mod agent;
pub mod announce;
pub mod options;
pub mod requests;
pub mod tasks;

use std::process::ExitCode;

use teaseltrack_daemon::{args, args::DaemonArgs, lifecycle::run_daemon, settings::read_settings};

use crate::{agent::Agent, options::config::AgentSettings};

/// Threads of the async runtime; waking further threads costs more than their parallelism gains.
const WORKER_THREADS: usize = 1;

/// Runs the agent with the options of the command line.
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
