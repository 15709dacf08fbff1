//! Reading settings files.
//!
//! Unknown keys and impossible values are errors that name the key; TOML's own errors name the line.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

use crate::{logs::LogSettings, metrics::MetricSettings, spans::TraceSettings};

/// Why settings were refused.
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
    /// The file isn't TOML, or has an unknown or missing key or a value of another type.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Cause, with line and key.
        #[snafu(source(from(toml::de::Error, Box::new)))]
        source: Box<toml::de::Error>,
    },
    /// A key has an impossible value.
    #[snafu(display("{key}: {message}"))]
    Impossible {
        /// The key, with the tables it is in.
        key: &'static str,
        /// Why the value is impossible.
        message: String,
    },
}

/// Settings that every daemon has.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    #[serde(default)]
    pub rack: String,
}

/// Where the platform's store is and how much of it a process may use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's store, `IP:port`.
    pub address: SocketAddr,
    /// Deadline of one call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Writes a second that this process may send.
    #[serde(default = "default_writes_per_s")]
    pub writes_per_s: f64,
    /// Reads a second that this process may send.
    #[serde(default = "default_reads_per_s")]
    pub reads_per_s: f64,
}

/// Settings of the health port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthSettings {
    /// Address of liveness, readiness and status, `IP:port`.
    pub address: SocketAddr,
}

/// Logs, metrics and traces.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObservationSettings {
    /// Logs.
    pub logs: LogSettings,
    /// Metrics.
    pub metrics: MetricSettings,
    /// Traces.
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

/// Reads a settings file; the caller checks the values.
///
/// # Errors
///
/// The file can't be read or doesn't follow the settings' schema.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    toml::from_str(&text).context(MalformedSnafu { path })
}

/// Refuses a value that is zero or negative.
///
/// # Errors
///
/// The key, if its value isn't above 0.
pub fn check_positive(key: &'static str, value: f64) -> Result<(), SettingsError> {
    let message = format!("{value} must be above 0");
    ensure!(value.is_finite() && value > 0.0, ImpossibleSnafu { key, message });
    Ok(())
}

/// Refuses an empty text.
///
/// # Errors
///
/// The key, if its value is empty.
pub fn check_present(key: &'static str, value: &str) -> Result<(), SettingsError> {
    ensure!(!value.is_empty(), ImpossibleSnafu { key, message: "must not be empty" });
    Ok(())
}

/// Refuses an address without a concrete IP, which other instances couldn't reach.
///
/// # Errors
///
/// The key, if its address is `0.0.0.0` or `::`.
pub fn check_specified_ip(key: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    let message = format!("{address} must name the instance's own IP");
    ensure!(!address.ip().is_unspecified(), ImpossibleSnafu { key, message });
    Ok(())
}

/// Refuses a ratio outside 0 to 1.
///
/// # Errors
///
/// The key, if its value is no ratio.
pub fn check_ratio(key: &'static str, value: f64) -> Result<(), SettingsError> {
    let message = format!("{value} must be 0 to 1");
    ensure!((0.0..=1.0).contains(&value), ImpossibleSnafu { key, message });
    Ok(())
}

impl InstanceSettings {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// The first key with an impossible value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_present("instance.name", &self.name)?;
        check_present("instance.zone", &self.zone)
    }
}

impl PlatformSettings {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// The first key with an impossible value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_positive("platform.timeout_ms", self.timeout_ms as f64)?;
        check_positive("platform.writes_per_s", self.writes_per_s)?;
        check_positive("platform.reads_per_s", self.reads_per_s)
    }
}

impl ObservationSettings {
    /// Checks the values.
    ///
    /// # Errors
    ///
    /// The first key with an impossible value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_ratio("observation.traces.sampled_ratio", self.traces.sampled_ratio)
    }
}
