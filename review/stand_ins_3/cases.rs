//! The cases.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Event, Fleet, Record, job},
    json::{Json, number, text},
    worker::unix_ms,
};

pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

pub fn play(case: &str, record: &Record, has_trouble: bool) -> Verdict {
    match case {
        "silent_workers" => silent_workers(record, has_trouble),
        "ignored_worker" => ignored_worker(record, has_trouble),
        "odd_heartbeat" => odd_heartbeat(record, has_trouble),
        "silent_store" => silent_store(record, has_trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    }
}

fn not_run(why: &str) -> Verdict {
    Verdict::NotRun(why.to_owned())
}

/// While a job runs, an agent gets one heartbeat of another writer.
fn odd_heartbeat(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut fleet) = Fleet::start(record.clone(), 3, 11, 1) else {
        return not_run("the deployment didn't come up");
    };
    let id = "5c0e7a21d94b36f8";
    if fleet.submit(id, &job(22, "run_ms=8000", 2_000, 1_024, 8_000, &[])).is_none() {
        return not_run("the job wasn't accepted");
    }
    sleep(Duration::from_millis(2_500));
    let Some(first) = fleet.events().into_iter().find(|event| event.task.starts_with(id)) else {
        return not_run("the job hasn't started");
    };
    if has_trouble {
        fleet.send_odd_heartbeat(first.worker);
    }
    let started_at = Instant::now();
    while fleet.state(id).as_deref() != Some("completed") {
        if started_at.elapsed() > Duration::from_secs(40) {
            break;
        }
        sleep(Duration::from_millis(500));
    }
    if fleet.has_lost_program() {
        return not_run("a program has ended");
    }
    let mut events = fleet.events();
    events.sort_by_key(|event| event.at_ms);
    let mut running: Vec<&Event> = Vec::new();
    let mut doubled = Vec::new();
    for event in events.iter().filter(|event| event.task.starts_with(id)) {
        let other = running.iter().position(|run| run.task == event.task);
        if event.what == "start" {
            if let Some(run) = other.map(|index| running[index]) {
                record.add(format!(
                    "{} starts on worker {} while it runs on worker {}",
                    event.task, event.worker, run.worker
                ));
                doubled.push(event.task.clone());
            }
            running.push(event);
        } else {
            running.retain(|run| run.task != event.task || run.worker != event.worker);
        }
    }
    if doubled.is_empty() {
        Verdict::Held("no task ran twice".to_owned())
    } else {
        Verdict::Broken(format!("{} tasks had two runs at the same time", doubled.len()))
    }
}

/// The agent of the only worker in a rack gets one heartbeat of another writer. Later, a job comes that needs
/// the label of this rack.
fn ignored_worker(record: &Record, has_trouble: bool) -> Verdict {
    /// The last of them is alone in its rack.
    const WORKERS: usize = 10;
    /// Longer than `ContactMs`, and than any lease.
    const CALM_TIME: Duration = Duration::from_secs(11);
    /// `finish_s` and the 3 s in which nothing runs.
    const OBSERVED: Duration = Duration::from_secs(14 + 3);
    let Some(mut fleet) = Fleet::start(record.clone(), 3, WORKERS, 1) else {
        return not_run("the deployment didn't come up");
    };
    let label = [("RequiredLabel", text(fleet.rack(WORKERS - 1)))];
    let body = job(4, "run_ms=500", 2_000, 1_024, 500, &label);
    let [before, after] = ["5c0e7a21d94b3701", "5c0e7a21d94b3702"];
    if fleet.submit(before, &body).is_none() {
        return not_run("the first job wasn't accepted");
    }
    sleep(Duration::from_secs(3));
    if fleet.state(before).as_deref() != Some("completed") {
        return not_run("the first job isn't completed");
    }
    if has_trouble {
        fleet.send_odd_heartbeat(WORKERS - 1);
    }
    sleep(CALM_TIME);
    if fleet.submit(after, &body).is_none() {
        return not_run("the second job wasn't accepted");
    }
    let accepted_at = Instant::now();
    while accepted_at.elapsed() < OBSERVED {
        sleep(Duration::from_secs(1));
        if fleet.state(after).as_deref() == Some("completed") {
            return Verdict::Held("the job was done".to_owned());
        }
    }
    if fleet.has_lost_program() {
        return not_run("a program has ended");
    }
    let events = fleet.events();
    let mut own = events.iter().filter(|event| event.task.starts_with(after));
    if own.any(|event| event.what == "start") {
        return Verdict::Held("the job has started".to_owned());
    }
    let ended =
        |start: &Event| events.iter().any(|event| event.what == "end" && event.task == start.task);
    if !events.iter().filter(|event| event.what == "start").all(ended) {
        return not_run("the workers aren't empty");
    }
    Verdict::Broken(format!(
        "no task of the accepted job has started within {} s, with its worker sound and empty",
        OBSERVED.as_secs()
    ))
}

