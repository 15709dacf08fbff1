//! Settings of a fleet, and a fleet within one process.
//!
//! Each instance has its own loopback IP address, so that all instances can use the same fixed
//! ports and no free ports have to be searched.

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

/// Port for requests: of callers at an entry, of entries at an agent.
const REQUEST_PORT: u16 = 7_101;
/// Port for operators.
const OPERATOR_PORT: u16 = 7_102;
/// Port for control calls.
const CONTROL_PORT: u16 = 7_103;
/// Port for liveness, readiness and status.
const HEALTH_PORT: u16 = 7_104;
/// Port for announcements.
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
/// Instances per value of the third octet.
const INSTANCES_PER_SUBNET: usize = 250;

/// Loopback address range of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// Chooses a random range, so that fleets on the same machine are unlikely to overlap.
    pub fn random() -> Self {
        let mut rng = rand::rng();
        Self { second_octet: rng.random_range(1..250), third_octet: rng.random_range(0..240) }
    }

    /// Address of a port of an instance, by index.
    pub fn address(&self, instance: usize, port: u16) -> SocketAddr {
        let third_octet = self.third_octet + (instance / INSTANCES_PER_SUBNET) as u8;
        let fourth_octet = (instance % INSTANCES_PER_SUBNET) as u8 + 1;
        SocketAddr::from(([127, self.second_octet, third_octet, fourth_octet], port))
    }
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Address range of the fleet.
    pub network: Network,
    /// Availability zones, assigned to instances round-robin.
    pub zones: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with a target.
    pub agents: usize,
    /// Whether each agent has a worker.
    pub has_workers: bool,
    /// Whether requests from each agent to its target go through a relay.
    pub has_relays: bool,
    /// Whether the first entry is configured as a seed.
    pub has_seeds: bool,
    /// Service that all targets provide.
    pub service: String,
    /// Slots of each target.
    pub slots: u32,
    /// Maximum queued requests of a class at an agent.
    pub queue_per_class: usize,
    /// Behaviour of the targets.
    pub behaviour: TargetBehaviour,
    /// Duration of instance leases, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Interval between probes, in milliseconds.
    pub probe_period_ms: u64,
    /// Time for a load balancer to notice a graceful shutdown, in milliseconds.
    pub drain_grace_ms: u64,
    /// CPU capacity for tasks on each instance, in thousandths of a core.
    pub cpu_milli: u64,
    /// Maximum writes per second of the platform.
    pub platform_writes_per_s: f64,
    /// Maximum writes per second of each process.
    pub process_writes_per_s: f64,
    /// Minimum severity of log lines.
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

    fn agent_instance_index(&self, index: usize) -> usize {
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

    /// Caller port of an entry.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        self.network.address(1 + entry, REQUEST_PORT)
    }

    /// Operator port of an entry.
    pub fn operator_address(&self, entry: usize) -> SocketAddr {
        self.network.address(1 + entry, OPERATOR_PORT)
    }

    /// Health port of an entry.
    pub fn entry_health_address(&self, entry: usize) -> SocketAddr {
        self.network.address(1 + entry, HEALTH_PORT)
    }

    /// Port of an agent for requests from entries.
    pub fn request_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_instance_index(agent), REQUEST_PORT)
    }

    /// Health port of an agent.
    pub fn agent_health_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_instance_index(agent), HEALTH_PORT)
    }

    /// Announcement port of an agent.
    pub fn announce_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_instance_index(agent), ANNOUNCE_PORT)
    }

    /// Port of an agent's target.
    pub fn target_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_instance_index(agent), TARGET_PORT)
    }

    /// Port of the relay to an agent's target.
    pub fn relay_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_instance_index(agent), RELAY_PORT)
    }

    /// Port of an agent's worker.
    pub fn worker_address(&self, agent: usize) -> SocketAddr {
        self.network.address(self.agent_instance_index(agent), WORKER_PORT)
    }

    /// Name of an agent's instance.
    pub fn agent_name(index: usize) -> String {
        format!("agent-{index}")
    }

    /// Options of the simulated platform.
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
        let instance_index = 1 + index;
        EntrySettings {
            instance: InstanceSettings {
                name: format!("entry-{index}"),
                zone: self.zone(index),
                rack: String::new(),
            },
            control: self.control_settings(instance_index),
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
        let instance_index = self.agent_instance_index(index);
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
            control: self.control_settings(instance_index),
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

    fn control_settings(&self, instance_index: usize) -> ControlSettings {
        let first_entry = self.network.address(1, CONTROL_PORT);
        let seeds = if self.has_seeds { vec![first_entry] } else { Vec::new() };
        ControlSettings {
            address: self.network.address(instance_index, CONTROL_PORT),
            seeds,
            probe_period_ms: self.probe_period_ms,
            poll_period_ms: if instance_index <= self.entries { 2_000 } else { 30_000 },
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

/// Daemon that runs in the current process.
pub struct RunningDaemon {
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl RunningDaemon {
    /// Shuts the daemon down gracefully and waits for its end.
    pub async fn stop(self) {
        self.shutdown.draining.cancel();
        drop(self.task.await);
    }
}

/// Fleet within one process.
pub struct Fleet {
    /// Configuration of the fleet.
    pub plan: FleetPlan,
    /// Simulated store.
    pub platform: Platform,
    /// Ledger of executed requests and attempts.
    pub ledger: Ledger,
    /// Entries by index; `None` after shutdown.
    pub entries: Vec<Option<RunningDaemon>>,
    /// Agents by index; `None` after shutdown.
    pub agents: Vec<Option<RunningDaemon>>,
    /// Targets by index.
    pub targets: Vec<Target>,
    /// Workers by index.
    pub workers: Vec<Worker>,
    /// Relays to targets by index, if the plan has them.
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

    /// Shuts down an agent gracefully.
    pub async fn stop_agent(&mut self, index: usize) {
        if let Some(agent) = self.agents[index].take() {
            agent.stop().await;
        }
    }

    /// Shuts down all agents and then all entries gracefully.
    pub async fn stop(mut self) {
        for index in 0..self.agents.len() {
            self.stop_agent(index).await;
        }
        for entry in self.entries.iter_mut().filter_map(Option::take) {
            entry.stop().await;
        }
    }
}

/// Polls a condition until it holds; returns false on timeout.
pub async fn wait_until<F>(timeout: Duration, mut condition: impl FnMut() -> F) -> bool
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + timeout;
    while tokio::time::Instant::now() < deadline {
        if condition().await {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}
