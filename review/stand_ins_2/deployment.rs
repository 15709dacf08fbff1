//! Starts the project's programs, with the commands of the deploy file, and the stand-ins around them.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Server, call},
    json::{Json, quote},
    proxy::Link,
    store::Store,
    workers::Workers,
};

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
const ZONE: &str = "zilina-a";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A queue of the configuration.
#[derive(Clone, Copy)]
pub struct Queue {
    pub prefix: &'static str,
    pub priority: u32,
    pub max_attempts: u32,
    pub stretch: f64,
    pub objective_ms: u64,
}

pub struct Deployment {
    pub workers: Arc<Workers>,
    pub entries: Vec<SocketAddr>,
    /// Link between the first entry and the store.
    pub link: Link,
    store_server: Server,
    programs: Vec<Program>,
    folder: PathBuf,
    record: File,
    started_at: Instant,
}

struct Program {
    run: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .env("TEASELTRACK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.run[0]))?;
        // For the script, which ends what is left if this program doesn't end by itself.
        if let Some(path) = std::env::var_os("PIDS") {
            let pids = File::options().create(true).append(true).open(path);
            pids.and_then(|mut pids| writeln!(pids, "{}", child.id())).ok();
        }
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// How a submission ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    Accepted,
    /// All attempts were rejected.
    Rejected,
    Unknown,
}

impl Deployment {
    /// Starts `entry_count` entries and one agent beside each of `worker_count` workers, and waits until
    /// the entries are ready.
    pub fn start(
        folder: &Path,
        queues: &[Queue],
        entry_count: usize,
        worker_count: usize,
        capacity: (u64, u64),
    ) -> Result<Deployment, String> {
        let text = |error: std::io::Error| error.to_string();
        let pid = std::process::id();
        let temporary = std::env::temp_dir().join(format!("teaseltrack-review-{pid}"));
        fs::create_dir_all(&temporary).map_err(text)?;
        let record = File::create(folder.join("record.txt")).map_err(text)?;
        let network = 16 + pid % 200;
        let ip = |machine: usize| format!("127.{network}.{}.1", machine + 1);
        let base = free_ports(&ip(200))?;
        let address = |machine: usize, port: u16| -> SocketAddr {
            format!("{}:{}", ip(machine), base + port).parse().expect("an address")
        };
        let store_address = address(200, 0);
        let (store, store_server) = Store::start(store_address).map_err(text)?;
        let link_address = address(200, 1);
        let link = Link::start(link_address, store_address).map_err(text)?;
        store.put("op", "config", &configuration(queues));
        let workers = Workers::new(SERVICE, ZONE, capacity.0, capacity.1);
        let deploy = fs::read_to_string("deploy/system.toml").map_err(text)?;
        let mut deployment = Deployment {
            workers,
            entries: Vec::new(),
            link,
            store_server,
            programs: Vec::new(),
            folder: temporary,
            record,
            started_at: Instant::now(),
        };
        for index in 0..entry_count {
            let (frontend, readiness) = (address(index, 0), address(index, 1));
            let listen = format!(
                "Frontend = \"{frontend}\"\nReadiness = \"{readiness}\"\nControl = \"{}\"",
                address(index, 2)
            );
            let store = if index == 0 { link_address } else { store_address };
            let settings = settings("edge", index, &ip(index), base, &listen, "", store);
            deployment.launch(&format!("edge-{index}"), command(&deploy, "entry")?, &settings)?;
            deployment.entries.push(frontend);
        }
        for index in 0..worker_count {
            let machine = entry_count + index;
            let (control, app) = (address(machine, 2), address(machine, 3));
            let listen = format!("Control = \"{control}\"");
            let own = format!("app = \"{app}\"\nService = \"{SERVICE}\"");
            let settings =
                settings("side", index, &ip(machine), base, &listen, &own, store_address);
            deployment.launch(&format!("side-{index}"), command(&deploy, "agent")?, &settings)?;
            deployment.workers.add(app, control, &format!("r1-{}", index / 3));
        }
        for index in 0..worker_count {
            deployment.workers.start(index);
        }
        for index in 0..entry_count {
            let readiness = address(index, 1);
            let is_ready = || {
                call(readiness, "GET", "/readyz", &[], "", Duration::from_secs(1))
                    .is_ok_and(|(status, _)| status == 200)
            };
            if !wait_until(Duration::from_secs(15), is_ready) {
                deployment.stop();
                return Err("an entry didn't become ready".to_owned());
            }
        }
        Ok(deployment)
    }

    fn launch(&mut self, name: &str, run: Vec<String>, settings: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let mut program = Program { run, settings: path, log, child: None };
        let started = program.start();
        self.programs.push(program);
        started
    }

