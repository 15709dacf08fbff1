//! Entry daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    teaseltrack_entry::run_from_command_line()
}
