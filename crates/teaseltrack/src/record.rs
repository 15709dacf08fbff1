//! Records that operators submit, amend and withdraw.
//!
//! A record carries the schema version of its body. Each supported version has its own type, and
//! parsing converts every version to the current specification type.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use snafu::{Snafu, ensure};

use crate::ids::{JobName, Revision, TeamName};

/// Maximum length of a record name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of tasks per job.
const MAX_TASKS: u32 = 100_000;
/// Default request timeout, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Maximum request timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A latency-critical request service.
    Service,
    /// A batch job of one or more tasks.
    Job,
    /// A watch that starts a job for each notice.
    Watch,
    /// A team with its request quota.
    Team,
}

impl RecordKind {
    /// Name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Job => "job",
            Self::Watch => "watch",
            Self::Team => "team",
        }
    }

    /// Parses a name used on the wire.
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Service, Self::Job, Self::Watch, Self::Team]
            .into_iter()
            .find(|kind| kind.as_str() == name)
    }
}

/// Validation error of a record.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum RecordError {
    /// The schema version is not supported for the kind.
    #[snafu(display("schema_version: {version} is unknown for a {} record", kind.as_str()))]
    UnknownVersion {
        /// Kind of the record.
        kind: RecordKind,
        /// Schema version of the record.
        version: u32,
    },
    /// The body does not match the schema.
    #[snafu(display("body: {message}"))]
    Malformed {
        /// Deserialization error with the path of the field.
        message: String,
    },
    /// A field has a value out of range.
    #[snafu(display("{field}: {message}"))]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Constraint that the value violates.
        message: String,
    },
}

/// Stored record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name, unique within the kind.
    pub name: String,
    /// Schema version of the body.
    pub schema_version: u32,
    /// Revision of the last change.
    pub revision: Revision,
    /// Operator that made the last change.
    pub author: String,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Whether the record was withdrawn.
    pub is_withdrawn: bool,
    /// The specification as submitted.
    pub body: Value,
}

/// Specification of a record, converted to the current schema version.
#[derive(Clone, Debug, PartialEq)]
pub enum Spec {
    /// Specification of a service.
    Service(ServiceSpec),
    /// Specification of a job.
    Job(JobSpec),
    /// Specification of a watch.
    Watch(WatchSpec),
    /// Specification of a team.
    Team(TeamSpec),
}

/// Specification of a request service, schema version 2.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Timeout of requests that do not set one, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Whether all methods are idempotent; if absent, derived from the request's method.
    #[serde(default)]
    pub is_idempotent: Option<bool>,
    /// Whether urgent idempotent requests may be hedged.
    #[serde(default)]
    pub is_hedged: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceSpecV1 {
    timeout_ms: u64,
}

/// Specification of a batch job, schema version 2.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared CPU usage of a task, in millicores.
    pub cpu_milli: u64,
    /// Declared memory usage of a task, in MiB.
    pub memory_mib: u64,
    /// Accelerators per task.
    #[serde(default)]
    pub accelerators: u64,
    /// Declared run time of a task, in milliseconds.
    pub run_ms: u64,
    /// Team that the job is charged to.
    pub team: TeamName,
    /// RFC 9218 urgency, 0 (most urgent) to 7.
    #[serde(default = "default_urgency")]
    pub urgency: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobSpecV1 {
    tasks: u32,
    cpu_milli: u64,
    memory_mib: u64,
    run_ms: u64,
    team: TeamName,
}

/// Specification of a watch, schema version 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchSpec {
    /// Prefix of the job name; the notice identifier is appended.
    pub job_prefix: JobName,
    /// Job that is started exactly once for each notice.
    pub job: JobSpec,
}

/// Specification of a team, schema version 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Fleet-wide request rate limit, in requests per second.
    pub requests_per_s: f64,
    /// Burst size of the rate limit, in requests.
    pub burst: f64,
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_urgency() -> u32 {
    crate::admission::DEFAULT_URGENCY
}