    /// Hands in a job, as a client does: the same request again, at the next entry, after no response
    /// or a 502 or 504.
    pub fn submit(&self, queue: &Queue, job: &str, body: &str) -> Submitted {
        let target = format!("{}{job}", queue.prefix);
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let mut is_in_doubt = false;
        for attempt in 0..5 {
            let entry = self.entries[attempt % self.entries.len()];
            match call(entry, "POST", &target, &headers, body, CALL_TIMEOUT) {
                Ok((200..=299, _)) => return Submitted::Accepted,
                Ok((429 | 503, _)) => {}
                _ => is_in_doubt = true,
            }
            thread::sleep(Duration::from_millis(300));
        }
        if is_in_doubt { Submitted::Unknown } else { Submitted::Rejected }
    }

    /// State of a job as shown to its client; the status if it isn't 200, `none` without a response.
    pub fn state(&self, queue: &Queue, job: &str) -> String {
        let target = format!("{}{job}", queue.prefix);
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let mut answer = "none".to_owned();
        for entry in &self.entries {
            match call(*entry, "GET", &target, &headers, "", CALL_TIMEOUT) {
                Ok((200, body)) => {
                    return Json::parse(&body).map_or(answer, |body| body.text("State"));
                }
                Ok((status, _)) => answer = status.to_string(),
                Err(_) => {}
            }
        }
        answer
    }

    pub fn note(&mut self, line: &str) {
        let at_ms = self.started_at.elapsed().as_millis();
        writeln!(self.record, "{at_ms:>7} ms  {line}").ok();
        println!("{at_ms:>7} ms  {line}");
    }

    /// Writes what the workers saw, and ends all that was started.
    pub fn stop(&mut self) {
        let offset_ms = self.started_at.elapsed().as_millis() as u64 - self.workers.now_ms();
        for event in self.workers.events() {
            let at_ms = event.at_ms + offset_ms;
            writeln!(
                self.record,
                "{at_ms:>7} ms  worker {} {} {} attempt {} {}",
                event.worker, event.kind, event.task, event.attempt, event.detail
            )
            .ok();
        }
        for mut program in self.programs.drain(..) {
            program.kill();
        }
        self.workers.close();
        self.link.close();
        self.store_server.close();
    }
}

impl Drop for Deployment {
    /// Ends the programs and removes their folder, also if the case couldn't run.
    fn drop(&mut self) {
        for mut program in self.programs.drain(..) {
            program.kill();
        }
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// Body of a submission.
pub fn job_body(spec: &str, stages: &str) -> String {
    format!("{{\"Spec\":{},\"JobStages\":[{stages}]}}", quote(spec))
}

/// Command of a role in the deploy file.
fn command(deploy: &str, role: &str) -> Result<Vec<String>, String> {
    let section = deploy.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let run = section.lines().find_map(|line| line.strip_prefix("run = "));
    let words = run.map(|run| run.trim_matches('"').split(' ').map(str::to_owned).collect());
    words.ok_or_else(|| format!("the deploy file has no command for {role}"))
}

/// First of some ports that are free.
fn free_ports(ip: &str) -> Result<u16, String> {
    let is_free =
        |base: &u16| (0..24).all(|port| TcpListener::bind(format!("{ip}:{}", base + port)).is_ok());
    let start = 20_000 + (std::process::id() % 300) as u16 * 30;
    (0..100).map(|step| start + step * 30).find(is_free).ok_or_else(|| "no free ports".to_owned())
}

fn configuration(queues: &[Queue]) -> String {
    let routes: Vec<String> = queues
        .iter()
        .enumerate()
        .map(|(index, queue)| {
            format!(
                "{{\"Name\":\"r-{index}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\
                 \"Kind\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetDurationMs\":{},\
                 \"Priority\":{},\"Service\":\"{SERVICE}\",\"MaxAttempts\":{},\"Stretch\":{}}}",
                queue.prefix, queue.objective_ms, queue.priority, queue.max_attempts, queue.stretch
            )
        })
        .collect();
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":64,\"AdmissionCheck\":false,\"Standby\":false}}],\
         \"Limits\":{{\"MaxBodyBytes\":262144}}}}",
        routes.join(",")
    )
}

/// Settings of a machine of a small site.
fn settings(
    class: &str,
    index: usize,
    ip: &str,
    base: u16,
    listen: &str,
    own: &str,
    store: SocketAddr,
) -> String {
    format!(
        "NodeName = \"{class}-{ZONE}-{index}\"\nRole = \"my-{class}\"\nMachineClass = \"{class}\"\n\
         Serves = [\"{class}\"]\nIp = \"{ip}\"\nZone = \"{ZONE}\"\nRegion = \"sk-north\"\n\
         PortRange = [{},{}]\nSeeds = []\nBootstrap = true\nDiscovery = \"local\"\nEntry = \"vip\"\n\
         HeartbeatMs = 1100\nControlMode = \"invoke\"\n{own}\n\
         Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"sharing\"]\n\
         [ListenAddrs]\n{listen}\n\
         [Bounds]\nContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\nGraceS = 6\nMaxHoldMs = 10000\n\
         StopTimeoutMs = 200\nGangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
         [platform]\nAddress = \"{store}\"\nform = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\n\
         TxnDurationMs = 5.0\nPartitionWritesS = 200\nRowBytes = 65536\nCrossShard = false\n\
         HistoryS = 20\n",
        base + 10,
        base + 20
    )
}
