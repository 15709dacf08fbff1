//! Command-line interface for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseltrack_cli::run_from_command_line()
}
