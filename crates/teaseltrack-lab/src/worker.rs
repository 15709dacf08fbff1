//! Stand-in of the platform's worker.
//!
//! It runs pretend tasks that make progress with time, under a lease in its own clock. Past the lease's
//! end it pauses them by itself; a new incarnation drops them.

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

/// Time between steps of progress.
const STEP: Duration = Duration::from_millis(10);
/// Most progress of one step; time for which the worker was frozen doesn't count.
const MAX_STEP_MS: f64 = 50.0;
/// Largest call, in bytes.
const MAX_CALL_BYTES: usize = 4 << 20;

/// Options of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Address on which it takes calls.
    pub address: SocketAddr,
    /// Name of the instance, for the ledger.
    pub instance: String,
    /// True run time over the declared one.
    pub run_time_ratio: f64,
    /// Whether it fails every task that it starts.
    pub is_failing: bool,
    /// Where it tells what ran.
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

/// A running worker, cheap to clone.
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
        let served = worker.clone();
        let handler = move |request| served.clone().answer(request);
        tokio::spawn(serve_or_abort(listener, worker.closing.clone(), handler));
        tokio::spawn(worker.clone().keep_stepping());
        Ok(worker)
    }

    /// Address on which it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    async fn keep_stepping(self) {
        let mut ticks = interval(STEP);
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

    async fn answer(self, request: Request<Incoming>) -> Option<Response<ResponseBody>> {
        if request.method() != Method::POST {
            return Some(refused(ErrorKind::InvalidInput, "method: must be POST"));
        }
        let path = request.uri().path().to_owned();
        let body = request.into_body();
        let answer = match path.as_str() {
            "/sync" => {
                read_json(body, MAX_CALL_BYTES).await.and_then(|call| self.lock().sync(call))
            }
            "/start" => {
                read_json(body, MAX_CALL_BYTES).await.and_then(|call| self.lock().start(call))
            }
            "/stop" => {
                read_json(body, MAX_CALL_BYTES).await.and_then(|call| self.lock().stop(call))
            }
            _ => Err(Problem::new(ErrorKind::NotFound, format!("path: {path} doesn't exist"))),
        };
        Some(answer.unwrap_or_else(Problem::into_response))
    }
}

type Answer = Result<Response<ResponseBody>, Problem>;

fn refused(kind: ErrorKind, detail: &str) -> Response<ResponseBody> {
    Problem::new(kind, detail).into_response()
}

