//! Settings file of the entry.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use teaseltrack_daemon::settings::{
    HealthSettings, InstanceSettings, ObservationSettings, PlatformSettings, SettingsError,
    check_positive, check_specified_ip,
};
use teaseltrack_node::settings::ControlSettings;

/// Settings of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity and location of the instance.
    pub instance: InstanceSettings,
    /// Membership and control calls.
    pub control: ControlSettings,
    /// Requests from callers.
    pub callers: CallerSettings,
    /// Commands and queries from operators.
    pub operators: OperatorSettings,
    /// Connection to the platform's store.
    pub platform: PlatformSettings,
    /// Health port for liveness, readiness and status.
    pub health: HealthSettings,
    /// Logs, metrics and traces.
    #[serde(default)]
    pub observation: ObservationSettings,
}

/// Settings of the callers' port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Listen address for callers' requests, `IP:port`.
    pub address: SocketAddr,
    /// Maximum number of concurrent connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Time between the loss of readiness and the close of the listeners in a graceful shutdown, so
    /// that load balancers can react, in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
}

/// Settings of the operators' port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Listen address for commands and queries, `IP:port`.
    pub address: SocketAddr,
}

fn default_max_connections() -> usize {
    4_096
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_drain_grace_ms() -> u64 {
    3_000
}

impl EntrySettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// The first key with an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.instance.check()?;
        self.control.check()?;
        check_specified_ip("callers.address", self.callers.address)?;
        check_positive("callers.max_connections", self.callers.max_connections as f64)?;
        check_positive("callers.max_body_bytes", self.callers.max_body_bytes as f64)?;
        self.platform.check()?;
        self.observation.check()
    }
}
