//! Simulation of the platform's worker.
//!
//! Simulated tasks progress with elapsed time while a lease, measured on the worker's clock, is
//! valid. The worker pauses them when the lease expires and drops them when the incarnation
//! changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::json;
use teaseltrack::{ids::Incarnation, outcome::ErrorKind, placement::Resources};
use teaseltrack_daemon::{
    http_server::{ResponseBody, json_response, read_json},
    problem::Problem,
};
use teaseltrack_platform::worker::{
    AttemptKey, StartRequest, StopRequest, StopResponse, SyncRequest, SyncResponse, WorkerAttempt,
    WorkerAttemptState,
};
use tokio::{
    net::TcpListener,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{
    LabError,
    ledger::{LedgerEvent, LedgerSender, remote_sender},
    server::serve_or_abort,
};

/// Interval between progress updates.
const STEP_PERIOD: Duration = Duration::from_millis(10);
/// Maximum progress of one step, so that time during which the process was frozen isn't counted.
const MAX_STEP_MS: f64 = 50.0;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Options of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Listen address for calls.
    pub address: SocketAddr,
    /// Instance name in ledger events.
    pub instance: String,
    /// Ratio of the actual run time to the declared one.
    pub run_time_ratio: f64,
    /// Whether every task fails on start.
    pub is_failing: bool,
    /// Address of the ledger that receives its events, if any.
    pub ledger: Option<SocketAddr>,
}

struct Attempt {
    state: WorkerAttemptState,
    progress_ms: f64,
    run_ms: f64,
    resources: Resources,
}

struct State {
    options: WorkerOptions,
    ledger: LedgerSender,
    started_at: Instant,
    stepped_at: Instant,
    holder: Incarnation,
    incarnation: Option<Incarnation>,
    lease_until_ms: u64,
    share: f64,
    attempts: BTreeMap<AttemptKey, Attempt>,
}

/// Handle to a running worker, cheap to clone.
#[derive(Clone)]
pub struct Worker {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    closing: CancellationToken,
}

impl Worker {
    /// Starts a worker.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(options: WorkerOptions, ledger: LedgerSender) -> Result<Self, LabError> {
        let listener = TcpListener::bind(options.address).await?;
        let now = Instant::now();
        let state = State {
            options,
            ledger,
            started_at: now,
            stepped_at: now,
            holder: 0,
            incarnation: None,
            lease_until_ms: 0,
            share: 1.0,
            attempts: BTreeMap::new(),
        };
        let worker = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            closing: CancellationToken::new(),
        };
        let service = worker.clone();
        let handler = move |request| service.clone().handle(request);
        tokio::spawn(serve_or_abort(listener, worker.closing.clone(), handler));
        tokio::spawn(worker.clone().step_periodically());
        Ok(worker)
    }

    /// Listen address for calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn step_periodically(self) {
        let mut ticks = interval(STEP_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.lock().step(),
                () = self.closing.cancelled() => return,
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        if request.method() != Method::POST {
            return Some(error_response(ErrorKind::InvalidInput, "method: must be POST"));
        }
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        let result = match path.as_str() {
            "/sync" => {
                read_json(body, MAX_BODY_BYTES).await.and_then(|call| self.lock().sync(call))
            }
            "/start" => {
                read_json(body, MAX_BODY_BYTES).await.and_then(|call| self.lock().start(call))
            }
            "/stop" => {
                read_json(body, MAX_BODY_BYTES).await.and_then(|call| self.lock().stop(call))
            }
            _ => Err(Problem::new(ErrorKind::NotFound, format!("path: {path} doesn't exist"))),
        };
        Some(result.unwrap_or_else(Problem::into_response))
    }
}

type HandlerResult = Result<Response<ResponseBody>, Problem>;

fn error_response(kind: ErrorKind, detail: &str) -> Response<ResponseBody> {
    Problem::new(kind, detail).into_response()
}

fn json_ok<T: Serialize>(value: &T) -> HandlerResult {
    Ok(json_response(200, value))
}

impl State {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn is_leased(&self) -> bool {
        self.incarnation.is_some() && self.now_ms() < self.lease_until_ms
    }

    fn check_holder(&mut self, holder: Incarnation) -> Result<(), Problem> {
        if holder < self.holder {
            let detail = "holder: a newer agent process holds the worker";
            return Err(Problem::new(ErrorKind::RevisionConflict, detail));
        }
        self.holder = holder;
        Ok(())
    }

    fn sync(&mut self, request: SyncRequest) -> HandlerResult {
        self.check_holder(request.holder)?;
        self.step();
        if let Some(incarnation) = request.incarnation {
            if self.incarnation.is_some_and(|current| current != incarnation) {
                self.drop_attempts();
            }
            self.incarnation = Some(incarnation);
            self.lease_until_ms = request.lease_until_ms.unwrap_or(0);
        }
        self.share = request.share.clamp(0.0, 1.0);
        for key in &request.forget {
            let is_ended = self.attempts.get(key).is_some_and(|attempt| {
                !matches!(attempt.state, WorkerAttemptState::Running | WorkerAttemptState::Paused)
            });
            if is_ended {
                self.attempts.remove(key);
            }
        }
        self.step();
        let attempts =
            self.attempts.iter().map(|(key, attempt)| worker_attempt(key, attempt)).collect();
        json_ok(&SyncResponse { now_ms: self.now_ms(), incarnation: self.incarnation, attempts })
    }

