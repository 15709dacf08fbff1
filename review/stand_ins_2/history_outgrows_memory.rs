//! The jobs of an hour and a half are done; then one process is killed, that of the cell's owner. Jobs
//! that are handed in afterwards have to run.
//!
//! The jobs come faster than on the sheet, so that the script ends in time, but not faster than the
//! store takes them.

use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Deployment, Queue, Submitted, job_body, wait_until},
};

const TICKETS: Queue =
    Queue { prefix: "/lohu930/", priority: 0, max_attempts: 3, stretch: 1.5, objective_ms: 250 };
const WORKERS: usize = 4;
const CAPACITY: (u64, u64) = (64_000, 250_000);
/// Tickets of 86 minutes at the sheet's 4.45 a second.
const TICKET_COUNT: usize = 23_000;
const CLIENTS: usize = 10;
/// Size of a ticket's `Spec`: the sheet's mean size of a request is 2,400 bytes.
const SPEC_BYTES: usize = 2_200;
/// `MemoryMb` of a `side` machine.
const MEMORY_LIMIT_KIB: u64 = 128 * 1_024;
/// Longer than `RecoveryS` (12 s) and `finish_s` (14 s).
const WAIT: Duration = Duration::from_secs(26);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(folder, &[TICKETS], 2, WORKERS, CAPACITY)?;
    let kills = deployment.limit_memory(MEMORY_LIMIT_KIB);
    thread::sleep(Duration::from_secs(3));
    deployment.note(&format!("{TICKET_COUNT} tickets are handed in"));
    let begun_at = Instant::now();
    let shared = Arc::new(deployment);
    let accepted = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (deployment, accepted) = (shared.clone(), accepted.clone());
            thread::spawn(move || {
                for number in (client..TICKET_COUNT).step_by(CLIENTS) {
                    let submitted = deployment.submit(&TICKETS, &id(number), &ticket());
                    if submitted == Submitted::Accepted {
                        accepted.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let mut deployment = Arc::into_inner(shared).ok_or("a client is still running")?;
    let accepted = accepted.load(Ordering::SeqCst);
    deployment.note(&format!("{accepted} accepted in {:?}", begun_at.elapsed()));
    let are_done = || {
        (TICKET_COUNT - 3 * CLIENTS..TICKET_COUNT)
            .all(|number| deployment.state(&TICKETS, &id(number)) == "completed")
    };
    if accepted < TICKET_COUNT || !wait_until(Duration::from_secs(10), are_done) {
        deployment.stop();
        return Err("the first jobs weren't all accepted and done in time".to_owned());
    }
    deployment.note("all are done");
    deployment.note(&format!("memory in MB: {:?}", deployment.memory()));
    if !kills.lock().unwrap().is_empty() {
        deployment.stop();
        return Err("a process was over its memory before the disruption".to_owned());
    }
    if has_trouble {
        let Some(owner) = deployment.owner() else {
            deployment.stop();
            return Err("no owner".to_owned());
        };
        deployment.note(&format!("{owner} is killed"));
        deployment.kill(&owner);
        thread::sleep(Duration::from_secs(1));
        deployment.restart(&owner);
    }
    thread::sleep(Duration::from_secs(1));
    let mut late_jobs = Vec::new();
    for number in TICKET_COUNT..TICKET_COUNT + 3 {
        let submitted = deployment.submit(&TICKETS, &id(number), &ticket());
        deployment.note(&format!("{}{} submitted: {submitted:?}", TICKETS.prefix, id(number)));
        if submitted == Submitted::Accepted {
            late_jobs.push(id(number));
        }
    }
    let are_done = || late_jobs.iter().all(|job| deployment.state(&TICKETS, job) == "completed");
    wait_until(WAIT, are_done);
    let mut broken = Vec::new();
    let events = deployment.workers.events();
    for job in &late_jobs {
        let state = deployment.state(&TICKETS, job);
        let starts = events
            .iter()
            .filter(|event| event.kind == "start" && event.task.starts_with(job.as_str()))
            .count();
        deployment.note(&format!("{}{job} shown as {state}; {starts} starts", TICKETS.prefix));
        if starts == 0 {
            broken.push(format!(
                "{}{job} was accepted and has nothing running {} s later, with all workers idle",
                TICKETS.prefix,
                WAIT.as_secs()
            ));
        }
    }
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (name, at_ms) in kills.lock().unwrap().iter() {
        deployment.note(&format!("{name} was over its memory limit at {at_ms} ms and was ended"));
        *counts.entry(name.clone()).or_insert(0) += 1;
    }
    if !counts.is_empty() {
        deployment.note(&format!("ends over the memory limit: {counts:?}"));
    }
    for line in &broken {
        deployment.note(line);
    }
    deployment.stop();
    Ok(Verdict { broken })
}

fn id(number: usize) -> String {
    format!("d{number:015x}")
}

/// Six tasks, as on the sheet, but of 5 ms each.
fn ticket() -> String {
    let spec = format!("work0=5 {}", "x".repeat(SPEC_BYTES));
    job_body(&spec, "{\"Count\":6,\"Cpu\":960,\"MemMb\":1900,\"EstimateMs\":5}")
}
