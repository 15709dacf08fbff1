//! Stand-in for a worker: starts what it is told to start, under leases and fencing tokens, and
//! registers at the agent on its machine. A crash loses everything; the next life may have the same
//! identifier and begins all its counts anew.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Answer, Request, Server, call},
    record::Record,
};

/// Limits, as in the settings of the deployment.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_100);
pub const MAX_HOLD_MS: u64 = 6_000;
pub const STOP_TIMEOUT_MS: u64 = 400;
/// Time that a stop takes here; at most `STOP_TIMEOUT_MS`.
const STOP_TIME: Duration = Duration::from_millis(100);
const MAX_WAIT_MS: u64 = 2_000;
const MAX_ENDS: usize = 500;
/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Time from the moment at which a worker accepts calls until its first heartbeat.
const FIRST_HEARTBEAT_DELAY: Duration = Duration::from_millis(100);
const BEAT_STEP: Duration = Duration::from_millis(10);
const TICK: Duration = Duration::from_millis(5);

/// Whether the next start order to any worker gets no answer; its worker then is unhealthy for a while.
pub static LEAVES_NEXT_START: AtomicBool = AtomicBool::new(false);
/// Time after which the order that got no answer is carried out.
const LATE_START: Duration = Duration::from_secs(6);
/// Time from that order until the worker is unhealthy, and for how long.
const UNHEALTHY_AFTER: Duration = Duration::from_millis(300);
const UNHEALTHY_FOR: Duration = Duration::from_millis(900);

/// A run as seen by the worker; times are those of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    /// How it ended; `lost` in a crash.
    pub how: &'static str,
    /// Whether the lease lapsed after the end, before it was taken note of.
    pub has_lapsed: bool,
    /// Whether the end was taken note of; not after such a lapse.
    pub is_noted: bool,
}

/// All runs of all workers, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Where a worker is and what it has.
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub cpu_milli: u64,
    pub memory_mb: u64,
}

struct Active {
    run: usize,
    attempt: u64,
    started_at: Instant,
    ends_at: Option<Instant>,
    run_time: Option<Duration>,
    stops_at: Option<Instant>,
}

struct Life {
    born_ms: u64,
    started_at: Instant,
    is_up: bool,
    token: u64,
    deadline_ms: u64,
    seq: u64,
    running: BTreeMap<String, Active>,
    /// Number, task, attempt, how and index of the run.
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    end_count: u64,
    /// Highest attempt that was stopped or has ended, by task.
    closed: HashMap<String, u64>,
    generation: u64,
}

/// The worker; cheap to clone.
#[derive(Clone)]
pub struct Worker {
    pub settings: WorkerSettings,
    life: Arc<Mutex<Life>>,
    server: Arc<Mutex<Option<Server>>>,
    runs: Runs,
    record: Record,
    /// Whether all calls hang, although heartbeats are sent.
    is_hanging: Arc<AtomicBool>,
    /// Whether starts and stops are refused with 503.
    is_unhealthy: Arc<AtomicBool>,
}

impl Worker {
    pub fn start(settings: WorkerSettings, runs: Runs, record: Record) -> std::io::Result<Self> {
        let life = Life::new(0);
        let worker = Self {
            settings,
            life: Arc::new(Mutex::new(life)),
            server: Arc::default(),
            runs,
            record,
            is_hanging: Arc::default(),
            is_unhealthy: Arc::default(),
        };
        worker.listen()?;
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        let beating = worker.clone();
        thread::spawn(move || beating.beat());
        Ok(worker)
    }

    /// Lets all calls hang, which are not carried out, or ends that.
    pub fn hang(&self, is_hanging: bool) {
        self.is_hanging.store(is_hanging, Ordering::Relaxed);
        self.note(format!("calls hang: {is_hanging}"));
    }

    /// Number of runs.
    pub fn run_count(&self) -> usize {
        self.lock().running.len()
    }

    /// Crashes; a dark worker is silent until the restart, another one refuses connections.
    pub fn crash(&self, is_dark: bool) {
        let mut life = self.lock();
        life.is_up = false;
        life.generation += 1;
        let lost: Vec<usize> = std::mem::take(&mut life.running).values().map(|a| a.run).collect();
        drop(life);
        for run in &lost {
            self.close_run(*run, "lost");
        }
        self.note(format!("crashes, dark: {is_dark}, runs lost: {}", lost.len()));
        if !is_dark && let Some(server) = self.server_slot().take() {
            server.stop();
        }
    }

    /// Starts a new life under the same identifier.
    pub fn restart(&self) {
        let generation = self.lock().generation + 1;
        *self.lock() = Life::new(generation);
        if self.server_slot().is_none() {
            drop(self.listen());
        }
        self.note(format!("starts again under its identifier, born {}", self.lock().born_ms));
        let beating = self.clone();
        thread::spawn(move || {
            thread::sleep(FIRST_HEARTBEAT_DELAY);
            beating.send_heartbeat();
        });
    }

