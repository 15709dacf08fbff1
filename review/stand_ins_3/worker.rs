//! Stand-in of a worker: a process of its own, so that a crash is a SIGKILL. It does what the users' pages
//! say of a sound worker. Each life has a new identifier, a clock of its own and knows nothing of before.
//!
//! A job's `Spec` tells how long its tasks run, `run_ms=N` or `lasts`, and after a space what CPU they use, `cpu=N`.
//! What starts and ends is printed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, Response, call, listen, serve},
    json::{Json, number, object, text},
};

const MAX_LISTED_ENDS: usize = 500;
const MAX_WAIT_MS: u64 = 2_000;
const TICK: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Options {
    pub listen: SocketAddr,
    /// Address at which the agent calls the worker.
    pub address: SocketAddr,
    /// Where heartbeats go.
    pub control: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub heartbeat: Duration,
    pub max_hold_ms: u64,
    pub stop: Duration,
    /// Time of an answer to a start, a stop or a pace.
    pub answer: Duration,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    attempt: u64,
    started_at: Instant,
    /// `None` for a task that lasts.
    duration: Option<Duration>,
    stop_at: Option<Instant>,
    percent: u64,
    cpu: u64,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    /// Highest attempt of a task that was stopped or ended.
    barred: BTreeMap<String, u64>,
}

