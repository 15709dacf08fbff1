//! Settings of a whole fleet, and a fleet in one process.
//!
//! Every instance gets a loopback IP of its own, so that no ports are shared and none has to be found.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use teaseltrack_agent::{
    agent::Agent,
    options::config::{AgentSettings, RequestSettings, TargetSettings, TaskSettings},
};
use teaseltrack_daemon::{
    logs::{LogLevel, LogSettings},
    settings::{HealthSettings, InstanceSettings, ObservationSettings, PlatformSettings},
    shutdown::Shutdown,
};
use teaseltrack_entry::{
    entry::Entry,
    options::config::{CallerSettings, EntrySettings, OperatorSettings},
};
use teaseltrack_node::settings::ControlSettings;
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    LabError,
    ledger::Ledger,
    options::args::PlatformOptions,
    platform::Platform,
    relay::Relay,
    target::{Target, TargetBehaviour, TargetOptions},
    worker::{Worker, WorkerOptions},
};

/// Port of callers' and entries' requests.
const REQUEST_PORT: u16 = 7_101;
/// Port of operators.
const OPERATOR_PORT: u16 = 7_102;
/// Port of control calls.
const CONTROL_PORT: u16 = 7_103;
/// Port of liveness, readiness and status.
const HEALTH_PORT: u16 = 7_104;
/// Port of announcements.
const ANNOUNCE_PORT: u16 = 7_105;
/// Port of the target.
const TARGET_PORT: u16 = 7_106;
/// Port of the worker.
const WORKER_PORT: u16 = 7_107;
/// Port of the platform's store.
const PLATFORM_PORT: u16 = 7_108;
/// Port of the ledger.
const LEDGER_PORT: u16 = 7_109;
/// Port of the relay to the target.
const RELAY_PORT: u16 = 7_110;
/// Instances of one network.
const NETWORK_INSTANCES: usize = 250;

/// Loopback networks of one fleet, drawn at random.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// A network that no other fleet on the machine is likely to have.
    pub fn random() -> Self {
        let mut rng = rand::rng();
        Self { second: rng.random_range(1..250), third: rng.random_range(0..240) }
    }

    /// Address of a port of the instance with this number.
    pub fn address(&self, instance: usize, port: u16) -> SocketAddr {
        let third = self.third + (instance / NETWORK_INSTANCES) as u8;
        let fourth = (instance % NETWORK_INSTANCES) as u8 + 1;
        SocketAddr::from(([127, self.second, third, fourth], port))
    }
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Network of the fleet.
    pub network: Network,
    /// Availability zones; instances take turns.
    pub zones: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with a target.
    pub agents: usize,
    /// Whether each agent has a worker.
    pub has_workers: bool,
    /// Whether a relay stands between each agent and its target.
    pub has_relays: bool,
    /// Whether the settings name the first entry as a seed.
    pub has_seeds: bool,
    /// Service that all targets answer for.
    pub service: String,
    /// Slots of each target.
    pub slots: u32,
    /// Requests of one class that may wait at an agent.
    pub queue_per_class: usize,
    /// How targets behave.
    pub behaviour: TargetBehaviour,
    /// Length of instance leases, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Time between probes, in milliseconds.
    pub probe_period_ms: u64,
    /// Time for a balancer to notice a planned stop, in milliseconds.
    pub drain_grace_ms: u64,
    /// Processors for tasks on each instance, in thousandths of a core.
    pub cpu_milli: u64,
    /// Writes a second that the platform takes.
    pub platform_writes_per_s: f64,
    /// Writes a second that each process may send.
    pub process_writes_per_s: f64,
    /// Least severe level of the logs.
    pub log_level: LogLevel,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            network: Network::random(),
            zones: ["zilina-a", "martin-b", "cadca-c"].map(str::to_owned).to_vec(),
            entries: 2,
            agents: 4,
            has_workers: false,
            has_relays: false,
            has_seeds: false,
            service: "tickets".to_owned(),
            slots: 8,
            queue_per_class: 64,
            behaviour: TargetBehaviour { service_time_ms: 5.0, ..TargetBehaviour::default() },
            lease_ttl_ms: 3_000,
            probe_period_ms: 300,
            drain_grace_ms: 500,
            cpu_milli: 8_000,
            platform_writes_per_s: 300.0,
            process_writes_per_s: 50.0,
            log_level: LogLevel::Error,
        }
    }
}