/// All open connections to the store go silent at once, some seconds after a burst of requests. Later, in
/// calm, a client cancels a job that lasts.
fn silent_store(record: &Record, has_trouble: bool) -> Verdict {
    const BURST: usize = 8;
    /// From the burst to the disruption, and from there to the cancellation; longer than `ContactMs`.
    const CALM_TIME: Duration = Duration::from_millis(4_000);
    const ACK_MS: u64 = 4_000;
    const CANCEL_MS: u64 = 3_000;
    const STOP_TIMEOUT_MS: u64 = 200;
    /// A client's retries.
    const RETRIES: usize = 4;
    let Some(mut fleet) = Fleet::start(record.clone(), 3, 11, 1) else {
        return not_run("the deployment didn't come up");
    };
    let id = "5c0e7a21d94b36f8";
    let lasting = [("LongRunning", Json::Bool(true))];
    if fleet.submit(id, &job(1, "lasts", 2_000, 1_024, 400, &lasting)).is_none() {
        return not_run("the job wasn't accepted");
    }
    sleep(Duration::from_secs(1));
    let accepted = fleet.burst(BURST, &job(1, "run_ms=300", 100, 64, 300, &[]));
    record.add(format!("clients: {accepted} of {} jobs accepted in a burst", 3 * BURST));
    sleep(CALM_TIME);
    let task = format!("{id}.0.0.0");
    if !open_run(&fleet.events(), &task) {
        return not_run("the job that lasts doesn't run");
    }
    if has_trouble {
        let count = fleet.store_proxy.silence();
        record.add(format!("the {count} open connections to the store go silent"));
    }
    sleep(CALM_TIME);
    let sent_ms = unix_ms();
    let mut acknowledged_ms = None;
    for _ in 0..=RETRIES {
        let status = fleet.cancel(id);
        if status / 100 == 2 || status == 410 {
            acknowledged_ms = Some(unix_ms());
            break;
        }
    }
    let counted_from = acknowledged_ms.map_or(sent_ms + ACK_MS, |at| at.min(sent_ms + ACK_MS));
    let must_be_gone_ms = counted_from + CANCEL_MS + STOP_TIMEOUT_MS;
    while unix_ms() <= must_be_gone_ms + 500 {
        sleep(Duration::from_millis(50));
    }
    if fleet.has_lost_program() {
        return not_run("a program has ended");
    }
    let events = fleet.events();
    let end = events.iter().filter(|event| event.task == task && event.what == "end").next_back();
    let runs_on = open_run(&events, &task) || end.is_none_or(|end| end.at_ms > must_be_gone_ms);
    let answer = acknowledged_ms.map_or("never".to_owned(), |at| {
        format!("{:.1} s after it was first sent", (at - sent_ms) as f64 / 1_000.0)
    });
    let ran = end.filter(|_| !open_run(&events, &task)).map_or("still runs".to_owned(), |end| {
        format!(
            "ran until {:.1} s after it was first sent",
            (end.at_ms as f64 - sent_ms as f64) / 1_000.0
        )
    });
    let what = format!("the cancellation was acknowledged {answer}, and the task {ran}");
    if runs_on { Verdict::Broken(what) } else { Verdict::Held(what) }
}

