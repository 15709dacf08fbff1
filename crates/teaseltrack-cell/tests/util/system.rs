//! Owner with agents and simulated workers, in one process.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use teaseltrack::{
    cell::job::{JobSpec, Queue, Schedule, Stage},
    clock::SystemClock,
    placement::Resources,
};
use teaseltrack_cell::{
    agent::{AGENT_MAILBOX_SIZE, AgentContext, AgentEvent, run_agent},
    calls::{CallServer, KnownOwner, serve_calls},
    candidate::Candidate,
    constants::{OWNERSHIP, cell_settings},
    local_owner::LocalOwner,
    owner::OwnerContext,
    rows::{Submission, cancellation_key, progress_key, submission_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    simulated_worker::{MAX_LEASE, Run, Runs, SimulatedWorker},
    util::{Rows, operator_source, store},
};

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time from the acknowledgement of a cancellation after which no task of the job starts.
pub const CANCEL_LIMIT: Duration = Duration::from_secs(3);

/// Owner with agents and their workers.
pub struct System {
    pub rows: Arc<Mutex<Rows>>,
    pub workers: Vec<SimulatedWorker>,
    /// Event channels of the agents.
    pub agents: Vec<mpsc::Sender<AgentEvent>>,
    pub metrics: Vec<Metrics>,
    pub runs: Runs,
    pub jobs: Vec<String>,
    pub cancelled: Vec<(String, Instant)>,
    closing: CancellationToken,
}

impl System {
    pub async fn start(worker_count: usize, run_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (mailbox, owner) = watch::channel(None);
        let (known_sender, known_owner) = watch::channel(KnownOwner::default());
        let (contact_sender, contact) = watch::channel(None);
        let closing = CancellationToken::new();
        let local_owner = LocalOwner::new("instance-0".to_owned(), Arc::new(SystemClock));
        let server = CallServer {
            owner,
            known_owner: known_owner.clone(),
            local_owner: local_owner.clone(),
        };
        tokio::spawn(serve_calls(listener, server, closing.clone()));
        let (rows, runs) = (Arc::new(Mutex::new(Rows::default())), Runs::default());
        let candidate = Candidate {
            instance: "instance-0".to_owned(),
            address: address.clone(),
            started_unix_ms: 1,
            context: OwnerContext {
                cell_id: 0,
                cell_count: 1,
                store: store(&rows),
                clock: Arc::new(SystemClock),
                wall_now: SystemTime::now,
                cell: cell_settings(MAX_LEASE, None),
                ownership: OWNERSHIP,
                operator: operator_source(),
                mailbox,
                local_owner,
                logger: silent(),
                metrics: Metrics::scrape_only(),
            },
            known_owner: known_sender,
        };
        tokio::spawn(candidate.run(contact, closing.clone()));
        let (mut workers, mut agents, mut metrics) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..worker_count {
            let worker = SimulatedWorker::new(&format!("worker-{index}"), run_time, &runs);
            let (events, inbox) = mpsc::channel(AGENT_MAILBOX_SIZE);
            agents.push(events.clone());
            metrics.push(Metrics::scrape_only());
            let agent = AgentContext {
                cell: 0,
                instance: format!("instance-{index}"),
                address: address.clone(),
                started_unix_ms: 1,
                worker: worker.adapter(),
                clock: Arc::new(SystemClock),
                known_owner: known_owner.clone(),
                owner_contact: contact_sender.clone(),
                has_uncommitted_ends: watch::channel(false).0,
                logger: silent(),
                metrics: metrics[index].clone(),
            };
            tokio::spawn(run_agent(agent, events.clone(), inbox, closing.clone()));
            let beating = worker.clone();
            tokio::spawn(async move {
                loop {
                    if let Some(heartbeat) = beating.heartbeat()
                        && events.send(heartbeat).await.is_err()
                    {
                        return;
                    }
                    sleep(HEARTBEAT_INTERVAL).await;
                }
            });
            workers.push(worker);
        }
        sleep(Duration::from_millis(1_500)).await;
        let (jobs, cancelled) = (Vec::new(), Vec::new());
        Self { rows, workers, agents, metrics, runs, jobs, cancelled, closing }
    }

    pub fn submit(&mut self, stage_count: usize, task_count: u32) {
        self.submit_recurring(stage_count, task_count, None);
    }

    pub fn submit_recurring(
        &mut self,
        stage_count: usize,
        task_count: u32,
        schedule: Option<Schedule>,
    ) {
        let job = format!("{:016x}", self.jobs.len() + self.cancelled.len());
        let resources = Resources { cpu_milli: 50, memory_mib: 100, accelerators: 0 };
        let stage = |index: usize| Stage {
            task_count,
            resources,
            estimate_ms: 300,
            after: (index > 0).then(|| index - 1).into_iter().collect(),
            ..Stage::default()
        };
        let spec = JobSpec {
            queue: "queue".to_owned(),
            stages: (0..stage_count).map(stage).collect(),
            schedule,
            ..JobSpec::default()
        };
        self.store(job, spec);
    }

    /// Submits a job of one stage.
    pub fn submit_stage(&mut self, payload: &str, stage: Stage) {
        let job = format!("{:016x}", self.jobs.len() + self.cancelled.len());
        let (queue, payload) = ("queue".to_owned(), payload.to_owned());
        self.store(job, JobSpec { queue, payload, stages: vec![stage], ..JobSpec::default() });
    }

    fn store(&mut self, job: String, spec: JobSpec) {
        let queue = Queue {
            name: "queue".to_owned(),
            service: "service".to_owned(),
            max_attempts: 10,
            stretch: 1.5,
            ..Queue::default()
        };
        let submission = Submission { spec, queue, ..Submission::default() };
        let submission = serde_json::to_string(&submission).unwrap();
        self.rows.lock().unwrap().put(&submission_key(&job), &submission);
        self.jobs.push(job);
    }

    pub fn cancel_last(&mut self) {
        let Some(job) = self.jobs.pop() else { return };
        self.rows.lock().unwrap().put(&cancellation_key(&job), "true");
        self.cancelled.push((job, Instant::now()));
    }

    /// Waits until all jobs but the cancelled ones are completed. One with a task under which workers
    /// have crashed again and again has failed.
    pub async fn assert_completes(&self, limit: Duration) {
        let until = Instant::now() + limit;
        let mut open = self.jobs.clone();
        while !open.is_empty() {
            sleep(Duration::from_millis(100)).await;
            let rows = self.rows.lock().unwrap();
            let progress = |job: &String| rows.value(&progress_key(0, job));
            assert!(
                Instant::now() < until,
                "not completed after {limit:?}: {:?}",
                open.iter().map(progress).collect::<Vec<_>>()
            );
            open.retain(|job| {
                !progress(job).is_some_and(|progress| {
                    progress.contains("\"completed\"") || progress.contains("\"failed\"")
                })
            });
        }
    }

    /// Asserts that no task ran twice at the same time or again after its end was noted, and that
    /// none started long after the cancellation of its job.
    pub fn assert_runs(&self) {
        self.workers.iter().for_each(SimulatedWorker::settle);
        let runs = self.runs.lock().unwrap();
        let overlaps = |first: &Run, second: &Run| {
            first.task == second.task
                && (first.is_noted || first.ended_at.is_none_or(|end| end > second.started_at))
        };
        for (index, second) in runs.iter().enumerate() {
            let first = runs[..index].iter().find(|first| overlaps(first, second));
            assert!(first.is_none(), "{}, after {}", second.name(), first.unwrap().name());
            let cancelled = self.cancelled.iter().find(|(job, _)| *job == second.task.job);
            let is_late = cancelled.is_some_and(|(_, at)| second.started_at > *at + CANCEL_LIMIT);
            assert!(!is_late, "{} started after its job was cancelled", second.name());
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.closing.cancel();
    }
}
