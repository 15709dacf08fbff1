//! Records that operators submit, amend and withdraw.
//!
//! A record carries the schema version that it was written in. Each version has a type of its own and
//! stays readable; parsing turns any version into the one specification that the rest works with.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use snafu::{Snafu, ensure};

use crate::ids::{JobName, Revision, TeamName};

/// Longest name of a record, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Most tasks of one job.
const MAX_TASKS: u32 = 100_000;
/// Default time-out of a request, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Longest time-out of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordKind {
    /// A latency-critical request service.
    Service,
    /// A batch job of one or more tasks.
    Job,
    /// A standing watch that acts on notices.
    Watch,
    /// A team with its quota.
    Team,
}

impl RecordKind {
    /// Name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Job => "job",
            Self::Watch => "watch",
            Self::Team => "team",
        }
    }

    /// The kind of a name on the wire.
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Service, Self::Job, Self::Watch, Self::Team]
            .into_iter()
            .find(|kind| kind.as_str() == name)
    }
}

/// Why a record was refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum RecordError {
    /// No reader for the version.
    #[snafu(display("schema_version: {version} is unknown for a {} record", kind.as_str()))]
    UnknownVersion {
        /// Kind of the record.
        kind: RecordKind,
        /// The version that was given.
        version: u32,
    },
    /// The body doesn't follow the schema.
    #[snafu(display("body: {message}"))]
    Malformed {
        /// What was wrong, naming the field.
        message: String,
    },
    /// A field has an impossible value.
    #[snafu(display("{field}: {message}"))]
    InvalidValue {
        /// Name of the field.
        field: &'static str,
        /// Why the value is impossible.
        message: String,
    },
}

/// A record as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name, unique within the kind.
    pub name: String,
    /// Version of the schema that the body is written in.
    pub schema_version: u32,
    /// Revision of the last change.
    pub revision: Revision,
    /// Operator who made the last change.
    pub author: String,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
    /// Whether the record was withdrawn.
    pub is_withdrawn: bool,
    /// The specification as submitted.
    pub body: Value,
}

/// A record's specification, whatever version it was written in.
#[derive(Clone, Debug, PartialEq)]
pub enum Spec {
    /// Of a service.
    Service(ServiceSpec),
    /// Of a job.
    Job(JobSpec),
    /// Of a watch.
    Watch(WatchSpec),
    /// Of a team.
    Team(TeamSpec),
}

/// Specification of a request service; version 2 of its schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Time-out of a request that names none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Whether all methods are idempotent; by method if absent.
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

/// Specification of a batch job; version 2 of its schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared processor use of a task, in thousandths of a core.
    pub cpu_milli: u64,
    /// Declared memory of a task, in mebibytes.
    pub memory_mib: u64,
    /// Accelerators of a task.
    #[serde(default)]
    pub accelerators: u64,
    /// Declared run time of a task, in milliseconds.
    pub run_ms: u64,
    /// Team that pays.
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

/// Specification of a standing watch; version 1 of its schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchSpec {
    /// Prefix of the job's name; the notice's identifier is appended.
    pub job_prefix: JobName,
    /// The job that each notice starts once.
    pub job: JobSpec,
}

/// Specification of a team; version 1 of its schema.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Requests a second over the whole fleet.
    pub requests_per_s: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_urgency() -> u32 {
    crate::admission::DEFAULT_URGENCY
}

/// Parses a record's body by kind and schema version.
///
/// # Errors
///
/// An unknown version, or a body that doesn't follow the schema; both name the field.
pub fn parse_spec(kind: RecordKind, version: u32, body: &Value) -> Result<Spec, RecordError> {
    let spec = match (kind, version) {
        (RecordKind::Service, 1) => Spec::Service(read::<ServiceSpecV1>(body)?.into()),
        (RecordKind::Service, 2) => Spec::Service(read(body)?),
        (RecordKind::Job, 1) => Spec::Job(read::<JobSpecV1>(body)?.into()),
        (RecordKind::Job, 2) => Spec::Job(read(body)?),
        (RecordKind::Watch, 1) => Spec::Watch(read(body)?),
        (RecordKind::Team, 1) => Spec::Team(read(body)?),
        (kind, version) => return UnknownVersionSnafu { kind, version }.fail(),
    };
    check_spec(&spec)?;
    Ok(spec)
}

/// Checks a record's name.
///
/// # Errors
///
/// A name that is empty, too long, or has a character other than ASCII letters, digits, `-`, `_` and `.`.
pub fn check_name(name: &str) -> Result<(), RecordError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_good = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_plain);
    let message =
        format!("`{name}` must be 1 to {MAX_NAME_BYTES} ASCII letters, digits, `-`, `_` or `.`");
    ensure!(is_good, InvalidValueSnafu { field: "name", message });
    Ok(())
}

fn read<T: DeserializeOwned>(body: &Value) -> Result<T, RecordError> {
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
    let is_good = (1..=MAX_TIMEOUT_MS).contains(&service.timeout_ms);
    let message = format!("must be 1 to {MAX_TIMEOUT_MS}");
    ensure!(is_good, InvalidValueSnafu { field: "timeout_ms", message });
    Ok(())
}

fn check_job(job: &JobSpec) -> Result<(), RecordError> {
    let message = format!("must be 1 to {MAX_TASKS}");
    ensure!((1..=MAX_TASKS).contains(&job.tasks), InvalidValueSnafu { field: "tasks", message });
    let message = format!("must be 0 to {}", crate::admission::MAX_URGENCY);
    let is_good = job.urgency <= crate::admission::MAX_URGENCY;
    ensure!(is_good, InvalidValueSnafu { field: "urgency", message });
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
