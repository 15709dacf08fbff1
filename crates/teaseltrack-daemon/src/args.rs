//! Command line of a daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Parsed command line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonArgs {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to only validate the settings and exit.
    pub is_check: bool,
}

/// Command line definition of a daemon.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(clap::crate_version!())
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file in TOML")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Validate the settings and exit with status 0 if they are valid, 2 otherwise")
                .action(ArgAction::SetTrue),
        )
}

impl DaemonArgs {
    /// Converts the matches of [`command`].
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Self { settings, is_check: matches.get_flag("check") }
    }
}
