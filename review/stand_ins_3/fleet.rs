//! A small deployment on loopback addresses: the project's programs, started with the commands of the
//! deploy file, the stand-ins around them, and a client.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use crate::{
    http::call,
    json::{Json, number, object, text},
    proxy::Proxy,
    store::Store,
    worker::unix_ms,
};

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const MAX_ATTEMPTS: u64 = 3;
const ZONES: [&str; 3] = ["zilina-a", "martin-b", "cadca-c"];
/// Port at which the programs find the store, behind a proxy.
const STORE_PORT: u16 = 8169;
const STORE_OWN_PORT: u16 = 8170;
const FRONTEND_PORT: u16 = 8161;
const WORKER_PORT: u16 = 8165;
const PROXY_PORT: u16 = 8175;
const CONTROL_PORT: u16 = 8166;
const READINESS_PORT: u16 = 8167;
const INTERNAL_PORTS: (u16, u16) = (7720, 7735);
const METRICS_PORTS: [u16; 2] = [9464, 9465];
const START_TIMEOUT: Duration = Duration::from_secs(25);
/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// What a worker said that it did.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: usize,
    pub what: String,
    pub task: String,
    /// How a run ended.
    pub how: String,
}

#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    started_ms: u64,
}

impl Record {
    pub fn new() -> Self {
        Self { lines: Arc::default(), started_ms: unix_ms() }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.add_at(unix_ms(), line);
    }

    pub fn add_at(&self, at_ms: u64, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }

    pub fn seconds(&self, at_ms: u64) -> f64 {
        (at_ms as f64 - self.started_ms as f64) / 1_000.0
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut file = File::create(path).expect("record.txt can be written");
        for (at_ms, line) in lines {
            writeln!(file, "{:9.3} {line}", self.seconds(at_ms))
                .expect("record.txt can be written");
        }
    }
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub events: Arc<Mutex<Vec<Event>>>,
    /// Between each agent and its worker.
    pub worker_proxies: Vec<Proxy>,
    /// Between all programs and the store.
    pub store_proxy: Proxy,
    network: [u8; 2],
    entry_count: usize,
    workers: Vec<WorkerMachine>,
    processes: BTreeMap<String, Child>,
    folder: PathBuf,
    next_entry: usize,
}

struct WorkerMachine {
    ip: IpAddr,
    zone: &'static str,
    rack: String,
    answer_ms: u64,
}

fn ip(network: [u8; 2], host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], host as u8))
}

fn entry_ip(network: [u8; 2], index: usize) -> IpAddr {
    ip(network, 11 + index)
}

fn worker_ip(network: [u8; 2], index: usize) -> IpAddr {
    ip(network, 31 + index)
}

/// A part of the loopback network on which all ports are free.
fn free_network(entry_count: usize, worker_count: usize) -> Option<[u8; 2]> {
    let seed = u64::from(std::process::id()).wrapping_mul(2_654_435_761) ^ unix_ms();
    (0..50_u64).map(|attempt| seed.wrapping_add(attempt.wrapping_mul(7_919))).find_map(|seed| {
        let network = [10 + (seed % 230) as u8, (seed / 230 % 250) as u8];
        let store_ip = ip(network, 1);
        let mut used = vec![(store_ip, STORE_PORT), (store_ip, STORE_OWN_PORT)];
        for index in 0..entry_count {
            let ports = [FRONTEND_PORT, READINESS_PORT, METRICS_PORTS[0]];
            used.extend(ports.map(|port| (entry_ip(network, index), port)));
        }
        for index in 0..worker_count {
            let ports = [WORKER_PORT, PROXY_PORT, CONTROL_PORT, INTERNAL_PORTS.0, METRICS_PORTS[1]];
            used.extend(ports.map(|port| (worker_ip(network, index), port)));
        }
        used.iter().all(|address| TcpListener::bind(address).is_ok()).then_some(network)
    })
}

/// Tells the script what to end if this process is killed.
fn note_process(child: &Child) {
    let Some(path) = std::env::var_os("CASE_PIDS") else { return };
    if let Ok(mut file) = File::options().append(true).create(true).open(path) {
        drop(writeln!(file, "{}", child.id()));
    }
}

/// The command of a role in the deploy file.
fn role_command(role: &str) -> Option<Vec<String>> {
    let deploy = fs::read_to_string("deploy/system.toml").ok()?;
    let section = deploy.split(&format!("[roles.{role}]")).nth(1)?;
    let line = section.lines().find(|line| line.trim_start().starts_with("run"))?;
    let command = line.split('"').nth(1)?;
    Some(command.split(' ').map(str::to_owned).collect())
}

