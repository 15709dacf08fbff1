//! A small deployment on loopback addresses: the store, workers, and the project's programs as
//! processes started with the commands of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::call,
    record::Record,
    store::{ROW_BYTES, Store},
    worker::{MAX_HOLD_MS, Run, Runs, STOP_TIMEOUT_MS, Worker, WorkerSettings},
};

const SERVICE: &str = "huvo11a";
const HOST: &str = "nony24.example";
const ZONES: [&str; 4] = ["sofia-a", "plovdiv-b", "varna-c", "ruse-d"];
/// Bounds of the deployment that the checks use.
pub const CANCEL_MS: u64 = 3_000;
pub const FINISH: Duration = Duration::from_secs(14);
/// Timeout of clients' requests.
const DEADLINE_MS: u64 = 3_000;
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const CLIENT_RETRIES: usize = 4;

/// Queues of the deployment, with their path prefixes.
pub const CHECKS: &str = "/lohu930/";
pub const WATCHES: &str = "/pule252/";

/// Memory limit of `side` machines, and how often processes are measured against it.
const SIDE_MEMORY_KIB: u64 = 128 * 1_024;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Process of the project.
struct Process {
    name: String,
    command: Command,
    child: Child,
}

/// Processes of the project that were started.
static PROCESSES: Mutex<Vec<Process>> = Mutex::new(Vec::new());

/// Ends the processes that were started.
pub fn end_processes() {
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for mut process in processes.drain(..) {
        drop(process.child.kill());
        drop(process.child.wait());
    }
}

/// Kills agents that exceed the memory of their machines, as the platform does, and starts them again;
/// returns once `is_over` does. Counts the kills.
pub fn enforce_memory(record: &Record, kill_count: &AtomicUsize, is_over: impl Fn() -> bool) {
    while !is_over() {
        thread::sleep(MEMORY_CHECK_INTERVAL);
        let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
        for process in processes.iter_mut().filter(|process| process.name.starts_with("side")) {
            let resident_kib = resident_kib(process.child.id()).unwrap_or(0);
            if resident_kib <= SIDE_MEMORY_KIB {
                continue;
            }
            let name = &process.name;
            record.note("platform", format!("{name} has {resident_kib} KiB and is killed"));
            kill_count.fetch_add(1, Ordering::Relaxed);
            drop(process.child.kill());
            drop(process.child.wait());
            thread::sleep(RESTART_DELAY);
            match process.command.spawn() {
                Ok(child) => process.child = child,
                Err(error) => record.note("platform", format!("{name}: {error}")),
            }
        }
    }
}

/// Ends the process of a machine that is lost for good.
pub fn lose_process(name: &str) {
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for process in processes.iter_mut().filter(|process| process.name == name) {
        drop(process.child.kill());
        drop(process.child.wait());
    }
}

/// Highest resident memory of an agent, in KiB.
pub fn largest_agent_kib() -> u64 {
    let processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    let agents = processes.iter().filter(|process| process.name.starts_with("side"));
    agents.filter_map(|process| resident_kib(process.child.id())).max().unwrap_or(0)
}

