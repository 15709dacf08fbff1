//! Settings shared by the daemons, and validation of settings files.
//!
//! Errors for unknown keys and invalid values name the key; TOML syntax errors name the line.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

use crate::{logs::LogSettings, metrics::MetricSettings, spans::TraceSettings};

/// Error in a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file isn't valid TOML, or has an unknown key, a missing key or a value of the wrong
    /// type.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Cause, with line and key.
        #[snafu(source(from(toml::de::Error, Box::new)))]
        source: Box<toml::de::Error>,
    },
    /// A key has an invalid value.
    #[snafu(display("{key}: {message}"))]
    InvalidValue {
        /// Dotted path of the key.
        key: &'static str,
        /// Why the value is invalid.
        message: String,
    },
}

/// Identity and location of the instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Rack of the instance; empty if unknown.
    #[serde(default)]
    pub rack: String,
}

/// Connection to the platform's store, and rate limits of this process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's store, `IP:port`.
    pub address: SocketAddr,
    /// Deadline of one call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum writes per second by this process.
    #[serde(default = "default_writes_per_s")]
    pub writes_per_s: f64,
    /// Maximum reads per second by this process.
    #[serde(default = "default_reads_per_s")]
    pub reads_per_s: f64,
}

/// Settings of the health port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthSettings {
    /// Listen address for liveness, readiness and status, `IP:port`.
    pub address: SocketAddr,
}

/// Observability settings: logs, metrics and traces.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObservationSettings {
    /// Log settings.
    pub logs: LogSettings,
    /// Metric settings.
    pub metrics: MetricSettings,
    /// Trace settings.
    pub traces: TraceSettings,
}

fn default_timeout_ms() -> u64 {
    2_000
}

fn default_writes_per_s() -> f64 {
    50.0
}

fn default_reads_per_s() -> f64 {
    100.0
}

/// Reads a settings file; the caller validates the values.
///
/// # Errors
///
/// The file can't be read or doesn't match the schema of the settings.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    toml::from_str(&text).context(MalformedSnafu { path })
}

/// Checks that a value is finite and above 0.
///
/// # Errors
///
/// The value isn't a finite number above 0.
pub fn check_positive(key: &'static str, value: f64) -> Result<(), SettingsError> {
    let message = format!("{value} must be above 0");
    ensure!(value.is_finite() && value > 0.0, InvalidValueSnafu { key, message });
    Ok(())
}

/// Checks that a string isn't empty.
///
/// # Errors
///
/// The string is empty.
pub fn check_not_empty(key: &'static str, value: &str) -> Result<(), SettingsError> {
    ensure!(!value.is_empty(), InvalidValueSnafu { key, message: "must not be empty" });
    Ok(())
}

/// Checks that an address has a specific IP, which other instances can connect to.
///
/// # Errors
///
/// The IP is unspecified: `0.0.0.0` or `::`.
pub fn check_specified_ip(key: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    let message = format!("{address} must be the instance's own IP, not an unspecified address");
    ensure!(!address.ip().is_unspecified(), InvalidValueSnafu { key, message });
    Ok(())
}

/// Checks that a ratio is between 0 and 1.
///
/// # Errors
///
/// The value isn't between 0 and 1.
pub fn check_ratio(key: &'static str, value: f64) -> Result<(), SettingsError> {
    let message = format!("{value} must be between 0 and 1");
    ensure!((0.0..=1.0).contains(&value), InvalidValueSnafu { key, message });
    Ok(())
}

impl InstanceSettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// The first key with an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_not_empty("instance.name", &self.name)?;
        check_not_empty("instance.zone", &self.zone)
    }
}

impl PlatformSettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// The first key with an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_positive("platform.timeout_ms", self.timeout_ms as f64)?;
        check_positive("platform.writes_per_s", self.writes_per_s)?;
        check_positive("platform.reads_per_s", self.reads_per_s)
    }
}

impl ObservationSettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// The first key with an invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_ratio("observation.traces.sampled_ratio", self.traces.sampled_ratio)
    }
}
