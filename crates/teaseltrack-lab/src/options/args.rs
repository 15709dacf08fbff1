//! Command-line parser.

use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{
    experiments::{NAMES, soak::SoakOptions},
    target::{TargetBehaviour, TargetOptions},
    worker::WorkerOptions,
};

/// Options of the simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Listen address of the store.
    pub address: SocketAddr,
    /// Maximum writes per second.
    pub writes_per_s: f64,
    /// Maximum reads per second.
    pub reads_per_s: f64,
    /// Latency of each call.
    pub latency: Duration,
}

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Name of the experiment.
    pub name: String,
    /// Seed of its random number generators.
    pub seed: u64,
    /// Whether to print the report as one JSON object.
    pub is_json: bool,
}

/// Command-line definition for clap.
pub fn command() -> Command {
    Command::new("teaseltrack-lab")
        .version(clap::crate_version!())
        .about("Simulated dependencies, load generator, experiments and demo")
        .subcommand_required(true)
        .subcommand(platform_command())
        .subcommand(target_command())
        .subcommand(worker_command())
        .subcommand(
            Command::new("run")
                .about("Runs an experiment and prints its metrics")
                .arg(Arg::new("name").required(true).value_parser(NAMES))
                .arg(number_arg("seed", "1", "Seed of the random number generators"))
                .arg(
                    Arg::new("format")
                        .long("format")
                        .default_value("text")
                        .value_parser(["text", "json"]),
                ),
        )
        .subcommand(
            Command::new("soak")
                .about("Injects random faults into real processes and checks their guarantees")
                .arg(number_arg("seed", "1", "Seed of the injected faults"))
                .arg(number_arg("seconds", "60", "Duration of fault injection, in seconds")),
        )
        .subcommand(Command::new("demo").about("Runs all components in one process under load"))
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("Simulated table and object store of the platform; POST /faults sets its faults")
        .arg(address_arg("address", "Listen address of the store"))
        .arg(number_arg("writes-per-s", "300", "Maximum writes per second"))
        .arg(number_arg("reads-per-s", "2000", "Maximum reads per second"))
        .arg(number_arg("latency-ms", "2", "Latency of each call, in milliseconds"))
}

fn target_command() -> Command {
    Command::new("target")
        .about("Simulated request service; POST /lab/behaviour sets its behaviour")
        .arg(address_arg("address", "Listen address for requests"))
        .arg(optional_address_arg(
            "advertise",
            "Address to announce, if requests go through a relay",
        ))
        .arg(address_arg("announce", "Announcement address of its agent"))
        .arg(Arg::new("service").long("service").default_value("tickets"))
        .arg(number_arg("slots", "8", "Maximum concurrent requests"))
        .arg(number_arg("service-time-ms", "5", "Service time of each request, in milliseconds"))
        .arg(optional_address_arg("ledger", "Address of the ledger that receives its events"))
}

fn worker_command() -> Command {
    Command::new("worker")
        .about("Simulated worker of the platform")
        .arg(address_arg("address", "Listen address for calls"))
        .arg(Arg::new("instance").long("instance").default_value("worker"))
        .arg(number_arg("run-time-ratio", "1", "Ratio of the actual run time to the declared one"))
        .arg(
            Arg::new("failing")
                .long("failing")
                .help("Fails every task on start")
                .action(ArgAction::SetTrue),
        )
        .arg(optional_address_arg("ledger", "Address of the ledger that receives its events"))
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    optional_address_arg(name, help).required(true)
}

fn optional_address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .value_parser(value_parser!(SocketAddr))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
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

/// Parses the options of the simulated platform.
pub fn platform(matches: &ArgMatches) -> PlatformOptions {
    PlatformOptions {
        address: get_address(matches, "address"),
        writes_per_s: get_number(matches, "writes-per-s"),
        reads_per_s: get_number(matches, "reads-per-s"),
        latency: get_ms(matches, "latency-ms"),
    }
}

/// Parses the options of a target.
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

/// Parses the options of a worker.
pub fn worker(matches: &ArgMatches) -> WorkerOptions {
    WorkerOptions {
        address: get_address(matches, "address"),
        instance: get_text(matches, "instance"),
        run_time_ratio: get_number(matches, "run-time-ratio"),
        is_failing: matches.get_flag("failing"),
        ledger: get_optional_address(matches, "ledger"),
    }
}

/// Parses the options of a soak.
pub fn soak(matches: &ArgMatches) -> SoakOptions {
    SoakOptions {
        seed: get_number(matches, "seed") as u64,
        duration: Duration::from_secs_f64(get_number(matches, "seconds").max(0.0)),
    }
}

/// Parses the options of an experiment.
pub fn run(matches: &ArgMatches) -> RunOptions {
    RunOptions {
        name: get_text(matches, "name"),
        seed: get_number(matches, "seed") as u64,
        is_json: get_text(matches, "format") == "json",
    }
}