    fn listen(&self) -> std::io::Result<()> {
        let served = self.clone();
        let server = Server::start(self.settings.address, move |request| served.handle(&request))?;
        *self.server_slot() = Some(server);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server_slot(&self) -> MutexGuard<'_, Option<Server>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, what: String) {
        self.record.note(&self.settings.id, what);
    }

    fn handle(&self, request: &Request) -> Answer {
        let generation = self.lock().generation;
        if !self.lock().is_up {
            return self.stay_silent(generation);
        }
        if self.is_hanging.load(Ordering::Relaxed) {
            while self.is_hanging.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1));
            }
            return Answer::Close;
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return Answer::Send(400, "{}".to_owned());
        };
        if request.header("x-expected-instance").is_some_and(|id| id != self.settings.id) {
            return Answer::Send(421, "{}".to_owned());
        }
        let is_order = ["/run-start", "/run-stop"].contains(&request.path.as_str());
        if is_order && self.is_unhealthy.load(Ordering::Relaxed) {
            self.note(format!("{} refused with 503: {}", request.path, body["Task"]));
            return Answer::Send(503, "{}".to_owned());
        }
        let answer = match request.path.as_str() {
            "/run-start" if LEAVES_NEXT_START.swap(false, Ordering::Relaxed) => {
                return self.leave_start(body, generation);
            }
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body, generation),
            "/pace" => self.if_current(&body, |life| (200, life.clock_body())),
            _ => (404, json!({})),
        };
        // A crash while the call waited.
        if self.lock().generation != generation {
            return self.stay_silent(generation);
        }
        Answer::Send(answer.0, answer.1.to_string())
    }

    /// Answers nothing while the worker is down.
    fn stay_silent(&self, generation: u64) -> Answer {
        while !self.lock().is_up && self.lock().generation <= generation + 1 {
            thread::sleep(Duration::from_millis(1));
        }
        Answer::Close
    }

    /// Answers nothing, is unhealthy for a while, and carries out the order late.
    fn leave_start(&self, body: Value, generation: u64) -> Answer {
        self.note(format!("start {} gets no answer", body["Task"]));
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(UNHEALTHY_AFTER);
            worker.is_unhealthy.store(true, Ordering::Relaxed);
            thread::sleep(UNHEALTHY_FOR);
            worker.is_unhealthy.store(false, Ordering::Relaxed);
            thread::sleep(LATE_START - UNHEALTHY_AFTER - UNHEALTHY_FOR);
            if worker.lock().generation == generation {
                worker.start_run(&body);
            }
        });
        thread::sleep(LATE_START);
        Answer::Close
    }

    /// Carries out a call unless its fencing token is outdated.
    fn if_current(
        &self,
        body: &Value,
        carry_out: impl FnOnce(&mut Life) -> (u16, Value),
    ) -> (u16, Value) {
        let mut life = self.lock();
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if token < life.token {
            return life.refuse("fence");
        }
        life.token = token;
        if let Some(deadline_ms) = body["DeadlineMs"].as_u64() {
            let longest_ms = life.clock_ms() + MAX_HOLD_MS;
            life.deadline_ms = life.deadline_ms.max(deadline_ms.min(longest_ms));
        }
        carry_out(&mut life)
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        let spec = body["Spec"].as_str().unwrap_or_default();
        let run_ms = spec.split(' ').find_map(|word| word.strip_prefix("run_ms=")?.parse().ok());
        let answer = self.if_current(body, |life| {
            if body["DeadlineMs"].as_u64().is_none_or(|deadline| deadline <= life.clock_ms()) {
                return life.refuse("late");
            }
            if life.running.get(&task).is_some_and(|active| active.attempt == attempt) {
                return (200, life.clock_body());
            }
            let closed = life.closed.get(&task).copied().unwrap_or(0);
            if attempt <= closed || life.running.contains_key(&task) {
                return life.refuse("old");
            }
            let now = Instant::now();
            let run_time = run_ms.map(Duration::from_millis);
            let active = Active {
                run: self.open_run(&task, attempt),
                attempt,
                started_at: now,
                ends_at: run_time.map(|run_time| now + run_time),
                run_time,
                stops_at: None,
            };
            life.running.insert(task.clone(), active);
            (200, life.clock_body())
        });
        self.note(format!("start {task} attempt {attempt} token {token}: {}", shown(&answer)));
        answer
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        let task = body["Task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["Attempt"].as_u64().unwrap_or(0);
        let answer = self.if_current(body, |life| {
            let closed = life.closed.entry(task.clone()).or_insert(0);
            *closed = attempt.max(*closed);
            if let Some(active) = life.running.get_mut(&task)
                && active.attempt <= attempt
            {
                active.stops_at.get_or_insert(Instant::now() + STOP_TIME);
            }
            (200, life.clock_body())
        });
        self.note(format!("stop {task} attempt {attempt}: {}", shown(&answer)));
        answer
    }

    fn hold(&self, body: &Value, generation: u64) -> (u16, Value) {
        let last_seen = body["LastSeen"].as_u64().unwrap_or(0);
        let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0).min(MAX_WAIT_MS));
        let until = Instant::now() + wait;
        let mut noted = Vec::new();
        let answer = self.if_current(body, |life| {
            noted.extend(life.ended.iter().filter(|end| end.0 <= last_seen).map(|end| end.4));
            life.ended.retain(|end| end.0 > last_seen);
            (200, json!({}))
        });
        if !noted.is_empty() {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            noted.into_iter().for_each(|run| runs[run].is_noted = !runs[run].has_lapsed);
        }
        if answer.0 != 200 {
            return answer;
        }
        loop {
            let life = self.lock();
            if life.generation != generation || !life.ended.is_empty() || Instant::now() >= until {
                return (200, life.lists());
            }
            drop(life);
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends the runs whose time has come, and all once the lease has expired.
    fn tick(&self) {
        let mut life = self.lock();
        if !life.is_up {
            return;
        }
        let now = Instant::now();
        let has_lapsed = life.clock_ms() > life.deadline_ms;
        if has_lapsed && !life.ended.is_empty() {
            let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            life.ended.iter().for_each(|end| runs[end.4].has_lapsed = true);
        }
        let due: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, active)| {
                let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
                let how = if is_due(active.ends_at) {
                    "done"
                } else if is_due(active.stops_at) {
                    "stopped"
                } else if has_lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            let Some(active) = life.running.remove(&task) else { continue };
            life.end_count += 1;
            let number = life.end_count;
            let closed = life.closed.entry(task.clone()).or_insert(0);
            *closed = active.attempt.max(*closed);
            self.close_run(active.run, how);
            self.note(format!("run of {task} attempt {} ends: {how}", active.attempt));
            life.ended.push((number, task, active.attempt, how, active.run));
        }
    }

    fn open_run(&self, task: &str, attempt: u64) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(Run {
            task: task.to_owned(),
            attempt,
            worker: self.settings.id.clone(),
            start_ms: self.record.elapsed_ms(),
            end_ms: None,
            how: "",
            has_lapsed: false,
            is_noted: false,
        });
        runs.len() - 1
    }

    fn close_run(&self, run: usize, how: &'static str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[run].end_ms = Some(self.record.elapsed_ms());
        runs[run].how = how;
    }

    fn beat(&self) {
        loop {
            self.send_heartbeat();
            let (life, mut generation) = (&self.life, self.lock().generation);
            let mut slept = Duration::ZERO;
            while slept < HEARTBEAT_INTERVAL {
                thread::sleep(BEAT_STEP);
                slept += BEAT_STEP;
                let current = life.lock().unwrap_or_else(PoisonError::into_inner).generation;
                // A new life counts its interval from its own first heartbeat.
                if current != generation {
                    (generation, slept) = (current, Duration::ZERO);
                }
            }
        }
    }

    fn send_heartbeat(&self) {
        let WorkerSettings { id, service, zone, rack, address, control, cpu_milli, memory_mb } =
            &self.settings;
        let body = {
            let mut life = self.lock();
            if !life.is_up {
                return;
            }
            life.seq += 1;
            json!({
                "Service": service, "Address": address.to_string(), "Zone": zone, "Version": "v1",
                "Slots": 8, "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": { "Cpu": cpu_milli, "MemMb": memory_mb, "Gpu": 0 },
                "Labels": ["a", rack], "ClockMs": life.clock_ms(), "Seq": life.seq,
                "born": life.born_ms,
            })
        };
        let target = format!("/instances/{id}/heartbeat");
        let timeout = Duration::from_secs(1);
        drop(call(*control, "POST", &target, &[], &body.to_string(), timeout));
    }
}