impl FleetPlan {
    fn zone(&self, index: usize) -> String {
        self.zones[index % self.zones.len()].clone()
    }

    fn agent_number(&self, index: usize) -> usize {
        1 + self.entries + index
    }

    /// Address of the platform's store.
    pub fn platform_address(&self) -> SocketAddr {
        self.network.address(0, PLATFORM_PORT)
    }

    /// Address of the ledger.
    pub fn ledger_address(&self) -> SocketAddr {
        self.network.address(0, LEDGER_PORT)
    }

    /// Callers' port of an entry.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        self.network.address(1 + entry, REQUEST_PORT)
    }

    /// Operators' port of an entry.
    pub fn operator_address(&self, entry: usize) -> SocketAddr {
        self.network.address(1 + entry, OPERATOR_PORT)
    }

    /// Health port of an entry.
    pub fn entry_health_address(&self, entry: usize) -> SocketAddr {
        self.network.address(1 + entry, HEALTH_PORT)
    }

    /// Port of an agent's requests from entries.
    pub fn request_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_number(agent), REQUEST_PORT)
    }

    /// Health port of an agent.
    pub fn agent_health_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_number(agent), HEALTH_PORT)
    }

    /// Announcement port of an agent.
    pub fn announce_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_number(agent), ANNOUNCE_PORT)
    }

    /// Port of an agent's target.
    pub fn target_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_number(agent), TARGET_PORT)
    }

    /// Port of the relay to an agent's target.
    pub fn relay_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_number(agent), RELAY_PORT)
    }

    /// Port of an agent's worker.
    pub fn worker_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_number(agent), WORKER_PORT)
    }

    /// Name of an agent's instance.
    pub fn agent_name(index: usize) -> String {
        format!("agent-{index}")
    }

    /// Options of the platform.
    pub fn platform_options(&self) -> PlatformOptions {
        PlatformOptions {
            address: self.platform_address(),
            writes_per_s: self.platform_writes_per_s,
            reads_per_s: 2_000.0,
            latency: Duration::from_millis(2),
        }
    }

    /// Settings of an entry.
    pub fn entry_settings(&self, index: usize) -> EntrySettings {
        let number = 1 + index;
        EntrySettings {
            instance: InstanceSettings {
                name: format!("entry-{index}"),
                zone: self.zone(index),
                rack: String::new(),
            },
            control: self.control_settings(number),
            callers: CallerSettings {
                address: self.caller_address(index),
                max_connections: 4_096,
                max_body_bytes: 1 << 20,
                drain_grace_ms: self.drain_grace_ms,
            },
            operators: OperatorSettings { address: self.operator_address(index) },
            platform: self.platform_settings(),
            health: HealthSettings { address: self.entry_health_address(index) },
            observation: self.observation_settings(),
        }
    }

    /// Settings of an agent.
    pub fn agent_settings(&self, index: usize) -> AgentSettings {
        let number = self.agent_number(index);
        let tasks = TaskSettings {
            worker_address: self.worker_address(index),
            lease_ttl_ms: self.lease_ttl_ms,
            cpu_milli: self.cpu_milli,
            memory_mib: 16_384,
            accelerators: 0,
        };
        AgentSettings {
            instance: InstanceSettings {
                name: Self::agent_name(index),
                zone: self.zone(index),
                rack: String::new(),
            },
            control: self.control_settings(number),
            requests: RequestSettings {
                address: self.request_address(index),
                queue_per_class: self.queue_per_class,
                max_body_bytes: 1 << 20,
            },
            target: TargetSettings {
                announce_address: self.announce_address(index),
                announcement_ttl_ms: 3_000,
                max_slots: self.slots,
                max_connections: 64,
            },
            tasks: self.has_workers.then_some(tasks),
            platform: self.platform_settings(),
            health: HealthSettings { address: self.agent_health_address(index) },
            observation: self.observation_settings(),
        }
    }

    /// Options of an agent's target.
    pub fn target_options(&self, index: usize) -> TargetOptions {
        TargetOptions {
            address: self.target_address(index),
            advertised: self.has_relays.then(|| self.relay_address(index)),
            announce: self.announce_address(index),
            service: self.service.clone(),
            slots: self.slots,
            behaviour: self.behaviour,
            ledger: Some(self.ledger_address()),
        }
    }

    /// Options of an agent's worker.
    pub fn worker_options(&self, index: usize) -> WorkerOptions {
        WorkerOptions {
            address: self.worker_address(index),
            instance: Self::agent_name(index),
            run_time_ratio: 1.0,
            is_failing: false,
            ledger: Some(self.ledger_address()),
        }
    }

    fn control_settings(&self, number: usize) -> ControlSettings {
        let first_entry = self.network.address(1, CONTROL_PORT);
        let seeds = if self.has_seeds { vec![first_entry] } else { Vec::new() };
        ControlSettings {
            address: self.network.address(number, CONTROL_PORT),
            seeds,
            probe_period_ms: self.probe_period_ms,
            poll_period_ms: if number <= self.entries { 2_000 } else { 30_000 },
        }
    }

    fn platform_settings(&self) -> PlatformSettings {
        PlatformSettings {
            address: self.platform_address(),
            timeout_ms: 1_000,
            writes_per_s: self.process_writes_per_s,
            reads_per_s: 200.0,
        }
    }

    fn observation_settings(&self) -> ObservationSettings {
        let logs = LogSettings { level: self.log_level, ..LogSettings::default() };
        ObservationSettings { logs, ..ObservationSettings::default() }
    }
}