struct Worker {
    options: Options,
    id: String,
    born_ms: u64,
    started_at: Instant,
    state: Mutex<State>,
    has_ended: Condvar,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn run(options: Options) {
    let born_ms = unix_ms();
    let id = format!("i-{:08x}", (born_ms ^ u64::from(std::process::id()) << 20) as u32);
    let listener = listen(options.listen).expect("the worker's address is free");
    let worker = Arc::new(Worker {
        options,
        id,
        born_ms,
        started_at: Instant::now(),
        state: Mutex::default(),
        has_ended: Condvar::new(),
    });
    println!("{born_ms} up {}", worker.id);
    let served = worker.clone();
    serve(listener, move |request| served.handle(request));
    let beating = worker.clone();
    spawn(move || beating.send_heartbeats());
    loop {
        worker.tick();
        sleep(TICK);
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        1 + self.started_at.elapsed().as_millis() as u64
    }

    fn send_heartbeats(&self) {
        let options = &self.options;
        for seq in 1.. {
            let capacity = object([
                ("Cpu", number(options.cpu)),
                ("MemMb", number(options.mem_mb)),
                ("Gpu", number(0)),
            ]);
            let body = object([
                ("Service", text(&*options.service)),
                ("Address", text(options.address.to_string())),
                ("Zone", text(&*options.zone)),
                ("Version", text("v1")),
                ("Slots", number(8)),
                ("State", text("ready")),
                ("ColdLeftMs", number(0)),
                ("Capacity", capacity),
                ("Labels", Json::List(vec![text("a"), text(&*options.rack)])),
                ("ClockMs", number(self.clock_ms())),
                ("Seq", number(seq)),
                ("born", number(self.born_ms)),
            ]);
            let path = format!("/instances/{}/heartbeat", self.id);
            let second = Duration::from_secs(1);
            let answer = call(options.control, "POST", &path, &[], &body.to_string(), second);
            // An agent that isn't up yet is called again soon.
            let is_acknowledged = answer.is_some_and(|(status, _)| status / 100 == 2);
            sleep(if is_acknowledged { options.heartbeat } else { options.heartbeat / 5 });
        }
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let (now, clock_ms) = (Instant::now(), self.clock_ms());
        let has_lapsed = state.lease_until_ms <= clock_ms;
        let mut ends = Vec::new();
        for (task, run) in &state.running {
            let is_done = run.duration.is_some_and(|duration| now >= run.started_at + duration);
            let how = if has_lapsed {
                "lapsed"
            } else if is_done {
                "done"
            } else if run.stop_at.is_some_and(|stop_at| now >= stop_at) {
                "stopped"
            } else {
                continue;
            };
            ends.push((task.clone(), run.attempt, how));
        }
        for (task, attempt, how) in ends {
            state.running.remove(&task);
            let barred = state.barred.entry(task.clone()).or_default();
            *barred = attempt.max(*barred);
            state.end_count += 1;
            let end_number = state.end_count;
            println!("{} end {task} {attempt} {how} {end_number}", unix_ms());
            state.ended.push((end_number, task, attempt, how));
            self.has_ended.notify_all();
        }
    }

    fn body(&self, members: &[(&str, Json)]) -> String {
        let own = [("ClockMs", number(self.clock_ms())), ("born", number(self.born_ms))];
        let members = own.iter().chain(members);
        let members = members.map(|(key, value)| ((*key).to_owned(), value.clone()));
        Json::Object(members.collect()).to_string()
    }

    fn refuse(&self, reason: &str) -> Response {
        (409, self.body(&[("Reason", text(reason))]))
    }

    fn handle(&self, request: &Request) -> Response {
        if request.method == "GET" {
            return (200, "{}".to_owned());
        }
        if request.header("X-Expected-Instance").is_some_and(|id| id != self.id) {
            return (421, self.body(&[]));
        }
        let Some(body) = Json::parse(&request.body) else { return (400, self.body(&[])) };
        if request.path != "/hold" {
            sleep(self.options.answer);
        }
        let mut state = self.state.lock().unwrap();
        let token = body.number("FencingToken").unwrap_or(0);
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        let clock_ms = self.clock_ms();
        if let Some(deadline_ms) = body.number("DeadlineMs") {
            let longest_ms = clock_ms + self.options.max_hold_ms;
            state.lease_until_ms = state.lease_until_ms.max(deadline_ms.min(longest_ms));
        }
        let task = body.text("Task").unwrap_or_default().to_owned();
        let attempt = body.number("Attempt").unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                if state.running.get(&task).is_some_and(|run| run.attempt == attempt) {
                    return (200, self.body(&[]));
                }
                if state.barred.get(&task).is_some_and(|barred| attempt <= *barred) {
                    return self.refuse("old");
                }
                if state.lease_until_ms <= clock_ms {
                    return self.refuse("late");
                }
                let spec = body.text("Spec").unwrap_or_default();
                let value = |name: &str| {
                    spec.split(' ').find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
                };
                let run = Run {
                    attempt,
                    started_at: Instant::now(),
                    duration: value("run_ms=").map(Duration::from_millis),
                    cpu: value("cpu=").unwrap_or(0),
                    stop_at: None,
                    percent: 100,
                };
                println!("{} start {task} {attempt}", unix_ms());
                state.running.insert(task, run);
                (200, self.body(&[]))
            }
            "/run-stop" => {
                let barred = state.barred.entry(task.clone()).or_default();
                *barred = attempt.max(*barred);
                let stop_at = Instant::now() + self.options.stop;
                if let Some(run) = state.running.get_mut(&task).filter(|run| run.attempt == attempt)
                {
                    run.stop_at.get_or_insert(stop_at);
                }
                (200, self.body(&[]))
            }
            "/pace" => {
                let percent = body.number("Percent").unwrap_or(100);
                if let Some(run) = state.running.get_mut(&task).filter(|run| run.attempt == attempt)
                {
                    run.percent = percent;
                }
                (200, self.body(&[]))
            }
            "/hold" => {
                let last_seen = body.number("LastSeen").unwrap_or(0);
                state.ended.retain(|(end_number, ..)| *end_number > last_seen);
                let wait_ms = body.number("WaitMs").unwrap_or(0).min(MAX_WAIT_MS);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                while state.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.has_ended.wait_timeout(state, left).unwrap().0;
                }
                let listing = listing(&state);
                drop(state);
                (200, self.body(&listing))
            }
            _ => (404, self.body(&[])),
        }
    }
}

fn listing(state: &State) -> [(&'static str, Json); 2] {
    let now = Instant::now();
    let running = state.running.iter().map(|(task, run)| {
        let percent = run.duration.map_or(100, |duration| {
            let worked = now.duration_since(run.started_at).as_millis() as u64;
            (worked * 100 / (duration.as_millis() as u64).max(1)).min(99)
        });
        let row =
            [text(task.clone()), number(run.attempt), text(""), number(percent), number(run.cpu)];
        Json::List(row.into())
    });
    let ended = state.ended.iter().take(MAX_LISTED_ENDS).map(|(end_number, task, attempt, how)| {
        let row = [number(*end_number), text(task.clone()), number(*attempt), text(*how), text("")];
        Json::List(row.into())
    });
    [("Running", Json::List(running.collect())), ("Ended", Json::List(ended.collect()))]
}