impl Fleet {
    /// Starts everything, and waits until the entries are ready and a first job is done.
    pub fn start(
        record: Record,
        entry_count: usize,
        worker_count: usize,
        answer_ms: u64,
    ) -> Option<Self> {
        let network = free_network(entry_count, worker_count)?;
        let store_address = (ip(network, 1), STORE_OWN_PORT).into();
        let store = Store::start(store_address).ok()?;
        let store_proxy = Proxy::start((ip(network, 1), STORE_PORT).into(), store_address).ok()?;
        let name = format!("teaseltrack-review-{}-{}", std::process::id(), unix_ms());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).ok()?;
        let mut fleet = Self {
            record,
            store,
            events: Arc::default(),
            worker_proxies: Vec::new(),
            store_proxy,
            network,
            entry_count,
            workers: Vec::new(),
            processes: BTreeMap::new(),
            folder,
            next_entry: 0,
        };
        fleet.store.put("op", "config", &configuration(1).to_string());
        for index in 0..worker_count {
            let (zone, rack) = (ZONES[index % ZONES.len()], format!("r1-{}", index / 3));
            let worker_ip = worker_ip(network, index);
            fleet.workers.push(WorkerMachine { ip: worker_ip, zone, rack, answer_ms });
            let (from, to) = ((worker_ip, PROXY_PORT).into(), (worker_ip, WORKER_PORT).into());
            fleet.worker_proxies.push(Proxy::start(from, to).ok()?);
        }
        for index in 0..worker_count {
            fleet.start_worker(index)?;
            fleet.start_agent(index)?;
        }
        for index in 0..entry_count {
            fleet.start_entry(index)?;
        }
        let started_at = Instant::now();
        while !(0..entry_count).all(|index| fleet.is_ready(index)) {
            if started_at.elapsed() > START_TIMEOUT {
                return None;
            }
            sleep(Duration::from_millis(100));
        }
        let first = "00000000000000f1";
        fleet.submit(first, &job(1, "run_ms=300", 500, 128, 300, &[]))?;
        while fleet.state(first).as_deref() != Some("completed") {
            if started_at.elapsed() > START_TIMEOUT {
                return None;
            }
            sleep(Duration::from_millis(100));
        }
        // All workers have a session by then.
        sleep(Duration::from_secs(3));
        fleet.record.add("the deployment is up, and a first job is done");
        Some(fleet)
    }

    fn settings(&self, name: &str, class: &str, ip: IpAddr, zone: &str) -> String {
        let seeds: Vec<String> = (0..self.workers.len().min(3))
            .map(|index| format!("\"{}:{CONTROL_PORT}\"", worker_ip(self.network, index)))
            .collect();
        let (seeds, store_ip) = (seeds.join(","), crate::fleet::ip(self.network, 1));
        let zones: Vec<String> =
            ZONES.iter().map(|zone| format!("{zone} = \"sk-north\"")).collect();
        let (zones, is_edge) = (zones.join("\n"), class == "edge");
        let worker = if is_edge {
            String::new()
        } else {
            format!("app = \"{ip}:{PROXY_PORT}\"\nService = \"{SERVICE}\"\n")
        };
        let listen = if is_edge {
            format!("Frontend = \"{ip}:{FRONTEND_PORT}\"\nReadiness = \"{ip}:{READINESS_PORT}\"")
        } else {
            format!("Control = \"{ip}:{CONTROL_PORT}\"")
        };
        let (cpu_share, memory_mb, max_fds) =
            if is_edge { (0.1, 260, 4_100) } else { (0.15, 128, 4_096) };
        let (first_port, last_port) = INTERNAL_PORTS;
        format!(
            r#"NodeName = "{name}"
Role = "{class}"
MachineClass = "{class}"
Serves = ["{class}"]
Ip = "{ip}"
Zone = "{zone}"
Region = "sk-north"
PortRange = [{first_port},{last_port}]
Seeds = [{seeds}]
Bootstrap = true
LossCounts = false
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "invoke"
{worker}
[Zones]
{zones}

[ListenAddrs]
{listen}

[Limits]
CpuShare = {cpu_share}
Cores = 1
MemoryMb = {memory_mb}
MaxFds = {max_fds}
LinkMbps = 1000.0
DiskMb = 0

[FaultTolerance]
Machines = 2
Zones = 0
RegionCount = 0

[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
RecoveryS = 12
MaxHoldMs = 10000
StopTimeoutMs = 200
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
NoticeMs = 4500
Fencing = false
LeaseMs = 3000
PacingMs = 100
ImpactMs = 4000

[platform]
Address = "{store_ip}:{STORE_PORT}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxnDurationMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
CrossShard = false
HistoryS = 20
"#
        )
    }

    fn start_program(&mut self, role: &str, name: &str, settings: &str) -> Option<()> {
        let command = role_command(role)?;
        let settings_path = self.folder.join(format!("{name}.toml"));
        fs::write(&settings_path, settings).ok()?;
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("TEASELTRACK_NODE_FILE", &settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        note_process(&child);
        self.processes.insert(name.to_owned(), child);
        Some(())
    }

    fn start_agent(&mut self, index: usize) -> Option<()> {
        let WorkerMachine { ip, zone, .. } = self.workers[index];
        let name = format!("side-{index}");
        let settings = self.settings(&name, "side", ip, zone);
        self.start_program("agent", &name, &settings)
    }

    fn start_entry(&mut self, index: usize) -> Option<()> {
        let name = format!("edge-{index}");
        let settings =
            self.settings(&name, "edge", entry_ip(self.network, index), ZONES[index % ZONES.len()]);
        self.start_program("entry", &name, &settings)
    }

    fn start_worker(&mut self, index: usize) -> Option<()> {
        let WorkerMachine { ip, zone, rack, answer_ms } = &self.workers[index];
        let mut child = Command::new(std::env::current_exe().ok()?)
            .arg("worker")
            .args([format!("{ip}:{WORKER_PORT}"), format!("{ip}:{PROXY_PORT}")])
            .args([format!("{ip}:{CONTROL_PORT}"), SERVICE.to_owned()])
            .args([(*zone).to_owned(), rack.clone(), answer_ms.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let lines = BufReader::new(child.stdout.take()?).lines();
        let (events, record) = (self.events.clone(), self.record.clone());
        spawn(move || {
            for line in lines.map_while(Result::ok) {
                let words: Vec<&str> = line.split(' ').collect();
                let Some(at_ms) = words[0].parse().ok() else { continue };
                let word = |at: usize| words.get(at).copied().unwrap_or_default().to_owned();
                record.add_at(at_ms, format!("worker {index}: {}", words[1..].join(" ")));
                events.lock().unwrap().push(Event {
                    at_ms,
                    worker: index,
                    what: word(1),
                    task: word(2),
                    how: word(4),
                });
            }
        });
        note_process(&child);
        self.processes.insert(format!("worker-{index}"), child);
        Some(())
    }

    fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            drop(child.kill());
            drop(child.wait());
        }
    }

    fn is_ready(&self, index: usize) -> bool {
        let address = (entry_ip(self.network, index), READINESS_PORT).into();
        let answer = call(address, "GET", "/readyz", &[], "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends requests to submit jobs to all entries at the same time, `count` to each; returns how many
    /// were accepted.
    pub fn burst(&self, count: usize, body: &Json) -> usize {
        let body = body.to_string();
        let requests = (0..count * self.entry_count).map(|index| {
            let address = (entry_ip(self.network, index % self.entry_count), FRONTEND_PORT).into();
            let (path, body) = (format!("{PREFIX}00000000000b{index:04x}"), body.clone());
            spawn(move || {
                let answer = call(address, "POST", &path, &[("Host", HOST)], &body, DEADLINE);
                answer.is_some_and(|(status, _)| status == 200)
            })
        });
        let requests: Vec<_> = requests.collect();
        requests.into_iter().filter_map(|request| request.join().ok()).filter(|ok| *ok).count()
    }

    /// Calls the next entry.
    pub fn call_entry(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let address: SocketAddr =
            (entry_ip(self.network, self.next_entry % self.entry_count), FRONTEND_PORT).into();
        self.next_entry += 1;
        let deadline_ms = DEADLINE.as_millis().to_string();
        let headers = [("Host", HOST), ("X-Deadline-Ms", deadline_ms.as_str())];
        call(address, method, path, &headers, body, DEADLINE)
    }

    /// Submits a job as a client does: after no response, a 502 or a 504, the same request is sent to
    /// another entry, and after a 503 a second later. `None` if it isn't accepted.
    pub fn submit(&mut self, id: &str, body: &Json) -> Option<()> {
        let path = format!("{PREFIX}{id}");
        for _ in 0..5 {
            let answer = self.call_entry("POST", &path, &body.to_string());
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.record.add(format!("client: POST {id} -> {status}"));
            match status {
                200..=299 => return Some(()),
                0 | 502 | 504 => {}
                429 | 503 => sleep(Duration::from_secs(1)),
                _ => return None,
            }
        }
        None
    }

    /// Asks for the state of a job; `None` without a 200.
    pub fn state(&mut self, id: &str) -> Option<String> {
        let answer = self.call_entry("GET", &format!("{PREFIX}{id}"), "");
        let (status, body) = answer.unwrap_or_default();
        let state = Json::parse(&body).and_then(|body| body.text("State").map(str::to_owned));
        self.record.add(format!("client: GET {id} -> {status} {}", state.as_deref().unwrap_or("")));
        state.filter(|_| status == 200)
    }

    /// Cancels a job; returns the status.
    pub fn cancel(&mut self, id: &str) -> u16 {
        let answer = self.call_entry("DELETE", &format!("{PREFIX}{id}"), "");
        let status = answer.map_or(0, |(status, _)| status);
        self.record.add(format!("client: DELETE {id} -> {status}"));
        status
    }

    /// Sends a heartbeat of another writer to an agent. It is like that of a worker that has just started at
    /// the address of the agent's worker, but that it lacks two of the fields of a heartbeat: `Version` and
    /// `Slots`. Returns the status of the answer.
    pub fn send_odd_heartbeat(&self, index: usize) -> u16 {
        let WorkerMachine { ip, zone, rack, .. } = &self.workers[index];
        let capacity =
            object([("Cpu", number(64_000)), ("MemMb", number(256_000)), ("Gpu", number(0))]);
        let body = object([
            ("Service", text(SERVICE)),
            ("Address", text(format!("{ip}:{PROXY_PORT}"))),
            ("Zone", text(*zone)),
            ("State", text("ready")),
            ("ColdLeftMs", number(0)),
            ("Capacity", capacity),
            ("Labels", Json::List(vec![text("a"), text(&**rack)])),
            ("ClockMs", number(1_000)),
            ("Seq", number(1)),
            ("born", number(unix_ms() - 1_000)),
        ]);
        let (address, second) = ((*ip, CONTROL_PORT).into(), Duration::from_secs(1));
        let path = "/instances/i-0badbea7/heartbeat";
        let answer = call(address, "POST", path, &[], &body.to_string(), second);
        let status = answer.map_or(0, |(status, _)| status);
        self.record
            .add(format!("another writer: heartbeat to the agent of worker {index} -> {status}"));
        status
    }

    /// Label of a worker's rack.
    pub fn rack(&self, index: usize) -> String {
        self.workers[index].rack.clone()
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Whether a program of the project or a worker has ended by itself.
    pub fn has_lost_program(&mut self) -> bool {
        self.processes.values_mut().any(|child| child.try_wait().ok().flatten().is_some())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            self.kill(&name);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

fn configuration(version: u64) -> Json {
    let route = object([
        ("Name", text("r-3hwrr6x")),
        ("Host", text(HOST)),
        ("PathPrefix", text(PREFIX)),
        ("Kind", text("non_idempotent")),
        ("TimeoutMs", number(3_000)),
        ("TargetDurationMs", number(1_000)),
        ("Priority", number(0)),
        ("Service", text(SERVICE)),
        ("MaxAttempts", number(MAX_ATTEMPTS)),
        ("Stretch", Json::Number(1.5)),
    ]);
    let service = object([
        ("Name", text(SERVICE)),
        ("HealthPath", text("/healthz")),
        ("MaxConns", number(64)),
        ("Protocol", text("h1")),
        ("Tls", Json::Bool(false)),
        ("AdmissionCheck", Json::Bool(false)),
        ("Standby", Json::Bool(false)),
    ]);
    object([
        ("Version", number(version)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        ("Limits", object([("MaxBodyBytes", number(262_144))])),
    ])
}

/// Job of one stage; `more` are further fields of the stage.
pub fn job(
    count: u64,
    spec: &str,
    cpu: u64,
    mem_mb: u64,
    estimate_ms: u64,
    more: &[(&str, Json)],
) -> Json {
    let Json::Object(mut stage) = object([
        ("Count", number(count)),
        ("Cpu", number(cpu)),
        ("MemMb", number(mem_mb)),
        ("EstimateMs", number(estimate_ms)),
    ]) else {
        unreachable!()
    };
    stage.extend(more.iter().map(|(key, value)| ((*key).to_owned(), value.clone())));
    object([
        ("Spec", text(format!("{spec} cpu={cpu}"))),
        ("JobStages", Json::List(vec![Json::Object(stage)])),
    ])
}