/// A daemon that runs in this process.
pub struct RunningDaemon {
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl RunningDaemon {
    /// Stops the daemon as planned and waits for its end.
    pub async fn stop(self) {
        self.shutdown.draining.cancel();
        drop(self.task.await);
    }
}

/// A fleet in one process.
pub struct Fleet {
    /// What it consists of.
    pub plan: FleetPlan,
    /// The store.
    pub platform: Platform,
    /// What ran.
    pub ledger: Ledger,
    /// Entries by number.
    pub entries: Vec<Option<RunningDaemon>>,
    /// Agents by number.
    pub agents: Vec<Option<RunningDaemon>>,
    /// Targets by number.
    pub targets: Vec<Target>,
    /// Workers by number.
    pub workers: Vec<Worker>,
    /// Relays to targets by number.
    pub relays: Vec<Relay>,
}

impl Fleet {
    /// Starts a fleet.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(plan: FleetPlan) -> Result<Self, LabError> {
        let ledger = Ledger::default();
        let platform = Platform::start(&plan.platform_options()).await?;
        let mut fleet = Self {
            platform,
            ledger,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: Vec::new(),
            workers: Vec::new(),
            relays: Vec::new(),
            plan,
        };
        for index in 0..fleet.plan.entries {
            let entry = fleet.start_entry(index).await?;
            fleet.entries.push(Some(entry));
        }
        for index in 0..fleet.plan.agents {
            fleet.start_instance(index).await?;
        }
        Ok(fleet)
    }

    async fn start_entry(&self, index: usize) -> Result<RunningDaemon, LabError> {
        let shutdown = Shutdown::new();
        let entry = Entry::start(self.plan.entry_settings(index), shutdown.clone()).await?;
        Ok(RunningDaemon { shutdown, task: tokio::spawn(entry.wait()) })
    }

    async fn start_instance(&mut self, index: usize) -> Result<(), LabError> {
        if self.plan.has_workers {
            let options = self.plan.worker_options(index);
            self.workers.push(Worker::start(options, self.ledger.sender()).await?);
        }
        let shutdown = Shutdown::new();
        let agent = Agent::start(self.plan.agent_settings(index), shutdown.clone()).await?;
        self.agents.push(Some(RunningDaemon { shutdown, task: tokio::spawn(agent.wait()) }));
        let options = self.plan.target_options(index);
        if let Some(address) = options.advertised {
            self.relays.push(Relay::start(address, options.address).await?);
        }
        self.targets.push(Target::start(options, self.ledger.sender()).await?);
        Ok(())
    }

    /// Stops an agent as planned.
    pub async fn stop_agent(&mut self, index: usize) {
        if let Some(agent) = self.agents[index].take() {
            agent.stop().await;
        }
    }

    /// Stops everything as planned.
    pub async fn stop(mut self) {
        for index in 0..self.agents.len() {
            self.stop_agent(index).await;
        }
        for entry in self.entries.iter_mut().filter_map(Option::take) {
            entry.stop().await;
        }
    }
}

/// Waits until a condition holds; false when it didn't in time.
pub async fn wait_until<F>(limit: Duration, mut condition: impl FnMut() -> F) -> bool
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < deadline {
        if condition().await {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}
