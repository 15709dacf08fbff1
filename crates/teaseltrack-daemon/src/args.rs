//! The command line of a daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Parsed command line of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonArgs {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether to validate the settings and exit.
    pub is_check: bool,
}

/// The command line of a daemon, for clap.
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
                .help("Validate the settings and exit: 0 if they are good, 2 if not")
                .action(ArgAction::SetTrue),
        )
}

impl DaemonArgs {
    /// Reads what clap parsed with [`command`].
    pub fn from_matches(matches: &ArgMatches) -> Self {
        let settings = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
        Self { settings, is_check: matches.get_flag("check") }
    }
}
