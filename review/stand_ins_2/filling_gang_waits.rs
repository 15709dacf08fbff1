//! Large lots come at once, each of a single gang that fills beside a watch. There is room for all of
//! them, so that none of them may wait for good.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    deployment::{Deployment, Queue, Submitted, job_body, wait_until},
};

const LOTS: Queue =
    Queue { prefix: "/pufi791/", priority: 2, max_attempts: 2, stretch: 2.0, objective_ms: 1_000 };
const WATCHES: Queue =
    Queue { prefix: "/pule252/", priority: 0, max_attempts: 2, stretch: 2.2, objective_ms: 2_500 };
const WORKERS: usize = 11;
const CAPACITY: (u64, u64) = (64_000, 250_000);
const LOT_COUNT: usize = 3;
/// The site file's mean size of a lot's step, and a size below its highest, 32.
const USUAL_SIZE: usize = 8;
const LARGE_SIZE: usize = 24;
/// Longer than `finish_s` (14 s).
const WAIT: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(folder, &[LOTS, WATCHES], 2, WORKERS, CAPACITY)?;
    thread::sleep(Duration::from_secs(3));
    let watch = "b000000000000000";
    // A tail of 4 ms, where 24 ms are the target.
    let body = job_body(
        "work0=400 lasts0=1 gauge0=4",
        &format!(
            "{{\"Count\":{WORKERS},\"Cpu\":13000,\"MemMb\":26000,\"EstimateMs\":400,\"LongRunning\":true,\
             \"MaxPerServer\":1,\"Image\":\"floor\",\"TargetMs\":24}}"
        ),
    );
    let submitted = deployment.submit(&WATCHES, watch, &body);
    deployment.note(&format!("{}{watch} submitted: {submitted:?}", WATCHES.prefix));
    let count_starts = |deployment: &Deployment, job: &str| {
        let events = deployment.workers.events();
        events.iter().filter(|event| event.kind == "start" && event.task.starts_with(job)).count()
    };
    if !wait_until(Duration::from_secs(10), || count_starts(&deployment, watch) == WORKERS) {
        deployment.stop();
        return Err("the watch isn't running on every worker".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let size = if has_trouble { LARGE_SIZE } else { USUAL_SIZE };
    let lots: Vec<String> = (0..LOT_COUNT).map(|number| format!("c{number:015x}")).collect();
    for lot in &lots {
        let body = job_body(
            &format!("work0=1700 gang0={size} gauge0=3500"),
            &format!(
                "{{\"Count\":{size},\"Cpu\":7000,\"MemMb\":13000,\"EstimateMs\":1700,\"Gang\":true,\
                 \"FillCount\":true,\"Image\":\"settle\"}}"
            ),
        );
        let submitted = deployment.submit(&LOTS, lot, &body);
        deployment
            .note(&format!("{}{lot}, a gang of {size}, submitted: {submitted:?}", LOTS.prefix));
        if submitted != Submitted::Accepted {
            deployment.stop();
            return Err("a lot wasn't accepted".to_owned());
        }
    }
    let are_done = || lots.iter().all(|lot| deployment.state(&LOTS, lot) == "completed");
    wait_until(WAIT, are_done);
    // In use is the watch alone, for the last 3 s: a fifth of the cores, a tenth of the memory.
    let counts = deployment.workers.run_counts();
    let last_ms = deployment.workers.events().last().map_or(0, |event| event.at_ms);
    let has_only_watch =
        counts.iter().all(|count| *count == 1) && deployment.workers.now_ms() >= last_ms + 3_000;
    deployment
        .note(&format!("runs on each worker: {counts:?}; the last event was at {last_ms} ms"));
    let mut broken = Vec::new();
    for lot in &lots {
        let (state, starts) = (deployment.state(&LOTS, lot), count_starts(&deployment, lot));
        deployment.note(&format!("{}{lot} is shown as {state}; {starts} starts", LOTS.prefix));
        if starts == 0 && has_only_watch {
            broken.push(format!(
                "{}{lot} was accepted and has nothing running {} s later; in use are 13 of the 64 cores of \
                 each worker",
                LOTS.prefix,
                WAIT.as_secs()
            ));
        }
    }
    for line in &broken {
        deployment.note(line);
    }
    deployment.stop();
    Ok(Verdict { broken })
}