fn resident_kib(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The deployment.
pub struct Deployment {
    pub record: Record,
    pub runs: Runs,
    pub workers: Vec<Worker>,
    pub store: Store,
    entries: Vec<SocketAddr>,
    next_entry: Arc<AtomicUsize>,
    folder: PathBuf,
}

/// Reason why a case could not run.
pub type Failure = String;

impl Deployment {
    /// Starts `entry_count` entries and `worker_count` workers with their agents, and waits until the
    /// entries are ready and a first job is done.
    pub fn start(
        root: &Path,
        record: Record,
        entry_count: usize,
        worker_count: usize,
        cpu_milli: u64,
    ) -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (network, port) = free_addresses(entry_count + worker_count)?;
        let ip = |machine: usize| {
            let [a, b, c, _] = network.octets();
            Ipv4Addr::new(a, b, c, 2 + machine as u8)
        };
        let store_address = SocketAddr::new(IpAddr::V4(ip(200)), port);
        let store = Store::start(store_address, record.clone()).map_err(|e| e.to_string())?;
        store.put("op", "config", &configuration());
        let mut deployment = Self {
            record: record.clone(),
            runs: Runs::default(),
            workers: Vec::new(),
            store,
            entries: Vec::new(),
            next_entry: Arc::default(),
            folder,
        };
        for number in 0..entry_count + worker_count {
            let machine = Machine {
                name: if number < entry_count {
                    format!("edge-{number}")
                } else {
                    format!("side-{}", number - entry_count)
                },
                zone: ZONES[number % ZONES.len()],
                ip: ip(number),
                port,
                store: store_address,
            };
            let role = if number < entry_count { "entry" } else { "agent" };
            deployment.start_process(root, role, &machine)?;
            if role == "entry" {
                deployment.entries.push(machine.address(FRONTEND_OFFSET));
                continue;
            }
            let worker_number = number - entry_count;
            let settings = WorkerSettings {
                id: format!("i-7f3a91{worker_number:02}"),
                service: SERVICE.to_owned(),
                zone: machine.zone.to_owned(),
                rack: format!("r1-{}", worker_number / 3),
                address: machine.address(APP_OFFSET),
                control: machine.address(CONTROL_OFFSET),
                cpu_milli,
                memory_mb: 64_000,
            };
            let runs = deployment.runs.clone();
            let worker =
                Worker::start(settings, runs, record.clone()).map_err(|e| e.to_string())?;
            deployment.workers.push(worker);
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn start_process(&self, root: &Path, role: &str, machine: &Machine) -> Result<(), Failure> {
        let settings = self.folder.join(format!("{}.toml", machine.name));
        fs::write(&settings, machine.settings(role)).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("{}.log", machine.name)))
            .map_err(|error| error.to_string())?;
        let command = run_command(root, role)?;
        let mut words = command.split(' ');
        let program = root.join(words.next().unwrap_or_default());
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut run = Command::new(&program);
        run.args(words)
            .current_dir(root)
            .env_clear()
            .env("TEASELTRACK_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = run.spawn().map_err(|error| format!("{command}: {error}"))?;
        self.record.note("case", format!("{} started: {command}", machine.name));
        let process = Process { name: machine.name.clone(), command: run, child };
        PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(process);
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), Failure> {
        // The deployment's traffic starts 10 s after its machines.
        thread::sleep(Duration::from_secs(10));
        let until = Instant::now() + READY_TIMEOUT;
        let job = new_job_id();
        while Instant::now() < until {
            let body = batch_job(1, 1, 100, 200);
            if self.submit(CHECKS, &job, &body)
                && self.state(CHECKS, &job).as_deref() == Some("completed")
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err("the deployment doesn't run a first job".to_owned())
    }

    /// Submits a job; a request without a clear answer is repeated at another entry. Returns whether
    /// the job was accepted.
    pub fn submit(&self, queue: &str, job: &str, body: &Value) -> bool {
        let status = self.request("POST", queue, job, &body.to_string()).map(|answer| answer.0);
        status.is_some_and(|status| (200..300).contains(&status))
    }

    /// State of a job as shown to its client.
    pub fn state(&self, queue: &str, job: &str) -> Option<String> {
        let (status, body) = self.request("GET", queue, job, "")?;
        if status != 200 {
            return Some(format!("status {status}"));
        }
        let body: Value = serde_json::from_str(&body).ok()?;
        Some(body["State"].as_str()?.to_owned())
    }

    /// Cancels a job; returns whether that was acknowledged.
    pub fn cancel(&self, queue: &str, job: &str) -> bool {
        let status = self.request("DELETE", queue, job, "").map(|answer| answer.0);
        status.is_some_and(|status| (200..300).contains(&status))
    }

    fn request(&self, method: &str, queue: &str, job: &str, body: &str) -> Option<(u16, String)> {
        for _ in 0..=CLIENT_RETRIES {
            let number = self.next_entry.fetch_add(1, Ordering::Relaxed);
            let entry = self.entries[number % self.entries.len()];
            let deadline = DEADLINE_MS.to_string();
            let headers = [("Host", HOST), ("X-Deadline-Ms", deadline.as_str())];
            let target = format!("{queue}{job}");
            let timeout = Duration::from_millis(DEADLINE_MS);
            let answer = call(entry, method, &target, &headers, body, timeout);
            let shown = answer
                .as_ref()
                .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
            self.record.note("client", format!("{method} {target}: {shown}"));
            if answer.as_ref().is_some_and(|(status, _)| !matches!(status, 502 | 504)) {
                return answer;
            }
        }
        None
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        end_processes();
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

const FRONTEND_OFFSET: u16 = 20;
const READINESS_OFFSET: u16 = 21;
const CONTROL_OFFSET: u16 = 22;
const APP_OFFSET: u16 = 23;

struct Machine {
    name: String,
    zone: &'static str,
    ip: Ipv4Addr,
    port: u16,
    store: SocketAddr,
}

impl Machine {
    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.port + offset)
    }

    fn settings(&self, role: &str) -> String {
        let Self { name, zone, ip, port, store } = self;
        let (class, listen, worker) = if role == "entry" {
            let (front, ready) = (self.address(FRONTEND_OFFSET), self.address(READINESS_OFFSET));
            ("edge", format!("Frontend = \"{front}\"\nReadiness = \"{ready}\""), String::new())
        } else {
            let (control, app) = (self.address(CONTROL_OFFSET), self.address(APP_OFFSET));
            let worker = format!("app = \"{app}\"\nService = \"{SERVICE}\"");
            ("side", format!("Control = \"{control}\""), worker)
        };
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"bg-central\"\n")).collect();
        format!(
            r#"NodeName = "{name}"
Role = "{role}"
MachineClass = "{class}"
Serves = ["{class}"]
Ip = "{ip}"
Zone = "{zone}"
Region = "bg-central"
PortRange = [{port},{last_port}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1100
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "invoke"
{worker}
[Zones]
{zones}
[ListenAddrs]
{listen}
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
RegionCount = 0
[Bounds]
SeedLagS = 3
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = {MAX_HOLD_MS}
StopTimeoutMs = {STOP_TIMEOUT_MS}
GangTimeoutMs = 3000
cancel_ms = {CANCEL_MS}
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
Address = "{store}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxnDurationMs = 5.0
PartitionWritesS = 200
RowBytes = {ROW_BYTES}
CrossShard = false
HistoryS = 20
"#,
            last_port = port + 15,
        )
    }
}

fn configuration() -> Value {
    let route = |name: &str, prefix: &str, objective_ms: u64, stretch: f64| {
        json!({ "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "non_idempotent",
            "TimeoutMs": DEADLINE_MS, "TargetDurationMs": objective_ms, "Priority": 0,
            "Service": SERVICE, "MaxAttempts": 2, "Stretch": stretch })
    };
    json!({
        "Version": 7,
        "Routes": [
            route("r-wrr6x73", CHECKS, 250, 1.5),
            route("r-73hh2b9", WATCHES, 2_500, 2.2),
        ],
        "Services": [{ "Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 64,
            "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false }],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 262_144, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000 },
    })
}

/// A job of independent steps whose tasks run for `run_ms`.
pub fn batch_job(step_count: usize, task_count: u32, cpu_milli: u64, run_ms: u64) -> Value {
    let step = json!({ "Count": task_count, "Cpu": cpu_milli, "MemMb": 64, "EstimateMs": run_ms });
    json!({ "Spec": format!("run_ms={run_ms}"), "JobStages": vec![step; step_count] })
}

/// A new identifier of a job.
pub fn new_job_id() -> String {
    static COUNT: AtomicUsize = AtomicUsize::new(1);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", now.as_millis() as u32)
}

/// The command of a role in the deploy file.
fn run_command(root: &Path, role: &str) -> Result<String, Failure> {
    let path = root.join("deploy/system.toml");
    let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let line = section.lines().find_map(|line| line.strip_prefix("run = "));
    let command = line.map(|command| command.trim().trim_matches('"').to_owned());
    command.ok_or_else(|| format!("no command for {role} in the deploy file"))
}

/// A loopback network and a first port, of which the ports that are used are free on all machines.
fn free_addresses(machine_count: usize) -> Result<(Ipv4Addr, u16), Failure> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = now.subsec_nanos() / 1_000 + std::process::id() * 7_919;
    for step in 0..50 {
        let number = seed.wrapping_add(step * 104_729);
        let network = Ipv4Addr::new(127, 10 + (number % 200) as u8, (number / 200 % 250) as u8, 0);
        let port = 20_000 + (number / 50_000 % 400) as u16 * 25;
        let [a, b, c, _] = network.octets();
        let machines = (0..machine_count).chain([200]);
        let mut addresses = machines.flat_map(|machine| {
            let ip = IpAddr::V4(Ipv4Addr::new(a, b, c, 2 + machine as u8));
            (0..25).map(move |offset| SocketAddr::new(ip, port + offset))
        });
        if addresses.all(|address| TcpListener::bind(address).is_ok()) {
            return Ok((network, port));
        }
    }
    Err("no free addresses".to_owned())
}