/// Parses and validates the body of a record.
///
/// # Errors
///
/// The version is not supported, or the body does not match the schema. The message names the
/// field.
pub fn parse_spec(kind: RecordKind, version: u32, body: &Value) -> Result<Spec, RecordError> {
    let spec = match (kind, version) {
        (RecordKind::Service, 1) => Spec::Service(deserialize::<ServiceSpecV1>(body)?.into()),
        (RecordKind::Service, 2) => Spec::Service(deserialize(body)?),
        (RecordKind::Job, 1) => Spec::Job(deserialize::<JobSpecV1>(body)?.into()),
        (RecordKind::Job, 2) => Spec::Job(deserialize(body)?),
        (RecordKind::Watch, 1) => Spec::Watch(deserialize(body)?),
        (RecordKind::Team, 1) => Spec::Team(deserialize(body)?),
        (kind, version) => return UnknownVersionSnafu { kind, version }.fail(),
    };
    check_spec(&spec)?;
    Ok(spec)
}

/// Validates the name of a record.
///
/// # Errors
///
/// The name is empty, too long, or contains a character other than ASCII letters, digits, `-`, `_`
/// and `.`.
pub fn check_name(name: &str) -> Result<(), RecordError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    let message =
        format!("`{name}` must be 1 to {MAX_NAME_BYTES} ASCII letters, digits, `-`, `_` or `.`");
    ensure!(is_valid, InvalidValueSnafu { field: "name", message });
    Ok(())
}

fn deserialize<T: DeserializeOwned>(body: &Value) -> Result<T, RecordError> {
    serde_path_to_error::deserialize(body)
        .map_err(|error| RecordError::Malformed { message: error.to_string() })
}

fn check_spec(spec: &Spec) -> Result<(), RecordError> {
    match spec {
        Spec::Service(service) => check_service(service),
        Spec::Job(job) => check_job(job),
        Spec::Watch(watch) => check_job(&watch.job),
        Spec::Team(team) => check_team(team),
    }
}

fn check_service(service: &ServiceSpec) -> Result<(), RecordError> {
    let is_valid = (1..=MAX_TIMEOUT_MS).contains(&service.timeout_ms);
    let message = format!("must be 1 to {MAX_TIMEOUT_MS}");
    ensure!(is_valid, InvalidValueSnafu { field: "timeout_ms", message });
    Ok(())
}

fn check_job(job: &JobSpec) -> Result<(), RecordError> {
    let message = format!("must be 1 to {MAX_TASKS}");
    ensure!((1..=MAX_TASKS).contains(&job.tasks), InvalidValueSnafu { field: "tasks", message });
    let message = format!("must be 0 to {}", crate::admission::MAX_URGENCY);
    let is_valid = job.urgency <= crate::admission::MAX_URGENCY;
    ensure!(is_valid, InvalidValueSnafu { field: "urgency", message });
    ensure!(
        !job.team.is_empty(),
        InvalidValueSnafu { field: "team", message: "must not be empty" }
    );
    Ok(())
}

fn check_team(team: &TeamSpec) -> Result<(), RecordError> {
    let is_positive = |value: f64| value.is_finite() && value > 0.0;
    let message = "must be above 0";
    ensure!(
        is_positive(team.requests_per_s),
        InvalidValueSnafu { field: "requests_per_s", message }
    );
    ensure!(is_positive(team.burst), InvalidValueSnafu { field: "burst", message });
    Ok(())
}

impl From<ServiceSpecV1> for ServiceSpec {
    fn from(old: ServiceSpecV1) -> Self {
        Self { timeout_ms: old.timeout_ms, is_idempotent: None, is_hedged: false }
    }
}

impl From<JobSpecV1> for JobSpec {
    fn from(old: JobSpecV1) -> Self {
        Self {
            tasks: old.tasks,
            cpu_milli: old.cpu_milli,
            memory_mib: old.memory_mib,
            accelerators: 0,
            run_ms: old.run_ms,
            team: old.team,
            urgency: default_urgency(),
        }
    }
}
