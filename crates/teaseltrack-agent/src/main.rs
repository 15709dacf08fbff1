//! Entry point of the agent daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseltrack_agent::run_from_command_line()
}
