//! Experiments, each of which runs a fleet and prints a report of its metrics.

pub mod chaos;
pub mod drain;
pub mod flood;
pub mod kill;
pub mod outage;
pub mod overhead;
pub mod slopes;
pub mod slow_target;
pub mod soak;
pub mod starts;

use crate::{LabError, options::args::RunOptions, report::Report};

/// Names of all experiments.
pub const NAMES: [&str; 9] =
    ["overhead", "flood", "slow-target", "kill", "drain", "slopes", "starts", "outage", "chaos"];

/// Runs an experiment and prints its report.
///
/// # Errors
///
/// The name is unknown, or the experiment fails.
pub async fn run(options: &RunOptions) -> Result<(), LabError> {
    let mut report = Report::new(&options.name, options.seed);
    match options.name.as_str() {
        "overhead" => overhead::run(options.seed, &mut report).await?,
        "flood" => flood::run(options.seed, &mut report).await?,
        "slow-target" => slow_target::run(options.seed, &mut report).await?,
        "kill" => kill::run(options.seed, &mut report).await?,
        "drain" => drain::run(options.seed, &mut report).await?,
        "starts" => starts::run(options.seed, &mut report).await?,
        "outage" => outage::run(options.seed, &mut report).await?,
        "chaos" => chaos::run(options.seed, &mut report).await?,
        "slopes" => slopes::run(options.seed, &mut report).await?,
        name => return Err(format!("unknown experiment: {name}").into()),
    }
    if options.is_json {
        println!("{}", report.json());
    } else {
        println!("{}", report.text());
    }
    Ok(())
}

/// Runs a soak and prints its report.
///
/// # Errors
///
/// The fleet can't be started, or an invariant was violated.
pub async fn soak(options: soak::SoakOptions) -> Result<(), LabError> {
    let mut report = Report::new("soak", options.seed);
    soak::run(options, &mut report).await?;
    println!("{}", report.text());
    Ok(())
}
