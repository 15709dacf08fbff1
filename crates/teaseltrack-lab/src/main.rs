//! Simulated dependencies, load generator, experiments and demo; not part of a release.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseltrack_lab::run_from_command_line()
}