fn ok<T: Serialize>(value: &T) -> Answer {
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

    fn sync(&mut self, call: SyncRequest) -> Answer {
        self.check_holder(call.holder)?;
        self.step();
        if let Some(incarnation) = call.incarnation {
            if self.incarnation.is_some_and(|current| current != incarnation) {
                self.drop_all();
            }
            self.incarnation = Some(incarnation);
            self.lease_until_ms = call.lease_until_ms.unwrap_or(0);
        }
        self.share = call.share.clamp(0.0, 1.0);
        for key in &call.forget {
            let is_over = self.attempts.get(key).is_some_and(|attempt| {
                !matches!(attempt.state, WorkerAttemptState::Running | WorkerAttemptState::Paused)
            });
            if is_over {
                self.attempts.remove(key);
            }
        }
        self.step();
        let attempts = self.attempts.iter().map(|(key, attempt)| report(key, attempt)).collect();
        ok(&SyncResponse { now_ms: self.now_ms(), incarnation: self.incarnation, attempts })
    }

    fn start(&mut self, call: StartRequest) -> Answer {
        self.check_holder(call.holder)?;
        let is_late = call.not_after_ms.is_some_and(|limit| self.now_ms() > limit);
        if is_late || self.incarnation != Some(call.incarnation) {
            return Err(Problem::new(ErrorKind::RevisionConflict, "the start came too late"));
        }
        if self.attempts.contains_key(&call.key) {
            return ok(&json!(null));
        }
        let progress_ms =
            call.checkpoint.and_then(|checkpoint| checkpoint.parse().ok()).unwrap_or(0.0);
        let state = if self.options.is_failing {
            WorkerAttemptState::Failed("the worker is broken".to_owned())
        } else {
            WorkerAttemptState::Paused
        };
        let attempt = Attempt {
            state,
            progress_ms,
            run_ms: call.run_ms as f64 * self.options.run_time_ratio,
            resources: call.resources,
        };
        self.attempts.insert(call.key, attempt);
        self.step();
        ok(&json!(null))
    }

    fn stop(&mut self, call: StopRequest) -> Answer {
        self.check_holder(call.holder)?;
        self.step();
        let attempt = self.attempts.entry(call.key.clone()).or_insert(Attempt {
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
        let is_known = attempt.run_ms > 0.0;
        let progress_ms = attempt.progress_ms;
        if was_running {
            self.tell_halted(&call.key, progress_ms, false);
        }
        let checkpoint = (call.is_checkpointed && is_known).then(|| progress_ms.to_string());
        ok(&StopResponse { state, checkpoint })
    }

    fn drop_all(&mut self) {
        for (key, attempt) in std::mem::take(&mut self.attempts) {
            if attempt.state == WorkerAttemptState::Running {
                self.tell_halted(&key, attempt.progress_ms, false);
            }
        }
    }

    /// Moves all attempts on, or pauses them when the lease is over.
    fn step(&mut self) {
        let now = Instant::now();
        let elapsed_ms = now.duration_since(self.stepped_at).as_secs_f64() * 1_000.0;
        self.stepped_at = now;
        let is_leased = self.is_leased();
        let progress_ms = elapsed_ms.min(MAX_STEP_MS) * self.share;
        let keys: Vec<AttemptKey> = self.attempts.keys().cloned().collect();
        for key in keys {
            self.step_one(&key, is_leased, progress_ms);
        }
    }

    fn step_one(&mut self, key: &AttemptKey, is_leased: bool, progress_ms: f64) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        match (&attempt.state, is_leased) {
            (WorkerAttemptState::Running, false) => {
                attempt.state = WorkerAttemptState::Paused;
                let progress_ms = attempt.progress_ms;
                self.tell_halted(key, progress_ms, false);
            }
            (WorkerAttemptState::Paused, true) => {
                attempt.state = WorkerAttemptState::Running;
                let progress_ms = attempt.progress_ms;
                self.tell_running(key, progress_ms);
            }
            (WorkerAttemptState::Running, true) => {
                attempt.progress_ms += progress_ms;
                if attempt.progress_ms >= attempt.run_ms {
                    attempt.state = WorkerAttemptState::Done;
                    let progress_ms = attempt.progress_ms;
                    self.tell_halted(key, progress_ms, true);
                }
            }
            _ => {}
        }
    }

    fn tell_running(&self, key: &AttemptKey, progress_ms: f64) {
        (self.ledger)(LedgerEvent::AttemptRunning {
            instance: self.options.instance.clone(),
            task: key.task.to_string(),
            attempt: key.attempt,
            progress_ms: progress_ms as u64,
        });
    }

    fn tell_halted(&self, key: &AttemptKey, progress_ms: f64, is_done: bool) {
        (self.ledger)(LedgerEvent::AttemptHalted {
            instance: self.options.instance.clone(),
            task: key.task.to_string(),
            attempt: key.attempt,
            progress_ms: progress_ms as u64,
            is_done,
        });
    }
}

fn report(key: &AttemptKey, attempt: &Attempt) -> WorkerAttempt {
    WorkerAttempt {
        key: key.clone(),
        state: attempt.state.clone(),
        resources: attempt.resources,
        used_cpu_milli: attempt.resources.cpu_milli,
        used_memory_mib: attempt.resources.memory_mib,
    }
}

/// Runs a worker until the process is ended.
///
/// # Errors
///
/// The address can't be bound, or the ledger can't be reached.
pub async fn run(options: WorkerOptions) -> Result<(), LabError> {
    let ledger = remote_sender(options.ledger)?;
    let worker = Worker::start(options, ledger).await?;
    println!("worker serves on {}", worker.address());
    std::future::pending().await
}
