//! Runs a case of the review: `review-case CASE ROOT RECORD with-disruption|without-disruption`. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod deployment;
mod http;
mod record;
mod store;
mod worker;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use crate::{deployment::Failure, record::Record};

/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(116);

/// Result of a case: what broke the rule, if it was broken.
pub type Verdict = Result<Vec<String>, Failure>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let usage = "usage: review-case CASE ROOT RECORD with-disruption|without-disruption";
    let [case, root, record_path, mode] = arguments.as_slice() else {
        eprintln!("{usage}");
        return ExitCode::from(2);
    };
    let has_trouble = match mode.as_str() {
        "with-disruption" => true,
        "without-disruption" => false,
        _ => {
            eprintln!("{usage}");
            return ExitCode::from(2);
        }
    };
    let record = match Record::create(&PathBuf::from(record_path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record_path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note("case", format!("{case}, {mode}"));
    let late_record = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        late_record.note("verdict", "could not run: out of time");
        deployment::end_processes();
        std::process::exit(2);
    });
    let verdict = cases::run(case, &PathBuf::from(root), &record, has_trouble);
    let (line, code) = match verdict {
        Err(failure) => (format!("could not run: {failure}"), 2),
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => {
            for line in broken.iter().take(20) {
                record.note("check", line);
            }
            (format!("the rule was broken, {} times; first: {}", broken.len(), broken[0]), 1)
        }
    };
    record.note("verdict", &line);
    println!("{line}");
    ExitCode::from(code)
}
