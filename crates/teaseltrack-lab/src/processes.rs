//! Fleet of real processes that can be killed, frozen and stopped individually.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use teaseltrack_daemon::http_client::HttpClient;
use tempfile::TempDir;

use crate::{
    LabError,
    fleet::{FleetPlan, wait_until},
    ledger::Ledger,
    platform::Platform,
    relay::Relay,
};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Timeout for an entry to discover all targets.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Role of a process in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
    /// A target.
    Target,
    /// A worker.
    Worker,
}

/// Role and index of a process.
pub type ProcessKey = (Role, usize);

/// Child process; killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts a program from the directory of the current executable.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn start(program: &str, name: &str, args: &[String]) -> io::Result<Self> {
        let path = binary_path(program)?;
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Self { child, name: name.to_owned() })
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).ok();
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Sends SIGTERM and waits for the exit; returns false on timeout.
    pub async fn stop(&mut self, timeout: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.has_exited() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// CPU time used so far.
    ///
    /// # Errors
    ///
    /// The process has exited and was reaped.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split(' ').collect();
        // Ticks in user and kernel mode; the index counts from the state, which follows the name.
        let ticks: f64 =
            [11, 12].iter().filter_map(|&field| fields.get(field)?.parse::<f64>().ok()).sum();
        Ok(Duration::from_secs_f64(ticks / TICKS_PER_S))
    }

    /// Resident memory, in bytes.
    ///
    /// # Errors
    ///
    /// The process has exited and was reaped.
    pub fn memory_bytes(&self) -> io::Result<u64> {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.child.id()))?;
        let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        Ok(pages.unwrap_or(0) * PAGE_BYTES)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program in the directory of the current executable.
///
/// # Errors
///
/// The program doesn't exist there.
pub fn binary_path(program: &str) -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let mut directory = executable.parent().unwrap_or(Path::new(".")).to_owned();
    if directory.ends_with("deps") {
        directory.pop();
    }
    let path = directory.join(program);
    if path.exists() {
        return Ok(path);
    }
    Err(io::Error::new(io::ErrorKind::NotFound, format!("{program} hasn't been built")))
}

/// Fleet of real processes; the platform and the ledger run in the current process.
pub struct ProcessFleet {
    /// Configuration of the fleet.
    pub plan: FleetPlan,
    /// Simulated store.
    pub platform: Platform,
    /// Ledger of executed requests and attempts.
    pub ledger: Ledger,
    /// Entries by index.
    pub entries: Vec<Process>,
    /// Agents by index.
    pub agents: Vec<Process>,
    /// Targets by index.
    pub targets: Vec<Process>,
    /// Workers by index.
    pub workers: Vec<Process>,
    /// Relays to targets by index, if the plan has them.
    pub relays: Vec<Relay>,
    settings: TempDir,
}

