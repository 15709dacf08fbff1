//! Overlapping series of random faults on a fleet of real processes, with checks of invariants.
//!
//! Several concurrent injectors each choose a process, a link or the store and inject a series of
//! faults there. Faults therefore overlap and also hit processes that are starting or shutting
//! down. Invariants on executed requests and tasks are checked during the run; the first violation
//! ends the run with diagnostics.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use teaseltrack::shard::{shard_of, stream_of};
use teaseltrack_cli::verify::verify_streams;
use teaseltrack_platform::keys;
use teaseltrack_wire::operators::ExplainedDecision;
use tokio::{sync::Mutex, time::sleep};

use crate::{
    LabError,
    fleet::{FleetPlan, wait_until},
    ledger::Ledger,
    load::{LoadPlan, RequestOutcome, send_load},
    operator::{LabJob, Operator},
    platform::{Faults, Outage},
    processes::{ProcessFleet, ProcessKey, Role},
    relay::RelayFaults,
    report::Report,
};

/// Number of agents, each with a target and a worker.
const AGENTS: usize = 5;
/// Number of concurrent injectors.
const INJECTORS: u64 = 3;
/// Maximum faults of a series.
const MAX_FAULTS_PER_SERIES: u32 = 4;
/// Interval between checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for all tasks to complete after the last fault.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);
/// Timeout of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(40);
/// Number of tasks of each job.
pub(super) const JOB_TASKS: u32 = 8;
/// Interval between job submissions.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
/// Fraction of store writes whose response is lost.
const LOST_RESPONSE_RATIO: f64 = 0.4;
/// Additional latency of a slow link or a slow store.
const INJECTED_DELAY: Duration = Duration::from_millis(250);

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of faults and load.
    pub seed: u64,
    /// Duration of the load and of fault injection.
    pub duration: Duration,
}

/// Component that a series of faults affects.
#[derive(Clone, Copy, Debug)]
enum FaultSite {
    Process(ProcessKey),
    Link(usize),
    Store,
}

/// State shared by the injectors.
struct Soak {
    fleet: Mutex<ProcessFleet>,
    ledger: Ledger,
    killed_workers: Mutex<Vec<(String, Instant)>>,
    faults: AtomicU64,
    overdue_shutdowns: AtomicU64,
    ends_at: Instant,
}

