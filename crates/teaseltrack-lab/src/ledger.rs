//! What really ran, told by targets and workers before they run it.
//!
//! Stand-ins in other processes write events as JSON lines to a TCP port; what they wrote arrives even
//! if they are killed right after.

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

/// Something that a stand-in did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// A target began to run a request.
    RequestStarted {
        /// Address of the target.
        target: SocketAddr,
        /// The request.
        request_id: String,
        /// Whether running it twice does harm.
        is_idempotent: bool,
        /// Requests that the target ran at once, this one included.
        running: u32,
        /// Slots of the target.
        slots: u32,
    },
    /// A worker began or went on to run an attempt.
    AttemptRunning {
        /// The instance.
        instance: String,
        /// The task.
        task: String,
        /// The attempt.
        attempt: u32,
        /// Progress at which it began, in milliseconds.
        progress_ms: u64,
    },
    /// A worker stopped or paused an attempt.
    AttemptHalted {
        /// The instance.
        instance: String,
        /// The task.
        task: String,
        /// The attempt.
        attempt: u32,
        /// Progress so far, in milliseconds.
        progress_ms: u64,
        /// Whether the task is finished.
        is_done: bool,
    },
}

impl LedgerEvent {
    /// The task that the event is about, if it is about one.
    pub fn task(&self) -> Option<&str> {
        match self {
            Self::AttemptRunning { task, .. } | Self::AttemptHalted { task, .. } => Some(task),
            Self::RequestStarted { .. } => None,
        }
    }
}

/// Where stand-ins tell what they do.
pub type LedgerSender = Arc<dyn Fn(LedgerEvent) + Send + Sync>;

/// Events in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    events: Arc<Mutex<Vec<(Instant, LedgerEvent)>>>,
}

impl Ledger {
    /// A sender within this process.
    pub fn sender(&self) -> LedgerSender {
        let ledger = self.clone();
        Arc::new(move |event| ledger.push(event))
    }

    /// Takes events of other processes in; the address to tell them.
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
                            ledger.push(event);
                        }
                    }
                });
            }
        });
        Ok(address)
    }

    /// All events so far.
    pub fn events(&self) -> Vec<(Instant, LedgerEvent)> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// What the requests among the events come to.
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

    /// What the attempts among the events come to; `killed` are instances and when they were killed.
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
            tasks.take_in(event, &mut running);
        }
        tasks
    }

    fn push(&self, event: LedgerEvent) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), event));
    }
}

/// Requests that ran.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    /// Runs by request.
    pub runs: BTreeMap<String, u32>,
    /// Requests that aren't idempotent and ran more than once.
    pub duplicated: u64,
    /// Starts beyond a target's slots.
    pub over_capacity: u64,
}

/// Attempts that ran.
#[derive(Clone, Debug, Default)]
pub struct TaskLedger {
    /// Tasks that finished, and how often.
    pub done: BTreeMap<String, u32>,
    /// Attempts that were begun.
    pub attempts: BTreeSet<(String, u32)>,
    /// Attempts that began beyond the start.
    pub resumed: BTreeSet<(String, u32)>,
    /// Times that a task ran in two places at once.
    pub in_two_places: u64,
    /// Attempts that ran in more than one place.
    pub attempts_repeated: u64,
    places: BTreeMap<(String, u32), String>,
}

impl TaskLedger {
    /// Times that a finished task finished again.
    pub fn duplicated(&self) -> u64 {
        self.done.values().map(|count| u64::from(count.saturating_sub(1))).sum()
    }

    fn take_in(
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

/// A sender to another process's ledger, or to nowhere.
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
