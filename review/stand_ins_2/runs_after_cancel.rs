//! One of three entries is cut off for 12 s. Four clients that hand in a ticket there have no answer
//! after 0.9 s, leave, and cancel the ticket at another entry, which acknowledges that. Nothing of it
//! may start later. All other clients go on at the other entries.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Deployment, HOST, Queue, Submitted, job_body},
    http::call,
};

const TICKETS: Queue =
    Queue { prefix: "/lohu930/", priority: 0, max_attempts: 3, stretch: 1.5, objective_ms: 250 };
const WORKERS: usize = 4;
const CAPACITY: (u64, u64) = (64_000, 250_000);
const TICKET_INTERVAL: Duration = Duration::from_millis(225);
/// `node_cut`: share 0.35 of the entries, for 12 s.
const CUT_TIME: Duration = Duration::from_secs(12);
const CUT_OFF: usize = 0;
/// `cancel_ms`.
const CANCEL_MS: u64 = 3_000;
/// `give_up`: clients leave within 900 ms.
const PATIENCE: Duration = Duration::from_millis(900);
const CLIENT_COUNT: usize = 4;
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(folder, &[TICKETS], 3, WORKERS, CAPACITY)?;
    thread::sleep(Duration::from_secs(3));
    deployment.note("traffic begins");
    for number in 0..24_usize {
        let entry = deployment.entries[number % 3];
        // Clients come by twos.
        let address = format!("{}a{number:015x}", TICKETS.prefix);
        let second = format!("{}b{number:015x}", TICKETS.prefix);
        let beside = thread::spawn(move || post(entry, &second, CALL_TIMEOUT));
        let status = post(entry, &address, CALL_TIMEOUT);
        let second_status = beside.join().unwrap_or(0);
        if status != 200 || second_status != 200 {
            deployment.stop();
            return Err(format!("{address}: {status} and {second_status} before the disruption"));
        }
        thread::sleep(TICKET_INTERVAL);
    }
    if has_trouble {
        deployment.note(&format!("edge-{CUT_OFF} is cut off from the store"));
        deployment.link.set_cut(true);
    }
    let cut_at = Instant::now();
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|number| {
            thread::sleep(TICKET_INTERVAL);
            let (entry, other) = (deployment.entries[CUT_OFF], deployment.entries[CUT_OFF + 1]);
            thread::spawn(move || {
                let job = format!("c{number:015x}");
                let target = format!("{}{job}", TICKETS.prefix);
                let status = post(entry, &target, PATIENCE);
                let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
                let cancelled = call(other, "DELETE", &target, &headers, "", CALL_TIMEOUT);
                let cancelled = cancelled.map_or(0, |(status, _)| status);
                (job, status, cancelled, Instant::now())
            })
        })
        .collect();
    let started_at = Instant::now() - Duration::from_millis(deployment.workers.now_ms());
    let mut cancelled = Vec::new();
    for client in clients {
        let (job, status, cancel_status, at) = client.join().map_err(|_| "a client failed")?;
        let at_ms = at.duration_since(started_at).as_millis() as u64;
        deployment.note(&format!(
            "{}{job}: POST at edge-{CUT_OFF} answered {status} (0: none), DELETE at edge-{} answered {cancel_status}",
            TICKETS.prefix,
            CUT_OFF + 1
        ));
        if matches!(cancel_status, 200..=299 | 410) {
            cancelled.push((job, at_ms));
        }
    }
    // The other clients go on at the other entries.
    let mut others = 0;
    while cut_at.elapsed() + TICKET_INTERVAL < CUT_TIME {
        let target = format!("{}a{:015x}", TICKETS.prefix, 0x1000 + others);
        post(deployment.entries[1 + others % 2], &target, CALL_TIMEOUT);
        others += 1;
        thread::sleep(TICKET_INTERVAL);
    }
    deployment.note(&format!("{others} other tickets were handed in meanwhile"));
    thread::sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
    if has_trouble {
        deployment.note(&format!("edge-{CUT_OFF} reaches the store again"));
        deployment.link.set_cut(false);
    }
    // The traffic at the other entries goes on.
    for number in 100..120 {
        let job = format!("a{number:015x}");
        if deployment.submit(&TICKETS, &job, &ticket()) != Submitted::Accepted {
            deployment.note(&format!("{}{job} wasn't accepted", TICKETS.prefix));
        }
        thread::sleep(TICKET_INTERVAL);
    }
    let mut broken = Vec::new();
    let events = deployment.workers.events();
    for (job, cancelled_at_ms) in &cancelled {
        let late: Vec<u64> = events
            .iter()
            .filter(|event| event.kind == "start" && event.task.starts_with(job.as_str()))
            .filter(|event| event.at_ms > cancelled_at_ms + CANCEL_MS)
            .map(|event| event.at_ms - cancelled_at_ms)
            .collect();
        let done = events
            .iter()
            .filter(|event| event.kind == "end" && event.detail == "done")
            .filter(|event| event.task.starts_with(job.as_str()))
            .count();
        let state = deployment.state(&TICKETS, job);
        deployment.note(&format!("{}{job} is shown as {state}", TICKETS.prefix));
        if let Some(first_ms) = late.first() {
            broken.push(format!(
                "{}{job}: {} tasks started, the first {first_ms} ms after the acknowledgement of its \
                 cancelling; {done} were done",
                TICKETS.prefix,
                late.len()
            ));
        }
    }
    for line in &broken {
        deployment.note(line);
    }
    deployment.stop();
    Ok(Verdict { broken })
}

/// Hands in a ticket once; returns the status, or 0 without a response.
fn post(entry: SocketAddr, target: &str, patience: Duration) -> u16 {
    let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
    let answer = call(entry, "POST", target, &headers, &ticket(), patience);
    answer.map_or(0, |(status, _)| status)
}

fn ticket() -> String {
    job_body(
        "work0=1000 gauge0=960",
        "{\"Count\":6,\"Cpu\":960,\"MemMb\":1900,\"EstimateMs\":1000}",
    )
}