impl Life {
    fn new(generation: u64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born_ms: born.as_millis() as u64,
            started_at: Instant::now(),
            is_up: true,
            token: 0,
            deadline_ms: 0,
            seq: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            closed: HashMap::new(),
            generation,
        }
    }

    fn clock_ms(&self) -> u64 {
        1 + self.started_at.elapsed().as_millis() as u64
    }

    fn clock_body(&self) -> Value {
        json!({ "ClockMs": self.clock_ms() })
    }

    fn refuse(&self, reason: &str) -> (u16, Value) {
        (409, json!({ "ClockMs": self.clock_ms(), "Reason": reason }))
    }

    fn lists(&self) -> Value {
        let now = Instant::now();
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, active)| {
                let elapsed = now.duration_since(active.started_at);
                let (percent, gauge) = match active.run_time {
                    Some(run_time) => {
                        (100 * elapsed.as_millis() / run_time.as_millis().max(1), 100)
                    }
                    None => (if elapsed >= STARTUP { 100 } else { 0 }, 2),
                };
                json!([task, active.attempt, "", percent.min(100) as u64, gauge])
            })
            .collect();
        let ended = self.ended.iter().take(MAX_ENDS);
        let ended: Vec<Value> = ended
            .map(|(number, task, attempt, how, _)| json!([number, task, attempt, how, ""]))
            .collect();
        json!({ "ClockMs": self.clock_ms(), "born": self.born_ms, "Running": running,
            "Ended": ended })
    }
}

fn shown((status, body): &(u16, Value)) -> String {
    format!("{status} {}", body["Reason"].as_str().unwrap_or_default())
}