/// Runs a soak.
///
/// # Errors
///
/// The fleet can't be started, or an invariant was violated.
pub async fn run(options: SoakOptions, report: &mut Report) -> Result<(), LabError> {
    let plan =
        FleetPlan { agents: AGENTS, has_workers: true, has_relays: true, ..FleetPlan::default() };
    let fleet = ProcessFleet::start(plan).await?;
    let operator = Operator::new(fleet.plan.operator_address(0), "lab");
    operator.submit_service("tickets", 2_000).await?;
    sleep(Duration::from_secs(3)).await;
    let load = LoadPlan {
        addresses: vec![fleet.plan.caller_address(0)],
        name: "soak".to_owned(),
        rate_per_s: 60.0,
        duration: options.duration,
        seed: options.seed,
        ..LoadPlan::default()
    };
    let load_task = tokio::spawn(send_load(load));
    let soak = Arc::new(Soak {
        ledger: fleet.ledger.clone(),
        fleet: Mutex::new(fleet),
        killed_workers: Mutex::default(),
        faults: AtomicU64::new(0),
        overdue_shutdowns: AtomicU64::new(0),
        ends_at: Instant::now() + options.duration,
    });
    let submit_task = tokio::spawn(submit_jobs(operator.clone(), soak.ends_at));
    let injectors: Vec<_> = (0..INJECTORS)
        .map(|number| {
            let rng = ChaCha8Rng::seed_from_u64(options.seed * INJECTORS + number);
            tokio::spawn(soak.clone().inject(rng))
        })
        .collect();
    while Instant::now() < soak.ends_at {
        sleep(CHECK_INTERVAL).await;
        soak.check_invariants(&operator).await?;
    }
    for injector in injectors {
        injector.await??;
    }
    soak.clear_faults().await?;
    let result = load_task.await?;
    let jobs = submit_task.await?;
    let expected = jobs.len() * JOB_TASKS as usize;
    let killed = soak.killed_workers.lock().await.clone();
    let is_done = wait_until(COMPLETION_TIMEOUT, || async {
        soak.ledger.tasks(&killed).done.len() >= expected
    })
    .await;
    soak.check_invariants(&operator).await?;
    let verdict = result.verdict(&soak.ledger.requests());
    let verified = verify_streams(&operator.client).await?;
    report.count("faults", soak.faults.load(Ordering::Relaxed));
    report.count("stops_overdue", soak.overdue_shutdowns.load(Ordering::Relaxed));
    report.count("requests", result.requests.len() as u64);
    report.count("answered", verdict.answered);
    report.count("not_run", verdict.not_run);
    report.count("unknown", verdict.unknown);
    report.count("late", result.count(RequestOutcome::Late));
    report.count("truncated", verdict.truncated);
    report.count("tasks", expected as u64);
    report.count("history_entries", verified.iter().map(|stream| stream.entries).sum());
    let violations = [
        ("lost", verdict.lost),
        ("wrong", verdict.mismatched),
        ("false_not_run", verdict.false_not_run),
        ("tasks_unfinished", u64::from(!is_done)),
    ];
    for (name, count) in violations {
        report.count(name, count);
    }
    let names: Vec<&str> =
        violations.iter().filter(|(_, count)| *count > 0).map(|(name, _)| *name).collect();
    if names.is_empty() {
        return Ok(());
    }
    if !is_done {
        print_unfinished(&*soak.fleet.lock().await, &operator, &jobs).await;
    }
    Err(format!("seed {}: {}\n{}", options.seed, names.join(", "), report.text()).into())
}

/// Submits jobs of short tasks during fault injection; returns the names of accepted jobs.
pub(super) async fn submit_jobs(operator: Operator, ends_at: Instant) -> Vec<String> {
    let mut jobs = Vec::new();
    for number in 0_u64.. {
        if Instant::now() >= ends_at {
            break;
        }
        let name = format!("job-{number}");
        let run_ms = 300 + 400 * (number % 5);
        let job = LabJob { tasks: JOB_TASKS, cpu_milli: 500, run_ms, urgency: 6 };
        // A submission is atomic, so a query of the record resolves an unknown outcome.
        let is_accepted = operator.submit_job(&name, job).await.is_ok()
            || wait_until(Duration::from_secs(20), || async {
                let path = format!("/records/job/{name}");
                operator.client.query::<serde_json::Value>(&path).await.is_ok()
            })
            .await;
        if is_accepted {
            jobs.push(name);
        }
        sleep(JOB_INTERVAL).await;
    }
    jobs
}

/// Prints the tasks of unfinished jobs, the heads of their journals and the status of all agents.
pub(super) async fn print_unfinished(fleet: &ProcessFleet, operator: &Operator, jobs: &[String]) {
    for name in jobs {
        let head = keys::head(&stream_of(shard_of(name)));
        match operator.job(name).await {
            Ok(view) if view.counts.done == JOB_TASKS => continue,
            Ok(view) => eprintln!("{name}: {:?}", view.tasks),
            Err(error) => eprintln!("{name}: {error}"),
        }
        eprintln!("{head}: {:?}", fleet.platform.peek(&head));
    }
    for index in 0..fleet.plan.agents {
        eprintln!("agent {index}: {:?}", fleet.agent_status(index).await);
    }
}

