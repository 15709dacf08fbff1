//! Ledger of requests and attempts that targets and workers actually executed.
//!
//! Targets and workers record each start before they execute it. Simulators in other processes
//! write events as JSON lines to a TCP port; events written before a process was killed still
//! arrive.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::TcpListener,
};

use crate::LabError;

/// Event reported by a simulated target or worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// A target started a request.
    RequestStarted {
        /// Address of the target.
        target: SocketAddr,
        /// Identifier of the request.
        request_id: String,
        /// Whether the request may be executed more than once.
        is_idempotent: bool,
        /// Requests in progress at the target, including this one.
        running: u32,
        /// Slots of the target.
        slots: u32,
    },
    /// A worker started or resumed an attempt.
    AttemptRunning {
        /// Instance of the worker.
        instance: String,
        /// Identifier of the task.
        task: String,
        /// Number of the attempt.
        attempt: u32,
        /// Progress at the start or resumption, in milliseconds.
        progress_ms: u64,
    },
    /// A worker completed, stopped or paused an attempt.
    AttemptHalted {
        /// Instance of the worker.
        instance: String,
        /// Identifier of the task.
        task: String,
        /// Number of the attempt.
        attempt: u32,
        /// Progress so far, in milliseconds.
        progress_ms: u64,
        /// Whether the task completed.
        is_done: bool,
    },
}

impl LedgerEvent {
    /// Task of the event; `None` for requests.
    pub fn task(&self) -> Option<&str> {
        match self {
            Self::AttemptRunning { task, .. } | Self::AttemptHalted { task, .. } => Some(task),
            Self::RequestStarted { .. } => None,
        }
    }
}

/// Callback that records an event.
pub type LedgerSender = Arc<dyn Fn(LedgerEvent) + Send + Sync>;

/// Events in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    events: Arc<Mutex<Vec<(Instant, LedgerEvent)>>>,
}

impl Ledger {
    /// Creates a sender for use within this process.
    pub fn sender(&self) -> LedgerSender {
        let ledger = self.clone();
        Arc::new(move |event| ledger.record(event))
    }

    /// Accepts events from other processes; returns the listen address.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn listen(&self, address: SocketAddr) -> Result<SocketAddr, LabError> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let ledger = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let ledger = ledger.clone();
                tokio::spawn(async move {
                    let mut lines = BufReader::new(stream).lines();
                    while let Ok(Some(line)) = lines.next_line().await {
                        if let Ok(event) = serde_json::from_str(&line) {
                            ledger.record(event);
                        }
                    }
                });
            }
        });
        Ok(address)
    }

    /// All events recorded so far.
    pub fn events(&self) -> Vec<(Instant, LedgerEvent)> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Summarizes the request events.
    pub fn requests(&self) -> RequestLedger {
        let mut requests = RequestLedger::default();
        for (_, event) in self.events() {
            let LedgerEvent::RequestStarted { request_id, is_idempotent, running, slots, .. } =
                event
            else {
                continue;
            };
            let runs = requests.runs.entry(request_id).or_insert(0);
            *runs += 1;
            if *runs == 2 && !is_idempotent {
                requests.duplicated += 1;
            }
            requests.over_capacity += u64::from(running > slots);
        }
        requests
    }

    /// Summarizes the attempt events; `killed` lists instances whose workers were killed, and when.
    pub fn tasks(&self, killed: &[(String, Instant)]) -> TaskLedger {
        let mut tasks = TaskLedger::default();
        let mut running: BTreeMap<String, BTreeMap<(String, u32), u64>> = BTreeMap::new();
        let mut killed = killed.to_vec();
        killed.sort_by_key(|(_, at)| *at);
        let mut killed = killed.into_iter().peekable();
        for (at, event) in self.events() {
            while let Some((instance, _)) = killed.next_if(|(_, killed_at)| *killed_at <= at) {
                for places in running.values_mut() {
                    places.retain(|(place, _), _| *place != instance);
                }
            }
            tasks.apply(event, &mut running);
        }
        tasks
    }

    fn record(&self, event: LedgerEvent) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), event));
    }
}

/// Summary of executed requests.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    /// Number of executions by request.
    pub runs: BTreeMap<String, u32>,
    /// Non-idempotent requests executed more than once.
    pub duplicated: u64,
    /// Requests started while all slots of the target were in use.
    pub over_capacity: u64,
}

/// Summary of executed attempts.
#[derive(Clone, Debug, Default)]
pub struct TaskLedger {
    /// Number of completions by task.
    pub done: BTreeMap<String, u32>,
    /// Attempts that started.
    pub attempts: BTreeSet<(String, u32)>,
    /// Attempts that started from a checkpoint.
    pub resumed: BTreeSet<(String, u32)>,
    /// Number of times that a task started to run while it was already running elsewhere.
    pub in_two_places: u64,
    /// Number of times that an attempt ran on an instance other than its first.
    pub attempts_repeated: u64,
    places: BTreeMap<(String, u32), String>,
}

impl TaskLedger {
    /// Number of completions beyond the first of each task.
    pub fn duplicated(&self) -> u64 {
        self.done.values().map(|count| u64::from(count.saturating_sub(1))).sum()
    }

    fn apply(
        &mut self,
        event: LedgerEvent,
        running: &mut BTreeMap<String, BTreeMap<(String, u32), u64>>,
    ) {
        match event {
            LedgerEvent::AttemptRunning { instance, task, attempt, progress_ms } => {
                let key = (task.clone(), attempt);
                let place = self.places.entry(key.clone()).or_insert_with(|| instance.clone());
                self.attempts_repeated += u64::from(*place != instance);
                let is_new = self.attempts.insert(key.clone());
                if is_new && progress_ms > 0 {
                    self.resumed.insert(key);
                }
                let places = running.entry(task).or_default();
                places.insert((instance, attempt), progress_ms);
                self.in_two_places += u64::from(places.len() > 1);
            }
            LedgerEvent::AttemptHalted { instance, task, attempt, is_done, .. } => {
                if let Some(places) = running.get_mut(&task) {
                    places.remove(&(instance, attempt));
                }
                if is_done {
                    *self.done.entry(task).or_insert(0) += 1;
                }
            }
            LedgerEvent::RequestStarted { .. } => {}
        }
    }
}

/// Connects to the ledger of another process; without an address, events are discarded.
///
/// # Errors
///
/// The ledger can't be reached.
pub fn remote_sender(ledger: Option<SocketAddr>) -> Result<LedgerSender, LabError> {
    let Some(address) = ledger else { return Ok(Arc::new(|_| ())) };
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let stream = Mutex::new(stream);
    Ok(Arc::new(move |event| {
        let mut line = serde_json::to_string(&event).unwrap_or_default();
        line.push('\n');
        let mut stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
        drop(stream.write_all(line.as_bytes()));
    }))
}
