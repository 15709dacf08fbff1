//! One of ten workers goes down and up by turns for 6.5 s, under a small site's usual traffic. No job
//! may be shown as `failed` whose tasks have ended `failed` less often than the queue allows.

use std::{
    collections::HashMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Deployment, Queue, Submitted, job_body, wait_until},
};

/// The sheets allow up to four attempts; with four, not even the lost runs of the task would be enough.
const TICKETS: Queue =
    Queue { prefix: "/lohu930/", priority: 0, max_attempts: 4, stretch: 1.5, objective_ms: 250 };
const WATCHES: Queue =
    Queue { prefix: "/pule252/", priority: 0, max_attempts: 2, stretch: 2.2, objective_ms: 2_500 };

const LOTS: Queue =
    Queue { prefix: "/pufi791/", priority: 2, max_attempts: 4, stretch: 2.0, objective_ms: 1_000 };

const WORKERS: usize = 10;
/// Capacity of a worker, in thousandths of a core and megabytes.
const CAPACITY: (u64, u64) = (64_000, 250_000);
/// Traffic of the sheet: 4.45 tickets and 1.6 lots a second, and a few watches.
const TICKET_INTERVAL: Duration = Duration::from_millis(225);
const TICKETS_PER_LOT: f64 = 2.78;
const TRAFFIC: Duration = Duration::from_secs(24);
const WATCH_COUNT: usize = 3;

/// `srv_flap`: share 0.1, period 1.4 s, for 6.5 s, from 6 s on.
const FLAP_AT: Duration = Duration::from_secs(6);
const FLAP_PERIOD: Duration = Duration::from_millis(1_400);
const FLAP_TIME: Duration = Duration::from_millis(6_500);
const FLAPPING: usize = 4;

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let queues = [TICKETS, LOTS, WATCHES];
    let mut deployment = Deployment::start(folder, &queues, 2, WORKERS, CAPACITY)?;
    thread::sleep(Duration::from_secs(3));
    deployment.note("traffic begins");
    let workers = deployment.workers.clone();
    let flapping = thread::spawn(move || {
        if !has_trouble {
            return;
        }
        thread::sleep(FLAP_AT);
        let until = Instant::now() + FLAP_TIME;
        while Instant::now() < until {
            workers.crash(FLAPPING);
            thread::sleep(FLAP_PERIOD / 2);
            workers.start(FLAPPING);
            thread::sleep(FLAP_PERIOD / 2);
        }
    });
    let mut jobs: Vec<(Queue, String)> = Vec::new();
    let begun_at = Instant::now();
    let mut ticket_count = 0_u32;
    let mut lot_count = 0_u32;
    while begun_at.elapsed() < TRAFFIC {
        let mut due = vec![(TICKETS, format!("a{ticket_count:015x}"), ticket(ticket_count))];
        if (ticket_count as usize) < WATCH_COUNT {
            due.push((WATCHES, format!("b{ticket_count:015x}"), watch()));
        }
        if f64::from(ticket_count) >= f64::from(lot_count) * TICKETS_PER_LOT {
            due.push((LOTS, format!("c{lot_count:015x}"), lot()));
            lot_count += 1;
        }
        for (queue, job, body) in due {
            let submitted = deployment.submit(&queue, &job, &body);
            deployment.note(&format!("{}{job} submitted: {submitted:?}", queue.prefix));
            if submitted == Submitted::Accepted {
                jobs.push((queue, job));
            }
        }
        ticket_count += 1;
        let next_at = TICKET_INTERVAL * ticket_count;
        thread::sleep(next_at.saturating_sub(begun_at.elapsed()));
    }
    flapping.join().ok();
    deployment.note("traffic has ended");
    let is_over = || {
        jobs.iter().filter(|(queue, _)| queue.prefix != WATCHES.prefix).all(|(queue, job)| {
            matches!(deployment.state(queue, job).as_str(), "completed" | "failed")
        })
    };
    wait_until(Duration::from_secs(25), is_over);
    let events = deployment.workers.events();
    // Runs of each task that ended `failed`, and that were lost with their worker.
    let mut outcomes: HashMap<&str, (usize, usize)> = HashMap::new();
    for event in &events {
        let (failed, lost) = outcomes.entry(&event.task).or_default();
        *failed += usize::from(event.kind == "end" && event.detail == "failed");
        *lost += usize::from(event.kind == "lost");
    }
    let mut broken = Vec::new();
    for (queue, job) in &jobs {
        let state = deployment.state(queue, job);
        deployment.note(&format!("{}{job} shown as {state}", queue.prefix));
        let own = outcomes.iter().filter(|(task, _)| task.starts_with(job.as_str()));
        let (failed, lost) = own.fold((0, 0), |(failed, lost), (_, outcome)| {
            (failed.max(outcome.0), lost.max(outcome.1))
        });
        if state == "failed" && failed < queue.max_attempts as usize {
            broken.push(format!(
                "{}{job} was accepted and is shown as failed; no task of it has ended failed more than \
                 {failed} times or was lost with its worker more than {lost} times; MaxAttempts is {}",
                queue.prefix, queue.max_attempts
            ));
        }
    }
    for line in &broken {
        deployment.note(line);
    }
    deployment.stop();
    Ok(Verdict { broken })
}

/// Six tasks of a second each; three of five tickets have two steps.
fn ticket(count: u32) -> String {
    let step = "{\"Count\":6,\"Cpu\":960,\"MemMb\":1900,\"EstimateMs\":1000";
    let stages = if count % 5 < 3 {
        format!("{step}}},{step},\"After\":[0]}}")
    } else {
        format!("{step}}}")
    };
    job_body("work0=1000 gauge0=960 work1=1000 gauge1=960", &stages)
}

fn lot() -> String {
    let step = "{\"Count\":8,\"Cpu\":7000,\"MemMb\":13000,\"EstimateMs\":1700";
    job_body(
        "work0=1700 gauge0=7000 work1=1700 gauge1=7000",
        &format!("{step}}},{step},\"After\":[0]}}"),
    )
}

fn watch() -> String {
    let step =
        "{\"Count\":6,\"Cpu\":13000,\"MemMb\":26000,\"EstimateMs\":400,\"LongRunning\":true}";
    job_body("work0=400 lasts0=1 gauge0=4", step)
}