/// All open connections to the workers go silent at once, some seconds after some short jobs are done.
/// A job that lasts and a batch job are running.
fn silent_workers(record: &Record, has_trouble: bool) -> Verdict {
    const WORKERS: usize = 11;
    const BATCH_TIME: Duration = Duration::from_secs(3);
    const CALM_TIME: Duration = Duration::from_secs(5);
    const OBSERVED: Duration = Duration::from_secs(15);
    const CONTACT_MS: u64 = 3_000;
    const MAX_UNAVAILABLE: usize = 1;
    const BATCH_TASKS: u64 = 22;
    const SHORT_JOBS: usize = 5;
    let Some(mut fleet) = Fleet::start(record.clone(), 3, WORKERS, 30) else {
        return not_run("the deployment didn't come up");
    };
    let watch = "5c0e7a21d94b36f8";
    let lasting = [
        ("LongRunning", Json::Bool(true)),
        ("MaxPerServer", number(1)),
        ("MaxUnavailable", number(MAX_UNAVAILABLE as u64)),
    ];
    if fleet.submit(watch, &job(6, "lasts", 8_000, 4_096, 400, &lasting)).is_none() {
        return not_run("the job that lasts wasn't accepted");
    }
    sleep(BATCH_TIME);
    for index in 0..SHORT_JOBS {
        let short = job(27, "run_ms=1000", 500, 256, 1_000, &[]);
        if fleet.submit(&format!("5c0e7a21d94b370{index}"), &short).is_none() {
            return not_run("a short job wasn't accepted");
        }
    }
    sleep(CALM_TIME);
    let work = "5c0e7a21d94b3777";
    if fleet.submit(work, &job(BATCH_TASKS, "run_ms=10000", 500, 256, 10_000, &[])).is_none() {
        return not_run("the batch job wasn't accepted");
    }
    sleep(BATCH_TIME);
    let tasks: Vec<String> = (0..6).map(|index| format!("{watch}.0.0.{index}")).collect();
    let events = fleet.events();
    if !tasks.iter().all(|task| open_run(&events, task)) {
        return not_run("the job that lasts doesn't run");
    }
    let trouble_ms = unix_ms();
    if has_trouble {
        let counts: Vec<usize> = fleet.worker_proxies.iter().map(|proxy| proxy.silence()).collect();
        record.add(format!("the open connections to the workers go silent: {counts:?} of each"));
    }
    sleep(OBSERVED);
    if fleet.has_lost_program() {
        return not_run("a program has ended");
    }
    let mut events = fleet.events();
    events.sort_by_key(|event| event.at_ms);
    let is_late_lapse =
        |event: &&Event| event.how == "lapsed" && event.at_ms > trouble_ms + CONTACT_MS;
    let lapsed: Vec<&Event> = events.iter().filter(is_late_lapse).collect();
    // What a lapse ends counts as away until it has a run again.
    let mut away: Vec<&str> = Vec::new();
    let mut broken_count = 0;
    for event in events.iter().filter(|event| tasks.contains(&event.task)) {
        away.retain(|task| event.what != "start" || *task != event.task);
        if is_late_lapse(&event) {
            broken_count += usize::from(away.len() >= MAX_UNAVAILABLE);
            away.push(event.task.as_str());
        }
    }
    let lost_count = lapsed.iter().filter(|event| event.task.starts_with(work)).count();
    let what = format!(
        "{broken_count} tasks of a step with MaxUnavailable {MAX_UNAVAILABLE} were ended, while as many others were \
         away, by leases that lapsed more than {CONTACT_MS} ms after the disruption; {lost_count} of {BATCH_TASKS} \
         runs of a batch job lapsed with them"
    );
    if broken_count > 0 { Verdict::Broken(what) } else { Verdict::Held(what) }
}

/// Whether a task has a run that hasn't ended.
fn open_run(events: &[Event], task: &str) -> bool {
    let own = events.iter().filter(|event| event.task == task);
    own.last().is_some_and(|event| event.what == "start")
}
