//! Command-line interface for operators.
//!
//! [`commands`] change records, [`queries`] read records, jobs and history; both call an entry's
//! operator interface through [`client`]. [`verify`] verifies the hash chains of the history.
//! [`output`] formats results as text or JSON.

pub mod client;
pub mod commands;
pub mod options;
pub mod output;
pub mod queries;
pub mod verify;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::{
    client::{CliError, OperatorClient},
    options::args,
    output::Output,
};

/// Runs the command line.
pub fn run_from_command_line() -> ExitCode {
    let matches = args::command().get_matches();
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        eprintln!("failed to start the async runtime");
        return ExitCode::from(client::EXIT_BAD_INPUT);
    };
    match runtime.block_on(run(&matches)) {
        Ok(output) => {
            print!("{}", output.render(args::format(&matches)));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Executes one command or query.
///
/// # Errors
///
/// The input is invalid, the entry refused or didn't respond, or the history is inconsistent.
pub async fn run(matches: &ArgMatches) -> Result<Output, CliError> {
    let client = OperatorClient::new(args::entry(matches), args::author(matches));
    match matches.subcommand() {
        Some(("submit", sub)) => commands::submit(&client, &args::file(sub)).await,
        Some(("amend", sub)) => {
            commands::amend(&client, &args::file(sub), args::revision(sub)).await
        }
        Some(("withdraw", sub)) => {
            let (kind, name) = (args::text(sub, "kind"), args::text(sub, "name"));
            commands::withdraw(&client, kind, name, args::revision(sub)).await
        }
        Some(("notify", sub)) => {
            commands::notify(&client, args::text(sub, "watch"), args::text(sub, "notice")).await
        }
        Some(("list", sub)) => queries::list(&client, args::optional_text(sub, "kind")).await,
        Some(("show", sub)) => {
            queries::show(&client, args::text(sub, "kind"), args::text(sub, "name")).await
        }
        Some(("explain", sub)) => queries::explain(&client, args::text(sub, "job")).await,
        Some(("status", _)) => queries::status(&client).await,
        Some(("history", sub)) => match sub.subcommand() {
            Some(("verify", _)) => verify::verify_all(&client).await,
            _ => queries::history(&client, args::text(sub, "stream")).await,
        },
        _ => Err(CliError::BadInput { message: "unknown command".to_owned() }),
    }
}
