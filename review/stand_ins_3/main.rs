//! Stand-ins and cases of the third independent review.
//!
//! `stand_ins_3 CASE FOLDER` plays a case and writes `record.txt` into the folder. Exit codes: 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0`, the disruption is left out.

mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod store;
mod worker;

use std::{path::Path, process::exit, time::Duration};

use crate::{cases::Verdict, fleet::Record};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["worker", listen, address, control, service, zone, rack, answer_ms] => {
            let address_of = |text: &str| text.parse().expect("an address");
            worker::run(worker::Options {
                listen: address_of(listen),
                address: address_of(address),
                control: address_of(control),
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                rack: (*rack).to_owned(),
                heartbeat: Duration::from_millis(1_500),
                max_hold_ms: 10_000,
                stop: Duration::from_millis(50),
                answer: Duration::from_millis(answer_ms.parse().expect("milliseconds")),
                cpu: 64_000,
                mem_mb: 256_000,
            });
        }
        [case, folder] => {
            let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            let record = Record::new();
            let verdict = cases::play(case, &record, has_trouble);
            let (code, summary) = match verdict {
                Verdict::Broken(why) => (1, format!("BROKEN: {why}")),
                Verdict::Held(why) => (0, format!("held: {why}")),
                Verdict::NotRun(why) => (2, format!("not run: {why}")),
            };
            record.add(summary.clone());
            record.write(&Path::new(folder).join("record.txt"));
            println!("{summary}");
            exit(code);
        }
        _ => {
            eprintln!("usage: stand_ins_3 CASE FOLDER");
            exit(2);
        }
    }
}
