//! Experiments: each prints the metrics of one run.

pub mod overhead;

use crate::{LabError, options::args::RunOptions, report::Report};

/// Names of all experiments.
pub const NAMES: [&str; 1] = ["overhead"];

/// Runs an experiment and prints its report.
///
/// # Errors
///
/// The fleet can't be started.
pub async fn run(options: &RunOptions) -> Result<(), LabError> {
    let mut report = Report::new(&options.name, options.seed);
    match options.name.as_str() {
        "overhead" => overhead::run(options.seed, &mut report).await?,
        name => return Err(format!("no experiment is called {name}").into()),
    }
    if options.is_json {
        println!("{}", report.json());
    } else {
        println!("{}", report.text());
    }
    Ok(())
}
