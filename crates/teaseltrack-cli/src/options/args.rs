//! Definition and parsing of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::output::Format;

const EXIT_CODES: &str = "Exit codes:\n  \
    0  done\n  \
    1  refused, nothing changed\n  \
    2  invalid input\n  \
    3  no response: whether anything changed is unknown\n  \
    4  the history is inconsistent";

const DEFAULT_ENTRY: &str = "127.0.0.1:7102";

/// Defines the command line.
pub fn command() -> Command {
    Command::new("teaseltrack")
        .version(clap::crate_version!())
        .about("Submits, amends and withdraws records, and shows decisions and their reasons")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .help("Address of an entry's operator interface")
                .global(true)
                .default_value(DEFAULT_ENTRY)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Operator recorded as the author of commands")
                .global(true)
                .default_value("operator"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .help("Output format")
                .global(true)
                .default_value("text")
                .value_parser(["text", "json"]),
        )
        .subcommands(commands())
        .subcommands(queries())
}

fn commands() -> [Command; 4] {
    [
        Command::new("submit").about("Submits a new record").arg(file_arg()),
        Command::new("amend")
            .about("Replaces the body of a record")
            .arg(file_arg())
            .arg(revision_arg()),
        Command::new("withdraw")
            .about("Withdraws a record, so that it is no longer active")
            .arg(text_arg("kind", "service, job, watch or team"))
            .arg(text_arg("name", "Name of the record"))
            .arg(revision_arg()),
        Command::new("notify")
            .about("Sends a notice to a watch, which starts one job per notice")
            .arg(text_arg("watch", "Name of the watch"))
            .arg(text_arg("notice", "Identifier of the notice")),
    ]
}

fn queries() -> [Command; 5] {
    [
        Command::new("list")
            .about("Lists records")
            .arg(text_arg("kind", "service, job, watch or team").required(false)),
        Command::new("show")
            .about("Shows a record, and the tasks of a job")
            .arg(text_arg("kind", "service, job, watch or team"))
            .arg(text_arg("name", "Name of the record")),
        Command::new("history")
            .about("Shows the journal entries of a stream, oldest first")
            .args_conflicts_with_subcommands(true)
            .arg(
                text_arg("stream", "configuration, or shard-NNNN")
                    .required(false)
                    .default_value("configuration"),
            )
            .subcommand(Command::new("verify").about("Verifies the hash chains of all streams")),
        Command::new("explain")
            .about("Shows the decisions on a job's tasks and their reasons")
            .arg(text_arg("job", "Name of the job")),
        Command::new("status").about("Shows fleet membership as seen by the entry"),
    ]
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Record file in TOML, with kind, name, schema_version and body")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn text_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).help(help).required(true)
}

fn revision_arg() -> Arg {
    Arg::new("revision")
        .long("revision")
        .value_name("N")
        .help("Revision that the change is based on; defaults to the current one")
        .value_parser(value_parser!(u64))
}

/// Address of the entry's operator interface.
pub fn entry(matches: &ArgMatches) -> SocketAddr {
    let default = || SocketAddr::from(([127, 0, 0, 1], 7_102));
    matches.get_one("entry").copied().unwrap_or_else(default)
}

/// Author of commands.
pub fn author(matches: &ArgMatches) -> String {
    matches.get_one::<String>("author").cloned().unwrap_or_default()
}

/// Output format.
pub fn format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Text,
    }
}

/// Path of the record file.
pub fn file(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

/// Revision that the change is based on.
pub fn revision(matches: &ArgMatches) -> Option<u64> {
    matches.get_one("revision").copied()
}

/// Value of a required string argument.
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    optional_text(matches, name).unwrap_or_default()
}

/// Value of an optional string argument.
pub fn optional_text<'a>(matches: &'a ArgMatches, name: &str) -> Option<&'a str> {
    matches.get_one::<String>(name).map(String::as_str)
}
