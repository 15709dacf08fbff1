//! Schema and validation of the agent's settings file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use teaseltrack::placement::Resources;
use teaseltrack_daemon::settings::{
    HealthSettings, InstanceSettings, ObservationSettings, PlatformSettings, SettingsError,
    check_positive, check_specified_ip,
};
use teaseltrack_node::settings::ControlSettings;

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity and location of the instance.
    pub instance: InstanceSettings,
    /// Membership and control calls.
    pub control: ControlSettings,
    /// Server for requests from entries.
    pub requests: RequestSettings,
    /// The target that the agent serves.
    pub target: TargetSettings,
    /// Tasks; absent on an instance that runs no tasks.
    pub tasks: Option<TaskSettings>,
    /// Connection to the platform's store.
    pub platform: PlatformSettings,
    /// Health port: liveness, readiness and status.
    pub health: HealthSettings,
    /// Logs, metrics and traces.
    #[serde(default)]
    pub observation: ObservationSettings,
}

/// Settings of the server for requests from entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSettings {
    /// Listen address for requests from entries, `IP:port`.
    pub address: SocketAddr,
    /// Maximum number of queued requests per priority class.
    #[serde(default = "default_queue_per_class")]
    pub queue_per_class: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
}

/// Settings of the target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Listen address for the target's announcements, `IP:port`; meant to be a loopback address,
    /// which isn't checked.
    pub announce_address: SocketAddr,
    /// Time after which an announcement that wasn't renewed expires, in milliseconds.
    #[serde(default = "default_announcement_ttl_ms")]
    pub announcement_ttl_ms: u64,
    /// Maximum number of concurrent requests to the target, regardless of what it announces.
    #[serde(default = "default_max_slots")]
    pub max_slots: u32,
    /// Maximum number of connections to the target.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
}

/// Settings of tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSettings {
    /// Address of the platform's worker on this instance, `IP:port`.
    pub worker_address: SocketAddr,
    /// Duration of the instance's lease, in milliseconds; other agents may reclaim the instance's
    /// tasks only after the lease has lapsed.
    #[serde(default = "default_lease_ttl_ms")]
    pub lease_ttl_ms: u64,
    /// CPU capacity for tasks, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory capacity for tasks, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators for tasks.
    #[serde(default)]
    pub accelerators: u64,
}

fn default_queue_per_class() -> usize {
    64
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_announcement_ttl_ms() -> u64 {
    3_000
}

fn default_max_slots() -> u32 {
    8
}

fn default_max_connections() -> u32 {
    64
}

fn default_lease_ttl_ms() -> u64 {
    60_000
}

impl AgentSettings {
    /// Validates names, periods, limits and ratios, and that the addresses for requests and control
    /// calls have a specific IP.
    ///
    /// # Errors
    ///
    /// The first key whose value is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.instance.check()?;
        self.control.check()?;
        check_specified_ip("requests.address", self.requests.address)?;
        check_positive("requests.queue_per_class", self.requests.queue_per_class as f64)?;
        check_positive("requests.max_body_bytes", self.requests.max_body_bytes as f64)?;
        check_positive("target.announcement_ttl_ms", self.target.announcement_ttl_ms as f64)?;
        check_positive("target.max_slots", f64::from(self.target.max_slots))?;
        check_positive("target.max_connections", f64::from(self.target.max_connections))?;
        if let Some(tasks) = &self.tasks {
            check_positive("tasks.lease_ttl_ms", tasks.lease_ttl_ms as f64)?;
        }
        self.platform.check()?;
        self.observation.check()
    }
}

impl TaskSettings {
    /// Capacity of the instance for tasks.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
        }
    }
}
