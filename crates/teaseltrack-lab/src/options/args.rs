//! The command line.

use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{
    experiments::{NAMES, soak::SoakOptions},
    target::{TargetBehaviour, TargetOptions},
    worker::WorkerOptions,
};

/// Options of the platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address of the store.
    pub address: SocketAddr,
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
    /// Time that each call takes.
    pub latency: Duration,
}

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Name of the experiment.
    pub name: String,
    /// Seed of all that is random in it.
    pub seed: u64,
    /// Whether to print one JSON object.
    pub is_json: bool,
}

/// The command line, for clap.
pub fn command() -> Command {
    Command::new("teaseltrack-lab")
        .version(clap::crate_version!())
        .about("Stand-ins, load generator, experiments and demo")
        .subcommand_required(true)
        .subcommand(platform_command())
        .subcommand(target_command())
        .subcommand(worker_command())
        .subcommand(
            Command::new("run")
                .about("Runs an experiment and prints its metrics")
                .arg(Arg::new("name").required(true).value_parser(NAMES))
                .arg(number("seed", "1", "Seed of all that is random"))
                .arg(
                    Arg::new("format")
                        .long("format")
                        .default_value("text")
                        .value_parser(["text", "json"]),
                ),
        )
        .subcommand(
            Command::new("soak")
                .about("Injects random faults into real processes and checks what they promise")
                .arg(number("seed", "1", "Seed of all faults"))
                .arg(number("seconds", "60", "Time for which faults come")),
        )
        .subcommand(Command::new("demo").about("Runs the whole path in one process"))
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("Stand-in of the platform's table and object store; POST /faults sets its faults")
        .arg(address("address", "Address of the store"))
        .arg(number("writes-per-s", "300", "Writes a second that it takes"))
        .arg(number("reads-per-s", "2000", "Reads a second that it takes"))
        .arg(number("latency-ms", "2", "Time that each call takes"))
}

fn target_command() -> Command {
    Command::new("target")
        .about("Stand-in of a request service; POST /lab/behaviour sets its behaviour")
        .arg(address("address", "Address on which it takes requests"))
        .arg(optional_address("advertise", "Address that it announces, if that is a relay's"))
        .arg(address("announce", "Announcement port of its agent"))
        .arg(Arg::new("service").long("service").default_value("tickets"))
        .arg(number("slots", "8", "Requests that it takes at once"))
        .arg(number("service-time-ms", "5", "Time that each request takes"))
        .arg(optional_address("ledger", "Where it tells what ran"))
}

fn worker_command() -> Command {
    Command::new("worker")
        .about("Stand-in of the platform's worker")
        .arg(address("address", "Address on which it takes calls"))
        .arg(Arg::new("instance").long("instance").default_value("worker"))
        .arg(number("run-time-ratio", "1", "True run time over the declared one"))
        .arg(
            Arg::new("failing")
                .long("failing")
                .help("Fails every task that it starts")
                .action(ArgAction::SetTrue),
        )
        .arg(optional_address("ledger", "Where it tells what ran"))
}

fn address(name: &'static str, help: &'static str) -> Arg {
    optional_address(name, help).required(true)
}

fn optional_address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(f64))
}

fn get_number(matches: &ArgMatches, name: &str) -> f64 {
    matches.get_one::<f64>(name).copied().unwrap_or_default()
}

fn get_address(matches: &ArgMatches, name: &str) -> SocketAddr {
    get_optional_address(matches, name).unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn get_optional_address(matches: &ArgMatches, name: &str) -> Option<SocketAddr> {
    matches.get_one::<SocketAddr>(name).copied()
}

fn get_text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn get_ms(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs_f64(get_number(matches, name).max(0.0) / 1_000.0)
}

/// Options of the platform.
pub fn platform(matches: &ArgMatches) -> PlatformOptions {
    PlatformOptions {
        address: get_address(matches, "address"),
        writes_per_s: get_number(matches, "writes-per-s"),
        reads_per_s: get_number(matches, "reads-per-s"),
        latency: get_ms(matches, "latency-ms"),
    }
}

/// Options of a target.
pub fn target(matches: &ArgMatches) -> TargetOptions {
    let service_time_ms = get_number(matches, "service-time-ms");
    TargetOptions {
        address: get_address(matches, "address"),
        advertised: get_optional_address(matches, "advertise"),
        announce: get_address(matches, "announce"),
        service: get_text(matches, "service"),
        slots: get_number(matches, "slots") as u32,
        behaviour: TargetBehaviour { service_time_ms, ..TargetBehaviour::default() },
        ledger: get_optional_address(matches, "ledger"),
    }
}

/// Options of a worker.
pub fn worker(matches: &ArgMatches) -> WorkerOptions {
    WorkerOptions {
        address: get_address(matches, "address"),
        instance: get_text(matches, "instance"),
        run_time_ratio: get_number(matches, "run-time-ratio"),
        is_failing: matches.get_flag("failing"),
        ledger: get_optional_address(matches, "ledger"),
    }
}

/// Options of a soak.
pub fn soak(matches: &ArgMatches) -> SoakOptions {
    SoakOptions {
        seed: get_number(matches, "seed") as u64,
        duration: Duration::from_secs_f64(get_number(matches, "seconds").max(0.0)),
    }
}

/// Options of an experiment.
pub fn run(matches: &ArgMatches) -> RunOptions {
    RunOptions {
        name: get_text(matches, "name"),
        seed: get_number(matches, "seed") as u64,
        is_json: get_text(matches, "format") == "json",
    }
}
