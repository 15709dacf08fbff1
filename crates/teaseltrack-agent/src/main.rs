//! The process beside each target.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseltrack_agent::run_from_command_line()
}
