//! Stand-in of the workers. They behave as sound workers, unless a scenario makes one fail all that it
//! starts, or crash.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Reply, Request, Server, call},
    json::{Json, quote},
};

const TICK: Duration = Duration::from_millis(5);
const STOP_TIME: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_100);
const MAX_HOLD_MS: u64 = 10_000;
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const MAX_LISTED_ENDS: usize = 500;

/// What a worker saw.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: usize,
    /// `start`, `refused`, `end`, `noted`, `lost`, `crash` or `up`.
    pub kind: &'static str,
    pub task: String,
    pub attempt: u64,
    /// How a run ended, why a start was refused, or the checkpoint that a start carried.
    pub detail: String,
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    attempt: u64,
    work: Duration,
    gang_size: usize,
    /// Whether the task lasts: it is at work after `work`, and never ends by itself.
    lasts: bool,
    /// Last field of the run's row: its tail latency, or the CPU that it uses.
    gauge: u64,
    started_at: Instant,
    /// Start of the work: for a member of a gang, the moment at which all members were present.
    working_since: Option<Instant>,
    stop_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

struct Worker {
    address: SocketAddr,
    agent: SocketAddr,
    rack: String,
    is_up: bool,
    is_failing: bool,
    /// Number of the life, to end the threads of earlier ones.
    life: u64,
    id: String,
    born_ms: u64,
    born_at: Instant,
    token: u64,
    deadline_ms: u64,
    sequence: u64,
    runs: Vec<Run>,
    ended: Vec<End>,
    next_end: u64,
    last_seen: u64,
    closed_attempts: HashMap<String, u64>,
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.born_at.elapsed().as_millis() as u64 + 1
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let limit_ms = self.clock_ms() + MAX_HOLD_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.unwrap_or(0).min(limit_ms));
    }
}

struct State {
    workers: Vec<Worker>,
    servers: Vec<Option<Server>>,
    events: Vec<Event>,
    is_closing: bool,
}

pub struct Workers {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    service: String,
    zone: String,
    cpu_milli: u64,
    memory_mb: u64,
}