    fn start(&mut self, request: StartRequest) -> HandlerResult {
        self.check_holder(request.holder)?;
        let is_expired = request.not_after_ms.is_some_and(|limit| self.now_ms() > limit);
        if is_expired || self.incarnation != Some(request.incarnation) {
            return Err(Problem::new(ErrorKind::RevisionConflict, "the start came too late"));
        }
        if self.attempts.contains_key(&request.key) {
            return json_ok(&json!(null));
        }
        let progress_ms =
            request.checkpoint.and_then(|checkpoint| checkpoint.parse().ok()).unwrap_or(0.0);
        let state = if self.options.is_failing {
            WorkerAttemptState::Failed("the worker is broken".to_owned())
        } else {
            WorkerAttemptState::Paused
        };
        let attempt = Attempt {
            state,
            progress_ms,
            run_ms: request.run_ms as f64 * self.options.run_time_ratio,
            resources: request.resources,
        };
        self.attempts.insert(request.key, attempt);
        self.step();
        json_ok(&json!(null))
    }

    fn stop(&mut self, request: StopRequest) -> HandlerResult {
        self.check_holder(request.holder)?;
        self.step();
        // A stop received before its start is recorded, so that the start doesn't run the attempt.
        let attempt = self.attempts.entry(request.key.clone()).or_insert(Attempt {
            state: WorkerAttemptState::Stopped,
            progress_ms: 0.0,
            run_ms: 0.0,
            resources: Resources::default(),
        });
        let was_running = attempt.state == WorkerAttemptState::Running;
        if matches!(attempt.state, WorkerAttemptState::Running | WorkerAttemptState::Paused) {
            attempt.state = WorkerAttemptState::Stopped;
        }
        let state = attempt.state.clone();
        let was_started = attempt.run_ms > 0.0;
        let progress_ms = attempt.progress_ms;
        if was_running {
            self.record_halted(&request.key, progress_ms, false);
        }
        let checkpoint = (request.is_checkpointed && was_started).then(|| progress_ms.to_string());
        json_ok(&StopResponse { state, checkpoint })
    }

    fn drop_attempts(&mut self) {
        for (key, attempt) in std::mem::take(&mut self.attempts) {
            if attempt.state == WorkerAttemptState::Running {
                self.record_halted(&key, attempt.progress_ms, false);
            }
        }
    }

    /// Advances all attempts, or pauses them if the lease has expired.
    fn step(&mut self) {
        let now = Instant::now();
        let elapsed_ms = now.duration_since(self.stepped_at).as_secs_f64() * 1_000.0;
        self.stepped_at = now;
        let is_leased = self.is_leased();
        let progress_ms = elapsed_ms.min(MAX_STEP_MS) * self.share;
        let keys: Vec<AttemptKey> = self.attempts.keys().cloned().collect();
        for key in keys {
            self.step_attempt(&key, is_leased, progress_ms);
        }
    }

    fn step_attempt(&mut self, key: &AttemptKey, is_leased: bool, progress_ms: f64) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        match (&attempt.state, is_leased) {
            (WorkerAttemptState::Running, false) => {
                attempt.state = WorkerAttemptState::Paused;
                let progress_ms = attempt.progress_ms;
                self.record_halted(key, progress_ms, false);
            }
            (WorkerAttemptState::Paused, true) => {
                attempt.state = WorkerAttemptState::Running;
                let progress_ms = attempt.progress_ms;
                self.record_running(key, progress_ms);
            }
            (WorkerAttemptState::Running, true) => {
                attempt.progress_ms += progress_ms;
                if attempt.progress_ms >= attempt.run_ms {
                    attempt.state = WorkerAttemptState::Done;
                    let progress_ms = attempt.progress_ms;
                    self.record_halted(key, progress_ms, true);
                }
            }
            _ => {}
        }
    }

    fn record_running(&self, key: &AttemptKey, progress_ms: f64) {
        (self.ledger)(LedgerEvent::AttemptRunning {
            instance: self.options.instance.clone(),
            task: key.task.to_string(),
            attempt: key.attempt,
            progress_ms: progress_ms as u64,
        });
    }

    fn record_halted(&self, key: &AttemptKey, progress_ms: f64, is_done: bool) {
        (self.ledger)(LedgerEvent::AttemptHalted {
            instance: self.options.instance.clone(),
            task: key.task.to_string(),
            attempt: key.attempt,
            progress_ms: progress_ms as u64,
            is_done,
        });
    }
}

fn worker_attempt(key: &AttemptKey, attempt: &Attempt) -> WorkerAttempt {
    WorkerAttempt {
        key: key.clone(),
        state: attempt.state.clone(),
        resources: attempt.resources,
        used_cpu_milli: attempt.resources.cpu_milli,
        used_memory_mib: attempt.resources.memory_mib,
    }
}

/// Runs a worker until the process is terminated.
///
/// # Errors
///
/// The address can't be bound, or the ledger can't be reached.
pub async fn run(options: WorkerOptions) -> Result<(), LabError> {
    let ledger = remote_sender(options.ledger)?;
    let worker = Worker::start(options, ledger).await?;
    println!("worker listening on {}", worker.address());
    std::future::pending().await
}
