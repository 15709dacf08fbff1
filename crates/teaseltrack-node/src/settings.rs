//! Settings of the control port.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use teaseltrack_daemon::settings::{SettingsError, check_positive, check_specified_ip};

/// Settings of the membership and of control calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Listen address for control calls, `IP:port`.
    pub address: SocketAddr,
    /// Control addresses of known instances, used as seeds in addition to those in the store.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Average interval between probes, in milliseconds.
    #[serde(default = "default_probe_period_ms")]
    pub probe_period_ms: u64,
    /// Average interval between polls of the store for configuration changes, in milliseconds.
    #[serde(default = "default_poll_period_ms")]
    pub poll_period_ms: u64,
}

fn default_probe_period_ms() -> u64 {
    1_000
}

fn default_poll_period_ms() -> u64 {
    2_000
}

impl ControlSettings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Names the first key with an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_specified_ip("control.address", self.address)?;
        check_positive("control.probe_period_ms", self.probe_period_ms as f64)?;
        check_positive("control.poll_period_ms", self.poll_period_ms as f64)
    }
}