impl Workers {
    pub fn new(service: &str, zone: &str, cpu_milli: u64, memory_mb: u64) -> Arc<Workers> {
        let state = State {
            workers: Vec::new(),
            servers: Vec::new(),
            events: Vec::new(),
            is_closing: false,
        };
        let workers = Arc::new(Workers {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started_at: Instant::now(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            cpu_milli,
            memory_mb,
        });
        let ticking = workers.clone();
        thread::spawn(move || {
            while ticking.tick() {
                thread::sleep(TICK);
            }
        });
        workers
    }

    /// Adds a worker that is down; `agent` is where it sends heartbeats.
    pub fn add(&self, address: SocketAddr, agent: SocketAddr, rack: &str) -> usize {
        let mut state = self.state.lock().unwrap();
        state.workers.push(Worker {
            address,
            agent,
            rack: rack.to_owned(),
            is_up: false,
            is_failing: false,
            life: 0,
            id: String::new(),
            born_ms: 0,
            born_at: Instant::now(),
            token: 0,
            deadline_ms: 0,
            sequence: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            last_seen: 0,
            closed_attempts: HashMap::new(),
        });
        state.servers.push(None);
        state.workers.len() - 1
    }

    /// Starts a new life of a worker, under a new id.
    pub fn start(self: &Arc<Self>, index: usize) {
        let serving = self.clone();
        let address = self.state.lock().unwrap().workers[index].address;
        let server = Server::start(address, move |request| serving.respond(index, &request))
            .expect("the worker's address is free");
        let mut state = self.state.lock().unwrap();
        state.servers[index] = Some(server);
        let worker = &mut state.workers[index];
        worker.life += 1;
        worker.id = format!("i-{index:02}{:04}", worker.life);
        worker.is_up = true;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        worker.born_ms = unix.as_millis() as u64;
        worker.born_at = Instant::now();
        worker.token = 0;
        worker.deadline_ms = 0;
        worker.sequence = 0;
        worker.next_end = 1;
        worker.last_seen = 0;
        worker.closed_attempts.clear();
        let life = worker.life;
        self.note(&mut state, index, "up", "", 0, "");
        drop(state);
        let beating = self.clone();
        thread::spawn(move || {
            while beating.heartbeat(index, life) {
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Ends a life without a word: everything that runs there is lost.
    pub fn crash(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        let server = state.servers[index].take();
        state.workers[index].is_up = false;
        state.workers[index].ended.clear();
        let lost: Vec<Run> = state.workers[index].runs.drain(..).collect();
        self.note(&mut state, index, "crash", "", 0, "");
        for run in lost {
            self.note(&mut state, index, "lost", &run.task, run.attempt, "worker crashed");
        }
        drop(state);
        self.changed.notify_all();
        if let Some(mut server) = server {
            server.close();
        }
    }

    /// Makes a worker fail all that it starts, or ends that.
    pub fn set_failing(&self, index: usize, is_failing: bool) {
        self.state.lock().unwrap().workers[index].is_failing = is_failing;
    }

    pub fn close(&self) {
        let count = self.state.lock().unwrap().workers.len();
        for index in 0..count {
            self.crash(index);
        }
        self.state.lock().unwrap().is_closing = true;
    }

    pub fn events(&self) -> Vec<Event> {
        self.state.lock().unwrap().events.clone()
    }

    /// Number of runs on each worker.
    pub fn run_counts(&self) -> Vec<usize> {
        self.state.lock().unwrap().workers.iter().map(|worker| worker.runs.len()).collect()
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn note(
        &self,
        state: &mut State,
        worker: usize,
        kind: &'static str,
        task: &str,
        attempt: u64,
        detail: &str,
    ) {
        let (task, detail) = (task.to_owned(), detail.to_owned());
        state.events.push(Event { at_ms: self.now_ms(), worker, kind, task, attempt, detail });
    }

    fn heartbeat(&self, index: usize, life: u64) -> bool {
        let (agent, path, body) = {
            let mut state = self.state.lock().unwrap();
            let worker = &mut state.workers[index];
            if worker.life != life || !worker.is_up {
                return false;
            }
            worker.sequence += 1;
            let body = format!(
                "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\
                 \"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":0}},\
                 \"Labels\":[\"a\",{}],\"ClockMs\":{},\"Seq\":{},\"born\":{}}}",
                quote(&self.service),
                worker.address,
                quote(&self.zone),
                self.cpu_milli,
                self.memory_mb,
                quote(&worker.rack),
                worker.clock_ms(),
                worker.sequence,
                worker.born_ms
            );
            (worker.agent, format!("/instances/{}/heartbeat", worker.id), body)
        };
        // An unanswered heartbeat is repeated after a short wait.
        for _ in 0..20 {
            let answer = call(agent, "POST", &path, &[], &body, Duration::from_secs(1));
            if answer.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    fn tick(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_closing {
            return false;
        }
        let now = Instant::now();
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for run in state.workers.iter().flat_map(|worker| &worker.runs) {
            *present.entry((step_of(&run.task), run.attempt)).or_insert(0) += 1;
        }
        let mut ends: Vec<(usize, String, u64, &'static str)> = Vec::new();
        let mut complete_gangs = Vec::new();
        for (index, worker) in state.workers.iter_mut().enumerate() {
            let has_lapsed = worker.clock_ms() > worker.deadline_ms;
            for run in &mut worker.runs {
                let is_gang = run.gang_size > 1;
                let key = (step_of(&run.task), run.attempt);
                if run.working_since.is_none() && present[&key] >= run.gang_size {
                    run.working_since = Some(now);
                }
                let works =
                    !run.lasts && run.working_since.is_some_and(|since| now >= since + run.work);
                let how = if run.stop_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if has_lapsed {
                    "lapsed"
                } else if worker.is_failing && run.working_since.is_some() {
                    "failed"
                } else if works {
                    "done"
                } else if run.working_since.is_none() && now >= run.started_at + GANG_TIMEOUT {
                    "alone"
                } else {
                    continue;
                };
                if is_gang && run.working_since.is_some() {
                    complete_gangs.push(key);
                }
                ends.push((index, run.task.clone(), run.attempt, how));
            }
        }
        // The end of a member breaks the others.
        for (index, worker) in state.workers.iter().enumerate() {
            for run in &worker.runs {
                let key = (step_of(&run.task), run.attempt);
                let is_ending = ends.iter().any(|(_, task, attempt, _)| {
                    (task.as_str(), *attempt) == (run.task.as_str(), run.attempt)
                });
                if run.gang_size > 1 && !is_ending && complete_gangs.contains(&key) {
                    ends.push((index, run.task.clone(), run.attempt, "broken"));
                }
            }
        }
        let has_ends = !ends.is_empty();
        for (index, task, attempt, how) in ends {
            let worker = &mut state.workers[index];
            worker.runs.retain(|run| (&run.task, run.attempt) != (&task, attempt));
            let number = worker.next_end;
            worker.next_end += 1;
            worker.ended.push(End { number, task: task.clone(), attempt, how });
            let closed = worker.closed_attempts.entry(task.clone()).or_insert(0);
            *closed = (*closed).max(attempt);
            self.note(&mut state, index, "end", &task, attempt, how);
        }
        if has_ends {
            self.changed.notify_all();
        }
        true
    }

    fn respond(&self, index: usize, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Respond(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let worker = &mut state.workers[index];
        let life = worker.life;
        if !worker.is_up {
            return Reply::Drop;
        }
        if request.header("X-Expected-Instance").is_some_and(|id| id != worker.id) {
            return Reply::Respond(421, format!("{{\"ClockMs\":{}}}", worker.clock_ms()));
        }
        let refuse = |worker: &Worker, reason: &str| {
            let (clock_ms, born_ms) = (worker.clock_ms(), worker.born_ms);
            let text =
                format!("{{\"ClockMs\":{clock_ms},\"Reason\":\"{reason}\",\"born\":{born_ms}}}");
            Reply::Respond(409, text)
        };
        let token = body.number("FencingToken").unwrap_or(0);
        if token < worker.token {
            return refuse(worker, "fence");
        }
        worker.token = token;
        let (task, attempt) = (body.text("Task"), body.number("Attempt").unwrap_or(0));
        match request.path() {
            "/run-start" => {
                let is_there =
                    worker.runs.iter().any(|run| run.task == task && run.attempt == attempt);
                if !is_there {
                    let closed = worker.closed_attempts.get(&task).copied().unwrap_or(0);
                    let deadline_ms = body.number("DeadlineMs");
                    let reason = if attempt <= closed {
                        worker.extend(deadline_ms);
                        "old"
                    } else if deadline_ms.unwrap_or(0) < worker.clock_ms() {
                        "late"
                    } else {
                        ""
                    };
                    if !reason.is_empty() {
                        let reply = refuse(worker, reason);
                        self.note(&mut state, index, "refused", &task, attempt, reason);
                        return reply;
                    }
                    worker.extend(deadline_ms);
                    let spec = body.text("Spec");
                    let step = task.split('.').nth(2).unwrap_or_default().to_owned();
                    let work_ms = spec_number(&spec, &format!("work{step}")).unwrap_or(1_000);
                    let gang_size = spec_number(&spec, &format!("gang{step}")).unwrap_or(1);
                    worker.runs.push(Run {
                        task: task.clone(),
                        attempt,
                        work: Duration::from_millis(work_ms),
                        gang_size: gang_size as usize,
                        lasts: spec_number(&spec, &format!("lasts{step}")).is_some(),
                        gauge: spec_number(&spec, &format!("gauge{step}")).unwrap_or(100),
                        started_at: Instant::now(),
                        working_since: None,
                        stop_at: None,
                    });
                    let checkpoint = body.text("Checkpoint");
                    self.note(&mut state, index, "start", &task, attempt, &checkpoint);
                }
            }
            "/run-stop" => {
                let run =
                    worker.runs.iter_mut().find(|run| (&run.task, run.attempt) == (&task, attempt));
                match run {
                    Some(run) => {
                        run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    None => {
                        let closed = worker.closed_attempts.entry(task).or_insert(0);
                        *closed = (*closed).max(attempt);
                    }
                }
            }
            "/pace" => {}
            "/hold" => {
                worker.extend(body.number("DeadlineMs"));
                let last_seen = body.number("LastSeen").unwrap_or(0);
                if last_seen > worker.last_seen {
                    worker.last_seen = last_seen;
                    let noted: Vec<End> = worker
                        .ended
                        .iter()
                        .filter(|end| end.number <= last_seen)
                        .cloned()
                        .collect();
                    worker.ended.retain(|end| end.number > last_seen);
                    for end in noted {
                        self.note(&mut state, index, "noted", &end.task, end.attempt, end.how);
                    }
                }
                let wait_ms = body.number("WaitMs").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let worker = &state.workers[index];
                    if worker.life != life || !worker.is_up {
                        return Reply::Drop;
                    }
                    let remaining = until.saturating_duration_since(Instant::now());
                    if !worker.ended.is_empty() || remaining.is_zero() {
                        return Reply::Respond(200, listing(worker));
                    }
                    state = self.changed.wait_timeout(state, remaining).unwrap().0;
                }
            }
            _ => return Reply::Respond(400, format!("{{\"ClockMs\":{}}}", worker.clock_ms())),
        }
        let worker = &state.workers[index];
        let text = format!("{{\"ClockMs\":{},\"born\":{}}}", worker.clock_ms(), worker.born_ms);
        Reply::Respond(200, text)
    }
}

fn listing(worker: &Worker) -> String {
    let now = Instant::now();
    let running: Vec<String> = worker
        .runs
        .iter()
        .map(|run| {
            let worked = run.working_since.map_or(Duration::ZERO, |since| now - since);
            let percent = (100 * worked.as_millis() / run.work.as_millis().max(1)).min(100);
            format!("[{},{},\"\",{percent},{}]", quote(&run.task), run.attempt, run.gauge)
        })
        .collect();
    let ended: Vec<String> = worker
        .ended
        .iter()
        .take(MAX_LISTED_ENDS)
        .map(|end| {
            format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.attempt, end.how)
        })
        .collect();
    format!(
        "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
        worker.clock_ms(),
        worker.born_ms,
        running.join(","),
        ended.join(",")
    )
}

/// ID.K.STEP of a task.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or_else(String::new, |(step, _)| step.to_owned())
}

/// Value of `name=value` in a payload.
fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let mut pairs = spec.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