/// Prints the events and decisions of tasks that completed more than once.
pub(super) async fn print_duplicated(
    ledger: &Ledger,
    killed_workers: &[(String, Instant)],
    operator: &Operator,
) {
    let events = ledger.events();
    let Some((start, _)) = events.first() else { return };
    let seconds = |at: &Instant| at.saturating_duration_since(*start).as_secs_f64();
    let tasks = ledger.tasks(killed_workers);
    for (task, _) in tasks.done.iter().filter(|(_, count)| **count > 1) {
        for (instance, at) in killed_workers {
            eprintln!("{:8.3} worker of {instance} killed", seconds(at));
        }
        for (at, event) in events.iter().filter(|(_, event)| event.task() == Some(task.as_str())) {
            eprintln!("{:8.3} {event:?}", seconds(at));
        }
        let job = task.split('/').next().unwrap_or_default();
        let decisions: Result<Vec<ExplainedDecision>, _> =
            operator.client.query(&format!("/explain/{job}")).await;
        for decision in decisions.unwrap_or_default() {
            if decision.decision.task().is_some_and(|id| id.to_string() == *task) {
                eprintln!("{} {} {:?}", decision.at_ms, decision.author, decision.decision);
            }
        }
    }
}

impl Soak {
    /// Injects series of faults until the end of the injection period.
    async fn inject(self: Arc<Self>, mut rng: ChaCha8Rng) -> Result<(), LabError> {
        while Instant::now() < self.ends_at {
            let site = choose_fault_site(&mut rng);
            for _ in 0..rng.random_range(1..=MAX_FAULTS_PER_SERIES) {
                self.faults.fetch_add(1, Ordering::Relaxed);
                match site {
                    FaultSite::Process(key) => self.inject_process_fault(key, &mut rng).await?,
                    FaultSite::Link(index) => self.inject_link_fault(index, &mut rng).await,
                    FaultSite::Store => self.inject_store_fault(&mut rng).await,
                }
                sleep(random_millis(&mut rng, 0, 800)).await;
            }
            sleep(random_millis(&mut rng, 300, 2_000)).await;
        }
        Ok(())
    }

    async fn inject_process_fault(
        &self,
        key: ProcessKey,
        rng: &mut ChaCha8Rng,
    ) -> Result<(), LabError> {
        match rng.random_range(0..3) {
            0 => self.kill(key, random_millis(rng, 0, 1_500)).await,
            1 => {
                self.signal(key, Signal::SIGSTOP).await;
                sleep(random_millis(rng, 200, 6_000)).await;
                self.signal(key, Signal::SIGCONT).await;
                Ok(())
            }
            // Workers and targets are killed instead of shut down gracefully.
            _ if matches!(key.0, Role::Worker | Role::Target) => {
                self.kill(key, Duration::ZERO).await
            }
            _ => self.stop(key).await,
        }
    }

    async fn signal(&self, key: ProcessKey, signal: Signal) {
        self.fleet.lock().await.process(key).signal(signal);
    }

    async fn kill(&self, key: ProcessKey, downtime: Duration) -> Result<(), LabError> {
        self.fleet.lock().await.process(key).kill();
        if key.0 == Role::Worker {
            let name = FleetPlan::agent_name(key.1);
            self.killed_workers.lock().await.push((name, Instant::now()));
        }
        sleep(downtime).await;
        let mut fleet = self.fleet.lock().await;
        if fleet.process(key).has_exited() { fleet.respawn(key) } else { Ok(()) }
    }

