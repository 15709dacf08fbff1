//! Simulated worker: runs tasks under a lease, refuses outdated calls, and can be made to lose its
//! connection, to crash, to refuse calls and to leave them without a response.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use teaseltrack::{
    cell::protocol::{EndCause, EndedTask, RunningTask, TaskName, WorkerListing, WorkerStatus},
    ids::AttemptNumber,
    placement::Resources,
};
use teaseltrack_cell::{
    agent::{AgentEvent, Heartbeat},
    worker_port::{
        AddressedCall, OTHER_WORKER, WorkerAdapter, WorkerCall, WorkerError, WorkerResponse,
    },
};
use tokio::time::sleep;

/// Longest lease that a worker accepts.
pub const MAX_LEASE: Duration = Duration::from_millis(6_000);
/// Payload of tasks that run until they are stopped.
pub const LASTING: &str = "lasts";
pub const CAPACITY: Resources = Resources { cpu_milli: 8_000, memory_mib: 16_000, accelerators: 0 };

/// Run that has started.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: TaskName,
    pub attempt: AttemptNumber,
    pub worker: String,
    pub started_at: Instant,
    pub ended_at: Option<Instant>,
    /// Whether it was done, and its end was acknowledged before the lease lapsed.
    pub is_noted: bool,
}

impl Run {
    pub fn name(&self) -> String {
        format!("{} attempt {} on {}", self.task, self.attempt, self.worker)
    }
}

/// What happens to start and stop calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallFault {
    #[default]
    None,
    /// The worker refuses the call.
    Refused,
    /// The worker executes the call after the delay, without a response.
    Late(Duration),
    /// The worker executes the call, and the response is lost.
    ResponseLost,
}

#[derive(Debug, Default)]
pub struct WorkerState {
    name: String,
    started_unix_ms: u64,
    clock_offset_ms: u64,
    heartbeat_number: u64,
    fence: u64,
    lease_end: Option<Instant>,
    /// Last end of a lease that wasn't renewed in time.
    lapsed_at: Option<Instant>,
    running: BTreeMap<TaskName, (AttemptNumber, Instant, usize)>,
    highest_ended: BTreeMap<TaskName, AttemptNumber>,
    ended: Vec<(EndedTask, usize)>,
    end_count: u64,
    /// Whether calls and heartbeats are lost.
    pub is_cut: bool,
    /// Faults of the next start and stop calls; none once they are used up.
    pub start_faults: Vec<CallFault>,
    pub stop_faults: Vec<CallFault>,
    pub run_time: Duration,
}

/// Runs on all workers, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct SimulatedWorker {
    pub state: Arc<Mutex<WorkerState>>,
    origin: Instant,
    runs: Runs,
}

impl SimulatedWorker {
    pub fn new(name: &str, run_time: Duration, runs: &Runs) -> Self {
        let state = WorkerState {
            name: name.to_owned(),
            started_unix_ms: 1,
            run_time,
            ..WorkerState::default()
        };
        Self { state: Arc::new(Mutex::new(state)), origin: Instant::now(), runs: runs.clone() }
    }

    pub fn heartbeat(&self) -> Option<AgentEvent> {
        let mut state = self.state.lock().unwrap();
        state.heartbeat_number += 1;
        let status = WorkerStatus {
            worker: state.name.clone(),
            started_unix_ms: state.started_unix_ms,
            service: "service".to_owned(),
            capacity: CAPACITY,
            ..WorkerStatus::default()
        };
        let clock_ms = self.clock_ms(&state);
        let heartbeat = Heartbeat { number: state.heartbeat_number, status, clock_ms };
        (!state.is_cut).then_some(AgentEvent::Heartbeat(heartbeat))
    }

