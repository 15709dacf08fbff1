//! One job comes that can never be done: a gang with more tasks than all workers together have room
//! for. The jobs of other clients have to run none the less.

use std::{path::Path, thread, time::Duration};

use crate::{
    Verdict,
    deployment::{Deployment, Queue, Submitted, job_body, wait_until},
};

const TICKETS: Queue =
    Queue { prefix: "/lohu930/", priority: 0, max_attempts: 3, stretch: 1.5, objective_ms: 250 };
const LOTS: Queue =
    Queue { prefix: "/pufi791/", priority: 2, max_attempts: 2, stretch: 2.0, objective_ms: 1_000 };
const WORKERS: usize = 11;
/// Thousandths of a core and megabytes: room for 66 of a ticket's tasks on each worker, 726 in all.
const CAPACITY: (u64, u64) = (64_000, 250_000);
const GANG_SIZE: usize = 800;
const TICKET_INTERVAL: Duration = Duration::from_millis(225);
const TICKETS_PER_LOT: usize = 3;
const TRAFFIC: Duration = Duration::from_secs(40);
/// Longer than `finish_s` (14 s).
const WAIT: Duration = Duration::from_secs(25);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(folder, &[TICKETS, LOTS], 2, WORKERS, CAPACITY)?;
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        let gang = "e00000000000000a";
        let body = job_body(
            &format!("work0=1000 gang0={GANG_SIZE} gauge0=960"),
            &format!(
                "{{\"Count\":{GANG_SIZE},\"Cpu\":960,\"MemMb\":1900,\"EstimateMs\":1000,\"Gang\":true}}"
            ),
        );
        let submitted = deployment.submit(&TICKETS, gang, &body);
        deployment.note(&format!(
            "{}{gang}, a gang of {GANG_SIZE}, submitted: {submitted:?}",
            TICKETS.prefix
        ));
    }
    let mut jobs: Vec<(Queue, String, u64)> = Vec::new();
    let ticket_count = (TRAFFIC.as_millis() / TICKET_INTERVAL.as_millis()) as usize;
    for number in 0..ticket_count {
        let mut due = vec![(TICKETS, format!("a{number:015x}"), ticket())];
        if number % TICKETS_PER_LOT == 0 {
            due.push((LOTS, format!("c{number:015x}"), lot()));
        }
        for (queue, job, body) in due {
            if deployment.submit(&queue, &job, &body) == Submitted::Accepted {
                jobs.push((queue, job, deployment.workers.now_ms()));
            }
        }
        thread::sleep(TICKET_INTERVAL);
    }
    deployment.note(&format!("traffic has ended; {} jobs were accepted", jobs.len()));
    let are_done =
        || jobs.iter().all(|(queue, job, _)| deployment.state(queue, job) == "completed");
    wait_until(WAIT, are_done);
    let events = deployment.workers.events();
    let starts: Vec<_> = events.iter().filter(|event| event.kind == "start").collect();
    let last_ms = starts.iter().map(|event| event.at_ms).max().unwrap_or(0);
    deployment.note(&format!("the last start was at {last_ms} ms of the workers"));
    let mut never_started = 0;
    for (queue, job, accepted_ms) in &jobs {
        let state = deployment.state(queue, job);
        let is_started = starts.iter().any(|event| event.task.starts_with(job.as_str()));
        if !is_started {
            never_started += 1;
            deployment.note(&format!(
                "{}{job}, accepted at {accepted_ms} ms of the workers, is shown as {state}; no start",
                queue.prefix
            ));
        }
    }
    // All room is free, and has been for 3 s.
    let counts = deployment.workers.run_counts();
    let last_event_ms = events.last().map_or(0, |event| event.at_ms);
    let are_idle = counts.iter().all(|count| *count == 0)
        && deployment.workers.now_ms() >= last_event_ms + 3_000;
    deployment.note(&format!(
        "runs on each worker: {counts:?}; the last event was at {last_event_ms} ms"
    ));
    let mut broken = Vec::new();
    if never_started > 0 && are_idle {
        broken.push(format!(
            "{never_started} of {} accepted jobs have nothing running {} s after the traffic's end, with \
             all workers idle",
            jobs.len(),
            WAIT.as_secs()
        ));
    }
    for line in &broken {
        deployment.note(line);
    }
    deployment.stop();
    Ok(Verdict { broken })
}

fn ticket() -> String {
    job_body(
        "work0=1000 gauge0=960",
        "{\"Count\":6,\"Cpu\":960,\"MemMb\":1900,\"EstimateMs\":1000}",
    )
}

fn lot() -> String {
    let step = "{\"Count\":8,\"Cpu\":7000,\"MemMb\":13000,\"EstimateMs\":1700";
    job_body(
        "work0=1700 gauge0=7000 work1=1700 gauge1=7000",
        &format!("{step}}},{step},\"After\":[0]}}"),
    )
}