    /// Requests a graceful shutdown and restarts the process after its exit; kills it on timeout.
    async fn stop(&self, key: ProcessKey) -> Result<(), LabError> {
        let id = self.fleet.lock().await.process(key).id();
        self.signal(key, Signal::SIGTERM).await;
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
            let mut fleet = self.fleet.lock().await;
            if fleet.process(key).id() != id {
                return Ok(());
            }
            if fleet.process(key).has_exited() {
                return fleet.respawn(key);
            }
        }
        self.overdue_shutdowns.fetch_add(1, Ordering::Relaxed);
        self.kill(key, Duration::ZERO).await
    }

    async fn inject_link_fault(&self, index: usize, rng: &mut ChaCha8Rng) {
        let relay = self.fleet.lock().await.relays[index].clone();
        let faults = match rng.random_range(0..5) {
            0 => RelayFaults { delay: INJECTED_DELAY, ..RelayFaults::default() },
            1 => RelayFaults { is_refusing: true, ..RelayFaults::default() },
            2 => RelayFaults { stalls_requests: true, ..RelayFaults::default() },
            3 => RelayFaults { stalls_responses: true, ..RelayFaults::default() },
            _ => RelayFaults {
                stalls_requests: true,
                stalls_responses: true,
                is_refusing: true,
                ..RelayFaults::default()
            },
        };
        relay.set_faults(faults);
        if rng.random_range(0..2) == 0 {
            relay.cut_all();
        }
        sleep(random_millis(rng, 200, 4_000)).await;
        relay.set_faults(RelayFaults::default());
    }

    async fn inject_store_fault(&self, rng: &mut ChaCha8Rng) {
        let faults = match rng.random_range(0..4) {
            0 => Faults { outage: Outage::Silent, ..Faults::default() },
            1 => Faults { outage: Outage::Cut, ..Faults::default() },
            2 => Faults { lost_response_ratio: LOST_RESPONSE_RATIO, ..Faults::default() },
            _ => Faults { latency_ms: INJECTED_DELAY.as_millis() as f64, ..Faults::default() },
        };
        self.fleet.lock().await.platform.set_faults(faults);
        sleep(random_millis(rng, 200, 6_000)).await;
        self.fleet.lock().await.platform.set_faults(Faults::default());
    }

    /// Clears all faults, resumes frozen processes and restarts those that have exited.
    async fn clear_faults(&self) -> Result<(), LabError> {
        let mut fleet = self.fleet.lock().await;
        fleet.platform.set_faults(Faults::default());
        fleet.relays.iter().for_each(|relay| relay.set_faults(RelayFaults::default()));
        let instances = (0..AGENTS)
            .flat_map(|index| [(Role::Agent, index), (Role::Target, index), (Role::Worker, index)]);
        for key in instances.chain([(Role::Entry, 1)]) {
            fleet.process(key).signal(Signal::SIGCONT);
            if fleet.process(key).has_exited() {
                fleet.respawn(key)?;
            }
        }
        Ok(())
    }

    /// Checks the ledger for violations of the invariants on requests and tasks.
    async fn check_invariants(&self, operator: &Operator) -> Result<(), LabError> {
        let killed = self.killed_workers.lock().await.clone();
        let tasks = self.ledger.tasks(&killed);
        let requests = self.ledger.requests();
        let violations: Vec<String> = [
            ("duplicated", requests.duplicated),
            ("over_capacity", requests.over_capacity),
            ("tasks_duplicated", tasks.duplicated()),
            ("tasks_in_two_places", tasks.in_two_places),
            ("attempts_repeated", tasks.attempts_repeated),
        ]
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
        if violations.is_empty() {
            return Ok(());
        }
        print_duplicated(&self.ledger, &killed, operator).await;
        Err(format!("invariants violated: {}", violations.join(", ")).into())
    }
}

/// Chooses a random component, except entry 0, which receives the load whose responses are checked.
fn choose_fault_site(rng: &mut ChaCha8Rng) -> FaultSite {
    let index = rng.random_range(0..AGENTS);
    match rng.random_range(0..10) {
        0..4 => FaultSite::Process((Role::Agent, index)),
        4 | 5 => FaultSite::Process((Role::Worker, index)),
        6 => FaultSite::Process((Role::Target, index)),
        7 => FaultSite::Process((Role::Entry, 1)),
        8 => FaultSite::Link(index),
        _ => FaultSite::Store,
    }
}

fn random_millis(rng: &mut ChaCha8Rng, min: u64, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(min..=max))
}