    /// Ends all runs and starts the next incarnation, which knows nothing of the one before.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        self.end_due_runs(&mut state, now);
        for (_, _, run) in state.running.values() {
            self.runs.lock().unwrap()[*run].ended_at = Some(now);
        }
        *state = WorkerState {
            name: state.name.clone(),
            started_unix_ms: state.started_unix_ms + 1,
            clock_offset_ms: now.duration_since(self.origin).as_millis() as u64,
            is_cut: state.is_cut,
            run_time: state.run_time,
            ..WorkerState::default()
        };
    }

    /// Tasks that run now.
    pub fn running(&self) -> Vec<TaskName> {
        let mut state = self.state.lock().unwrap();
        self.end_due_runs(&mut state, Instant::now());
        state.running.keys().cloned().collect()
    }

    /// Ends the faults of the next calls.
    pub fn clear_faults(&self) {
        let mut state = self.state.lock().unwrap();
        state.start_faults.clear();
        state.stop_faults.clear();
    }

    /// Whether calls are lost or will fail, and the start of the present incarnation.
    pub fn disturbance(&self) -> (bool, u64) {
        let state = self.state.lock().unwrap();
        let has_faults = !state.start_faults.is_empty() || !state.stop_faults.is_empty();
        (state.is_cut || has_faults, state.started_unix_ms)
    }

    /// Records the ends of the runs until now.
    pub fn settle(&self) {
        self.end_due_runs(&mut self.state.lock().unwrap(), Instant::now());
    }

    /// Forgets the ends that haven't been acknowledged.
    pub fn forget_ends(&self) {
        let mut state = self.state.lock().unwrap();
        self.end_due_runs(&mut state, Instant::now());
        state.ended.clear();
    }

    pub fn adapter(&self) -> WorkerAdapter {
        let worker = self.clone();
        Arc::new(move |call: AddressedCall| {
            let worker = worker.clone();
            let responding: BoxFuture<'static, _> =
                Box::pin(async move { worker.respond(call).await });
            responding
        })
    }

    async fn respond(&self, call: AddressedCall) -> Result<WorkerResponse, WorkerError> {
        sleep(Duration::from_millis(3)).await;
        let (fault, is_cut, life) = {
            let mut state = self.state.lock().unwrap();
            let faults = match &call.call {
                WorkerCall::Start { .. } => Some(&mut state.start_faults),
                WorkerCall::Stop { .. } => Some(&mut state.stop_faults),
                WorkerCall::Sync { .. } | WorkerCall::Pace { .. } | WorkerCall::Identify => None,
            };
            let fault = faults.and_then(Vec::pop).unwrap_or_default();
            (fault, state.is_cut, state.started_unix_ms)
        };
        if is_cut {
            return std::future::pending().await;
        }
        match fault {
            CallFault::None => {}
            CallFault::Refused => {
                return Err(WorkerError::Refused { reason: "status 503".to_owned() });
            }
            CallFault::Late(delay) => {
                let worker = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    if worker.state.lock().unwrap().started_unix_ms == life {
                        worker.execute(call).ok();
                    }
                });
                return std::future::pending().await;
            }
            CallFault::ResponseLost => {
                self.execute(call).ok();
                return std::future::pending().await;
            }
        }
        if let WorkerCall::Sync { wait, .. } = &call.call {
            sleep((*wait).min(Duration::from_millis(100))).await;
            if self.state.lock().unwrap().started_unix_ms != life {
                return Err(WorkerError::Unavailable { message: "connection reset".to_owned() });
            }
        }
        self.execute(call)
    }

    fn execute(&self, call: AddressedCall) -> Result<WorkerResponse, WorkerError> {
        let refused = |reason: &str| Err(WorkerError::Refused { reason: reason.to_owned() });
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        self.end_due_runs(&mut state, now);
        if call.worker != state.name {
            return refused(OTHER_WORKER);
        }
        let clock_ms = self.clock_ms(&state);
        if call.call == WorkerCall::Identify {
            let (clock_ms, started_unix_ms) = (Some(clock_ms), Some(state.started_unix_ms));
            return Ok(WorkerResponse { clock_ms, started_unix_ms, ..WorkerResponse::default() });
        }
        if call.session < state.fence {
            return refused("fence");
        }
        state.fence = call.session;
        let mut response = WorkerResponse { clock_ms: Some(clock_ms), ..WorkerResponse::default() };
        let extend_lease = |state: &mut WorkerState, until_ms: u64| {
            let lease = Duration::from_millis(until_ms.saturating_sub(clock_ms)).min(MAX_LEASE);
            state.lease_end = state.lease_end.max(Some(now + lease));
            !lease.is_zero()
        };
        match call.call {
            WorkerCall::Sync { lease_until_ms, forget_until, .. } => {
                if let Some(until_ms) = lease_until_ms {
                    extend_lease(&mut state, until_ms);
                }
                let lapsed_at = state.lapsed_at;
                state.ended.retain(|(end, run)| {
                    let is_forgotten = end.number <= forget_until;
                    let run = &mut self.runs.lock().unwrap()[*run];
                    let has_lapsed = lapsed_at >= run.ended_at;
                    run.is_noted |= is_forgotten && end.cause == EndCause::Done && !has_lapsed;
                    !is_forgotten
                });
                response.started_unix_ms = Some(state.started_unix_ms);
                response.listing = Some(listing(&state));
            }
            WorkerCall::Start { order, lease_until_ms } => {
                let (task, attempt) = (order.task, order.attempt);
                if state.highest_ended.get(&task).is_some_and(|ended| *ended >= attempt) {
                    return refused("old");
                }
                if !extend_lease(&mut state, lease_until_ms) {
                    return refused("late");
                }
                if state.running.get(&task).is_some_and(|(running, ..)| *running == attempt) {
                    return Ok(response);
                }
                let mut runs = self.runs.lock().unwrap();
                let is_lasting = order.payload == LASTING;
                let due_at = now + if is_lasting { 100 * MAX_LEASE } else { state.run_time };
                state.running.insert(task.clone(), (attempt, due_at, runs.len()));
                runs.push(Run {
                    task,
                    attempt,
                    worker: format!("{}@{}", state.name, state.started_unix_ms),
                    started_at: now,
                    ended_at: None,
                    is_noted: false,
                });
            }
            WorkerCall::Stop { task, attempt } => {
                let highest = state.highest_ended.entry(task.clone()).or_insert(0);
                *highest = (*highest).max(attempt);
                if state.running.get(&task).is_some_and(|(running, ..)| *running == attempt) {
                    self.end_run(&mut state, &task, EndCause::Stopped, now);
                }
            }
            WorkerCall::Pace { .. } | WorkerCall::Identify => {}
        }
        Ok(response)
    }

    /// Ends the runs that are done, and all runs once the lease has expired.
    fn end_due_runs(&self, state: &mut WorkerState, now: Instant) {
        let lease_end = state.lease_end.unwrap_or(now);
        if lease_end < now {
            state.lapsed_at = Some(lease_end);
        }
        let due: BTreeSet<TaskName> = state
            .running
            .iter()
            .filter(|(_, (_, due_at, _))| (*due_at).min(lease_end) <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let due_at = state.running[&task].1;
            let cause = if due_at <= lease_end { EndCause::Done } else { EndCause::Lapsed };
            self.end_run(state, &task, cause, due_at.min(lease_end));
        }
    }

    fn end_run(&self, state: &mut WorkerState, task: &TaskName, cause: EndCause, at: Instant) {
        let Some((attempt, _, run)) = state.running.remove(task) else { return };
        self.runs.lock().unwrap()[run].ended_at = Some(at);
        state.highest_ended.insert(task.clone(), attempt);
        state.end_count += 1;
        let (number, task) = (state.end_count, task.clone());
        let end = EndedTask { number, task, attempt, cause, checkpoint: String::new() };
        state.ended.push((end, run));
    }

    fn clock_ms(&self, state: &WorkerState) -> u64 {
        1_000 + self.origin.elapsed().as_millis() as u64 - state.clock_offset_ms
    }
}

fn listing(state: &WorkerState) -> WorkerListing {
    let running = state.running.iter().map(|(task, (attempt, ..))| RunningTask {
        task: task.clone(),
        attempt: *attempt,
        checkpoint: String::new(),
        percent: 10,
        gauge: 0,
    });
    let ended = state.ended.iter().map(|(end, _)| end.clone());
    WorkerListing { running: Some(running.collect()), ended: ended.collect() }
}
