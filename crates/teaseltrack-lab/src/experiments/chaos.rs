//! Random faults on a fleet of real processes that serves requests and runs tasks.
//!
//! The report includes the counts of violated invariants, from `lost` to `attempts_repeated`; each
//! of these should be zero.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack_cli::verify::verify_streams;
use tokio::time::sleep;

use crate::{
    LabError,
    experiments::soak::{JOB_TASKS, print_duplicated, print_unfinished, submit_jobs},
    fleet::{FleetPlan, wait_until},
    load::{LoadPlan, RequestOutcome, send_load},
    operator::Operator,
    platform::{Faults, Outage},
    processes::ProcessFleet,
    report::Report,
};

/// Number of agents, each with a target and a worker.
const AGENTS: usize = 4;
/// Duration of the load and of fault injection.
const INJECTION_DURATION: Duration = Duration::from_secs(60);
/// Timeout for all tasks to complete after the last fault.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);
/// Timeout of an agent's graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(40);

/// Injected faults, chosen with equal probability.
const FAULTS: [Fault; 8] = [
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::KillWorker,
    Fault::KillTarget,
    Fault::KillEntry,
    Fault::ShutDownAgent,
    Fault::StoreOutage,
    Fault::LostResponses,
];

/// Fault that is injected and then ended; a killed process is restarted after a pause.
#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgent,
    /// Suspends an agent with SIGSTOP and resumes it.
    FreezeAgent,
    KillWorker,
    KillTarget,
    KillEntry,
    /// Shuts an agent down gracefully with SIGTERM and restarts it.
    ShutDownAgent,
    /// Makes the store unavailable.
    StoreOutage,
    /// Loses the responses to some of the store's writes after they have taken effect.
    LostResponses,
}

struct Chaos {
    fleet: ProcessFleet,
    rng: ChaCha8Rng,
    /// Instances whose workers were killed, and when.
    killed_workers: Vec<(String, Instant)>,
    injected_faults: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// The fleet can't be started, a fault can't be injected, or the hash chain of a journal stream
/// can't be verified.
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
        duration: INJECTION_DURATION,
        seed,
        ..LoadPlan::default()
    };
    let load_task = tokio::spawn(send_load(load));
    let submit_task =
        tokio::spawn(submit_jobs(operator.clone(), Instant::now() + INJECTION_DURATION));
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut chaos = Chaos { fleet, rng, killed_workers: Vec::new(), injected_faults: 0 };
    let started_at = Instant::now();
    while started_at.elapsed() < INJECTION_DURATION {
        chaos.inject().await?;
    }
    let result = load_task.await?;
    let jobs = submit_task.await?;
    let expected = jobs.len() * JOB_TASKS as usize;
    let Chaos { fleet, killed_workers, injected_faults, .. } = chaos;
    let is_done = wait_until(COMPLETION_TIMEOUT, || async {
        fleet.ledger.tasks(&killed_workers).done.len() >= expected
    })
    .await;
    let tasks = fleet.ledger.tasks(&killed_workers);
    let verdict = result.verdict(&fleet.ledger.requests());
    let verified = verify_streams(&operator.client).await?;
    report.count("faults", injected_faults);
    report.count("requests", result.requests.len() as u64);
    report.count("answered", verdict.answered);
    report.count("not_run", verdict.not_run);
    report.count("unknown", verdict.unknown);
    report.count("late", result.count(RequestOutcome::Late));
    report.count("truncated", verdict.truncated);
    report.count("tasks", expected as u64);
    report.count("tasks_unfinished", (expected - tasks.done.len().min(expected)) as u64);
    report.count("attempts", tasks.attempts.len() as u64);
    report.count("resumed", tasks.resumed.len() as u64);
    report.count("history_entries", verified.iter().map(|stream| stream.entries).sum());
    let violations = [
        ("lost", verdict.lost),
        ("wrong", verdict.mismatched),
        ("false_not_run", verdict.false_not_run),
        ("duplicated", verdict.duplicated),
        ("over_capacity", verdict.over_capacity),
        ("tasks_duplicated", tasks.duplicated()),
        ("tasks_in_two_places", tasks.in_two_places),
        ("attempts_repeated", tasks.attempts_repeated),
    ];
    for (name, count) in violations {
        report.count(name, count);
    }
    print_duplicated(&fleet.ledger, &killed_workers, &operator).await;
    if !is_done {
        print_unfinished(&fleet, &operator, &jobs).await;
    }
    Ok(())
}

impl Chaos {
    /// Injects a random fault, ends it, and pauses for a random time. A killed process is restarted
    /// after a pause of the same length.
    async fn inject(&mut self) -> Result<(), LabError> {
        let fault = FAULTS[self.rng.random_range(0..FAULTS.len())];
        let index = self.rng.random_range(0..AGENTS);
        let pause = Duration::from_millis(self.rng.random_range(100..1_500));
        let fault_duration = Duration::from_millis(self.rng.random_range(200..6_000));
        self.injected_faults += 1;
        match fault {
            Fault::KillAgent => {
                self.fleet.agents[index].kill();
                sleep(pause).await;
                self.fleet.agents[index] = self.fleet.spawn_agent(index)?;
            }
            Fault::FreezeAgent => {
                self.fleet.agents[index].signal(Signal::SIGSTOP);
                sleep(fault_duration).await;
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
                // Entry 0 receives the load and the operator's commands, so it keeps running.
                self.fleet.entries[1].kill();
                sleep(pause).await;
                self.fleet.entries[1] = self.fleet.spawn_entry(1)?;
            }
            Fault::ShutDownAgent => {
                self.fleet.agents[index].stop(SHUTDOWN_TIMEOUT).await;
                self.fleet.agents[index] = self.fleet.spawn_agent(index)?;
            }
            Fault::StoreOutage => {
                // The parity of the random pause selects the kind of outage.
                let outage =
                    if pause.as_millis().is_multiple_of(2) { Outage::Silent } else { Outage::Cut };
                self.fleet.platform.set_faults(Faults { outage, ..Faults::default() });
                sleep(fault_duration).await;
                self.fleet.platform.set_faults(Faults::default());
            }
            Fault::LostResponses => {
                let faults = Faults { lost_response_ratio: 0.4, ..Faults::default() };
                self.fleet.platform.set_faults(faults);
                sleep(fault_duration).await;
                self.fleet.platform.set_faults(Faults::default());
            }
        }
        sleep(pause).await;
        Ok(())
    }
}