impl ProcessFleet {
    /// Starts a fleet and waits until it is ready.
    ///
    /// # Errors
    ///
    /// A program hasn't been built, or an entry isn't ready within the timeout.
    pub async fn start(plan: FleetPlan) -> Result<Self, LabError> {
        let mut fleet = Self::start_all(plan).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_all(plan: FleetPlan) -> Result<Self, LabError> {
        let mut fleet = Self::start_control_only(plan).await?;
        for index in 0..fleet.plan.agents {
            if fleet.plan.has_workers {
                let worker = fleet.spawn_worker(index)?;
                fleet.workers.push(worker);
            }
            let target = fleet.spawn_target(index)?;
            fleet.targets.push(target);
        }
        Ok(fleet)
    }

    /// Starts entries and agents without targets and workers, and returns without waiting for them.
    ///
    /// # Errors
    ///
    /// A program hasn't been built.
    pub async fn start_control_only(plan: FleetPlan) -> Result<Self, LabError> {
        let platform = Platform::start(&plan.platform_options()).await?;
        let ledger = Ledger::default();
        ledger.listen(plan.ledger_address()).await?;
        let settings = TempDir::new()?;
        let mut relays = Vec::new();
        for index in 0..if plan.has_relays { plan.agents } else { 0 } {
            let (address, upstream) = (plan.relay_address(index), plan.target_address(index));
            relays.push(Relay::start(address, upstream).await?);
        }
        let mut fleet = Self {
            platform,
            ledger,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            workers: Vec::new(),
            relays,
            settings,
            plan,
        };
        for index in 0..fleet.plan.entries {
            let entry = fleet.spawn_entry(index)?;
            fleet.entries.push(entry);
        }
        for index in 0..fleet.plan.agents {
            let agent = fleet.spawn_agent(index)?;
            fleet.agents.push(agent);
        }
        Ok(fleet)
    }

    /// Waits until every entry has discovered every target.
    ///
    /// # Errors
    ///
    /// An entry isn't ready within the timeout.
    pub async fn wait_ready(&mut self) -> Result<(), LabError> {
        let targets = self.targets.len() as u64;
        for index in 0..self.entries.len() {
            let is_ready = wait_until(READY_TIMEOUT, || async {
                self.entry_status(index).await.is_some_and(|status| status["targets"] == targets)
            })
            .await;
            if !is_ready {
                let status = self.entry_status(index).await;
                return Err(format!("entry {index} not ready: {status:?}").into());
            }
        }
        Ok(())
    }

    /// Returns a process of the fleet.
    pub fn process(&mut self, (role, index): ProcessKey) -> &mut Process {
        match role {
            Role::Entry => &mut self.entries[index],
            Role::Agent => &mut self.agents[index],
            Role::Target => &mut self.targets[index],
            Role::Worker => &mut self.workers[index],
        }
    }

    /// Replaces a process that has exited by a new one.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn respawn(&mut self, key: ProcessKey) -> Result<(), LabError> {
        let (role, index) = key;
        let process = match role {
            Role::Entry => self.spawn_entry(index)?,
            Role::Agent => self.spawn_agent(index)?,
            Role::Target => self.spawn_target(index)?,
            Role::Worker => self.spawn_worker(index)?,
        };
        *self.process(key) = process;
        Ok(())
    }

    /// Queries the status of an entry.
    pub async fn entry_status(&self, index: usize) -> Option<Value> {
        query_status(self.plan.entry_health_address(index)).await
    }

    /// Queries the status of an agent.
    pub async fn agent_status(&self, index: usize) -> Option<Value> {
        query_status(self.plan.agent_health_address(index)).await
    }

    /// Starts the process of an entry.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn spawn_entry(&self, index: usize) -> Result<Process, LabError> {
        let text = toml::to_string(&self.plan.entry_settings(index))?;
        self.spawn_daemon("teaseltrack-entry", &format!("entry-{index}"), &text)
    }

    /// Starts the process of an agent.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn spawn_agent(&self, index: usize) -> Result<Process, LabError> {
        let text = toml::to_string(&self.plan.agent_settings(index))?;
        self.spawn_daemon("teaseltrack-agent", &format!("agent-{index}"), &text)
    }

    /// Starts the process of a target.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn spawn_target(&self, index: usize) -> Result<Process, LabError> {
        let options = self.plan.target_options(index);
        let args = [
            "target".to_owned(),
            format!("--address={}", options.address),
            format!("--announce={}", options.announce),
            format!("--service={}", options.service),
            format!("--slots={}", options.slots),
            format!("--service-time-ms={}", options.behaviour.service_time_ms),
            format!("--ledger={}", self.plan.ledger_address()),
        ];
        let advertised = options.advertised.map(|address| format!("--advertise={address}"));
        let args: Vec<String> = args.into_iter().chain(advertised).collect();
        Ok(Process::start("teaseltrack-lab", &format!("target-{index}"), &args)?)
    }

    /// Starts the process of a worker.
    ///
    /// # Errors
    ///
    /// The program can't be started.
    pub fn spawn_worker(&self, index: usize) -> Result<Process, LabError> {
        let options = self.plan.worker_options(index);
        let args = [
            "worker".to_owned(),
            format!("--address={}", options.address),
            format!("--instance={}", options.instance),
            format!("--ledger={}", self.plan.ledger_address()),
        ];
        Ok(Process::start("teaseltrack-lab", &format!("worker-{index}"), &args)?)
    }

    fn spawn_daemon(&self, program: &str, name: &str, settings: &str) -> Result<Process, LabError> {
        let path = self.settings.path().join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        Ok(Process::start(program, name, &args)?)
    }
}

async fn query_status(address: std::net::SocketAddr) -> Option<Value> {
    HttpClient::new(Duration::from_secs(1)).get(address, "/status").await.ok()
}
