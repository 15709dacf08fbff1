//! Random faults on a fleet of real processes under load of both kinds; nothing may break.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack_cli::verify::verify_streams;
use teaseltrack_wire::operators::ExplainedDecision;
use tokio::time::sleep;

use crate::{
    LabError,
    fleet::{FleetPlan, wait_until},
    ledger::TaskLedger,
    load::{Ending, LoadPlan, send_load},
    operator::{LabJob, Operator},
    platform::{Faults, Outage},
    processes::ProcessFleet,
    report::Report,
};

/// Agents, each with a target and a worker.
const AGENTS: usize = 4;
/// Time for which faults come.
const CHAOS_TIME: Duration = Duration::from_secs(60);
/// Time for everything to end well afterwards.
const HEAL_TIMEOUT: Duration = Duration::from_secs(90);
/// Time for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Tasks of each job.
const JOB_TASKS: u32 = 8;

/// Faults that are injected, each as likely as the others.
const FAULTS: [Fault; 8] = [
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::KillWorker,
    Fault::KillTarget,
    Fault::KillEntry,
    Fault::StopAgent,
    Fault::StoreOutage,
    Fault::LostAnswers,
];

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgent,
    FreezeAgent,
    KillWorker,
    KillTarget,
    KillEntry,
    StopAgent,
    StoreOutage,
    LostAnswers,
}

