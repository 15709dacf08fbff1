//! The entry's settings file.

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
    /// The instance.
    pub instance: InstanceSettings,
    /// Membership and control calls.
    pub control: ControlSettings,
    /// Requests from callers.
    pub callers: CallerSettings,
    /// Commands and queries from operators.
    pub operators: OperatorSettings,
    /// The platform's store.
    pub platform: PlatformSettings,
    /// Liveness, readiness and status.
    pub health: HealthSettings,
    /// Logs, metrics and traces.
    #[serde(default)]
    pub observation: ObservationSettings,
}

/// Settings of the callers' port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address on which callers' requests arrive, `IP:port`.
    pub address: SocketAddr,
    /// Connections at once.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Largest body of a request, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Time for the balancer to notice a planned stop, in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
}

/// Settings of the operators' port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address on which commands and queries arrive, `IP:port`.
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
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// The first key with an impossible value.
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
