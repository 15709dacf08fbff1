//! Stand-ins, load generator, experiments and demo; never shipped.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseltrack_lab::run_from_command_line()
}