struct Chaos {
    fleet: ProcessFleet,
    rng: ChaCha8Rng,
    killed_workers: Vec<(String, Instant)>,
    faults: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started, or an invariant broke.
pub async fn run(seed: u64, report: &mut Report) -> Result<(), LabError> {
    let plan = FleetPlan { agents: AGENTS, has_workers: true, ..FleetPlan::default() };
    let fleet = ProcessFleet::start(plan).await?;
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    operator.submit_service("tickets", 2_000).await?;
    sleep(Duration::from_secs(3)).await;
    let load = LoadPlan {
        addresses: vec![fleet.plan.caller_address(0)],
        name: "chaos".to_owned(),
        rate_per_s: 60.0,
        duration: CHAOS_TIME,
        seed,
        ..LoadPlan::default()
    };
    let loading = tokio::spawn(send_load(load));
    let submitting = tokio::spawn(submit_jobs(operator.clone()));
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut chaos = Chaos { fleet, rng, killed_workers: Vec::new(), faults: 0 };
    let started_at = Instant::now();
    while started_at.elapsed() < CHAOS_TIME {
        chaos.inject().await?;
    }
    let result = loading.await?;
    let jobs = submitting.await?;
    let expected = jobs.len() * JOB_TASKS as usize;
    let Chaos { fleet, killed_workers, faults, .. } = chaos;
    let is_done = wait_until(HEAL_TIMEOUT, || async {
        fleet.ledger.tasks(&killed_workers).done.len() >= expected
    })
    .await;
    let tasks = fleet.ledger.tasks(&killed_workers);
    let verdict = result.verdict(&fleet.ledger.requests());
    let verified = verify_streams(&operator.client).await?;
    report.count("faults", faults);
    report.count("requests", result.requests.len() as u64);
    report.count("answered", verdict.answered);
    report.count("not_run", verdict.not_run);
    report.count("unknown", verdict.unknown);
    report.count("late", result.count(Ending::Late));
    report.count("truncated", verdict.truncated);
    report.count("tasks", expected as u64);
    report.count("tasks_unfinished", (expected - tasks.done.len().min(expected)) as u64);
    report.count("attempts", tasks.attempts.len() as u64);
    report.count("resumed", tasks.resumed.len() as u64);
    report.count("history_entries", verified.iter().map(|stream| stream.entries).sum());
    let broken = [
        ("lost", verdict.lost),
        ("wrong", verdict.wrong),
        ("false_not_run", verdict.false_not_run),
        ("duplicated", verdict.duplicated),
        ("over_capacity", verdict.over_capacity),
        ("tasks_duplicated", tasks.duplicated()),
        ("tasks_in_two_places", tasks.in_two_places),
        ("attempts_repeated", tasks.attempts_repeated),
    ];
    for (name, count) in broken {
        report.count(name, count);
    }
    trace_duplicated(&fleet, &tasks, &killed_workers, &operator).await;
    if !is_done {
        explain_unfinished(&operator, &jobs).await;
    }
    Ok(())
}

/// Submits jobs of short tasks while faults come; the names of those that were accepted.
async fn submit_jobs(operator: Operator) -> Vec<String> {
    let started_at = Instant::now();
    let mut jobs = Vec::new();
    for number in 0_u64.. {
        if started_at.elapsed() >= CHAOS_TIME {
            break;
        }
        let name = format!("job-{number}");
        let run_ms = 300 + 400 * (number % 5);
        let job = LabJob { tasks: JOB_TASKS, cpu_milli: 500, run_ms, urgency: 6 };
        // An unknown outcome is settled by looking: the job is there as a whole or not at all.
        let is_accepted = operator.submit_job(&name, job).await.is_ok()
            || wait_until(Duration::from_secs(20), || async {
                operator
                    .client
                    .query::<serde_json::Value>(&format!("/records/job/{name}"))
                    .await
                    .is_ok()
            })
            .await;
        if is_accepted {
            jobs.push(name);
        }
        sleep(Duration::from_millis(1_500)).await;
    }
    jobs
}

/// Prints all that happened to tasks that finished more than once.
async fn trace_duplicated(
    fleet: &ProcessFleet,
    tasks: &TaskLedger,
    killed_workers: &[(String, Instant)],
    operator: &Operator,
) {
    let events = fleet.ledger.events();
    let Some((start, _)) = events.first() else { return };
    let seconds = |at: &Instant| at.saturating_duration_since(*start).as_secs_f64();
    for (task, _) in tasks.done.iter().filter(|(_, count)| **count > 1) {
        for (instance, at) in killed_workers {
            eprintln!("{:8.3} worker of {instance} killed", seconds(at));
        }
        for (at, event) in events.iter().filter(|(_, event)| event.task() == Some(task.as_str())) {
            eprintln!("{:8.3} {event:?}", seconds(at));
        }
        let job = task.split('/').next().unwrap_or_default();
        let explained: Result<Vec<ExplainedDecision>, _> =
            operator.client.query(&format!("/explain/{job}")).await;
        for decision in explained.unwrap_or_default() {
            let is_about = decision.decision.task().is_some_and(|id| id.to_string() == *task);
            if is_about {
                eprintln!("{} {} {:?}", decision.at_ms, decision.author, decision.decision);
            }
        }
    }
}

/// Says which tasks aren't done, and where they are.
async fn explain_unfinished(operator: &Operator, jobs: &[String]) {
    for name in jobs {
        match operator.job(name).await {
            Ok(view) if view.counts.done == JOB_TASKS => {}
            Ok(view) => eprintln!("{name}: {:?}", view.tasks),
            Err(error) => eprintln!("{name}: {error}"),
        }
    }
}

impl Chaos {
    /// Injects one fault and waits a little.
    async fn inject(&mut self) -> Result<(), LabError> {
        let fault = FAULTS[self.rng.random_range(0..FAULTS.len())];
        let index = self.rng.random_range(0..AGENTS);
        let pause = Duration::from_millis(self.rng.random_range(100..1_500));
        let long = Duration::from_millis(self.rng.random_range(200..6_000));
        self.faults += 1;
        match fault {
            Fault::KillAgent => {
                self.fleet.agents[index].kill();
                sleep(pause).await;
                self.fleet.agents[index] = self.fleet.spawn_agent(index)?;
            }
            Fault::FreezeAgent => {
                self.fleet.agents[index].signal(Signal::SIGSTOP);
                sleep(long).await;
                self.fleet.agents[index].signal(Signal::SIGCONT);
            }
            Fault::KillWorker => {
                self.fleet.workers[index].kill();
                self.killed_workers.push((FleetPlan::agent_name(index), Instant::now()));
                sleep(pause).await;
                self.fleet.workers[index] = self.fleet.spawn_worker(index)?;
            }
            Fault::KillTarget => {
                self.fleet.targets[index].kill();
                sleep(pause).await;
                self.fleet.targets[index] = self.fleet.spawn_target(index)?;
            }
            Fault::KillEntry => {
                self.fleet.entries[1].kill();
                sleep(pause).await;
                self.fleet.entries[1] = self.fleet.spawn_entry(1)?;
            }
            Fault::StopAgent => {
                self.fleet.agents[index].stop(STOP_TIMEOUT).await;
                self.fleet.agents[index] = self.fleet.spawn_agent(index)?;
            }
            Fault::StoreOutage => {
                let outage =
                    if pause.as_millis().is_multiple_of(2) { Outage::Silent } else { Outage::Cut };
                self.fleet.platform.set_faults(Faults { outage, ..Faults::default() });
                sleep(long).await;
                self.fleet.platform.set_faults(Faults::default());
            }
            Fault::LostAnswers => {
                let faults = Faults { lost_answer_ratio: 0.4, ..Faults::default() };
                self.fleet.platform.set_faults(faults);
                sleep(long).await;
                self.fleet.platform.set_faults(Faults::default());
            }
        }
        sleep(pause).await;
        Ok(())
    }
}
