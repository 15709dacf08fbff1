//! Scenarios of the review's scripts. Usage: `rig SCENARIO FOLDER`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod deployment;
mod http;
mod json;
mod proxy;
mod store;
mod workers;

mod blamed_for_crashes;
mod filling_gang_waits;
mod gang_counted_twice;
mod hopeless_gang_blocks;
mod runs_after_cancel;

use std::{env, path::PathBuf, process::ExitCode};

/// Whether the rule held, with what was seen.
pub struct Verdict {
    pub broken: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: rig SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match scenario.as_str() {
        "blamed_for_crashes" => blamed_for_crashes::run(&folder, has_trouble),
        "filling_gang_waits" => filling_gang_waits::run(&folder, has_trouble),
        "gang_counted_twice" => gang_counted_twice::run(&folder, has_trouble),
        "hopeless_gang_blocks" => hopeless_gang_blocks::run(&folder, has_trouble),
        "runs_after_cancel" => runs_after_cancel::run(&folder, has_trouble),
        _ => Err(format!("no scenario {scenario}")),
    };
    match verdict {
        Ok(Verdict { broken }) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict { broken }) => {
            for line in broken {
                println!("BROKEN: {line}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
