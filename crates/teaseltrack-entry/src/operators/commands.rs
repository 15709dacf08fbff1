//! Commands: submit, amend and withdraw records, and notify watches.
//!
//! A command is one conditional transaction that writes the record, its entry in the configuration
//! journal and, for a job, the command queued for the shard's owner. If two operators change the
//! same record concurrently, one is refused with the current revision and its author.

use std::time::Duration;

use rand::RngExt;
use serde_json::Value;
use teaseltrack::{
    clock::{SharedClock, unix_ms},
    ids::Revision,
    journal::{CONFIGURATION_STREAM, ChangeAction, EntryBody, StreamHead},
    outcome::ErrorKind,
    record::{Record, RecordKind, Spec, check_name, parse_spec},
    shard::{shard_of, stream_of},
};
use teaseltrack_daemon::problem::Problem;
use teaseltrack_node::{
    clients::{ControlClients, context_with_timeout},
    configuration::poll_changes,
    gossip::push_updates,
    node::NodeHandle,
};
use teaseltrack_platform::{
    inbox::InboxCommand,
    keys,
    store::{Condition, Row, Store, StoreError, Write},
    stream::{Append, AppendOutcome, Stream},
};
use teaseltrack_wire::operators::SubmittedRecord;
use tokio::time::sleep;

/// Time after which a command without a response from the store is reported as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum tries of a command that conflicts with other appends to the stream.
const MAX_TRIES: u32 = 20;
/// Maximum backoff after a conflict.
const MAX_CONFLICT_BACKOFF: Duration = Duration::from_millis(40);
/// Timeout for notifying a shard's owner of a queued command.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Dependencies of commands.
#[derive(Clone)]
pub struct CommandContext {
    /// Client of the platform's store.
    pub store: Store,
    /// Time source.
    pub clock: SharedClock,
    /// Node, which provides the active configuration.
    pub node: NodeHandle,
    /// Clients of control calls.
    pub clients: ControlClients,
}

/// Change requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    /// Kind of the change.
    pub action: ChangeAction,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
    /// Operator who requested the change.
    pub author: String,
    /// Revision that the change is based on; absent for a submission.
    pub expected_revision: Option<Revision>,
    /// New body of the record; absent for a withdrawal.
    pub submitted: Option<SubmittedRecord>,
}

/// Failure of one try of a change.
enum ChangeFailure {
    Refused(Problem),
    Conflicted,
}

impl From<Problem> for ChangeFailure {
    fn from(problem: Problem) -> Self {
        Self::Refused(problem)
    }
}

impl From<StoreError> for ChangeFailure {
    fn from(error: StoreError) -> Self {
        Self::Refused(Problem::new(ErrorKind::StoreUnavailable, error.to_string()))
    }
}

impl CommandContext {
    /// Executes a change.
    ///
    /// # Errors
    ///
    /// Invalid input, a record that already exists or doesn't exist, a revision conflict, or an
    /// unavailable store, in which case the outcome is unknown.
    pub async fn change(&self, request: ChangeRequest) -> Result<Record, Problem> {
        check(&request)?;
        self.change_with(&request, Vec::new(), Vec::new()).await
    }

    /// Starts the job of a watch exactly once for each notice.
    ///
    /// # Errors
    ///
    /// As [`Self::change`]; [`ErrorKind::AlreadyExists`] if the notice was already processed.
    pub async fn notify(&self, watch: &str, notice: &str, author: &str) -> Result<Record, Problem> {
        check_name(notice).map_err(|error| invalid(format!("notice: {error}")))?;
        let current = self.read(RecordKind::Watch, watch).await.map_err(unavailable)?;
        let current = current.map(|(record, _)| record).filter(|record| !record.is_withdrawn);
        let Some(current) = current else { return Err(not_found(RecordKind::Watch, watch)) };
        let spec = parse_spec(current.kind, current.schema_version, &current.body);
        let Ok(Spec::Watch(spec)) = spec else {
            return Err(Problem::new(ErrorKind::Internal, format!("watch {watch} can't be read")));
        };
        let body = serde_json::to_value(&spec.job)
            .map_err(|error| Problem::new(ErrorKind::Internal, error.to_string()))?;
        let request = ChangeRequest {
            action: ChangeAction::Submit,
            kind: RecordKind::Job,
            name: format!("{}{notice}", spec.job_prefix),
            author: author.to_owned(),
            expected_revision: None,
            submitted: Some(SubmittedRecord { schema_version: 2, body }),
        };
        check(&request)?;
        let key = keys::notice(watch, notice);
        let conditions = vec![Condition { key: key.clone(), version: 0 }];
        let writes = vec![Write::put(key, &request.name)];
        self.change_with(&request, conditions, writes).await
    }

    async fn change_with(
        &self,
        request: &ChangeRequest,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Record, Problem> {
        for _ in 0..MAX_TRIES {
            match self.try_change(request, conditions.clone(), writes.clone()).await {
                Ok(record) => {
                    self.propagate(&record).await;
                    return Ok(record);
                }
                Err(ChangeFailure::Refused(problem)) => return Err(problem),
                Err(ChangeFailure::Conflicted) => {
                    let backoff = MAX_CONFLICT_BACKOFF.mul_f64(rand::rng().random::<f64>());
                    sleep(backoff).await;
                }
            }
        }
        Err(Problem::new(
            ErrorKind::RevisionConflict,
            "too many operators at once; nothing changed",
        ))
    }

    async fn try_change(
        &self,
        request: &ChangeRequest,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<Record, ChangeFailure> {
        let mut stream = Stream::open(&self.store, CONFIGURATION_STREAM).await?;
        let current = self.read(request.kind, &request.name).await?;
        let version = current.as_ref().map_or(0, |(_, version)| *version);
        let current = current.map(|(record, _)| record);
        check_current(request, current.as_ref())?;
        let record = self.record_after(request, current, stream.head().sequence + 1);
        let key = keys::record(record.kind, &record.name);
        let mut append = Append {
            author: request.author.clone(),
            body: EntryBody::Change { action: request.action, record: record.clone() },
            epoch: 0,
            owner: None,
            conditions,
            writes,
            retry_deadline: Some(self.clock.now() + COMMIT_TIMEOUT),
        };
        append.conditions.push(Condition { key: key.clone(), version });
        append.writes.push(Write::put(key.clone(), &record));
        if record.kind == RecordKind::Job {
            let shard = shard_of(&record.name);
            let command = InboxCommand { action: request.action, record: record.clone() };
            append.writes.push(Write::put(keys::inbox_command(shard, record.revision), &command));
        }
        match stream.append(&self.store, &self.clock, append).await? {
            AppendOutcome::Committed(_) => Ok(record),
            AppendOutcome::Conflict { key: conflicting_key }
                if conflicting_key.starts_with("notice/") =>
            {
                let detail = format!("{conflicting_key}: acted on already");
                Err(Problem::new(ErrorKind::AlreadyExists, detail).into())
            }
            AppendOutcome::HeadMoved | AppendOutcome::Conflict { .. } => {
                Err(ChangeFailure::Conflicted)
            }
        }
    }

    async fn read(
        &self,
        kind: RecordKind,
        name: &str,
    ) -> Result<Option<(Record, u64)>, StoreError> {
        let row = self.store.read(&keys::record(kind, name)).await?;
        row.map(|row| Ok((row.parse()?, row.version))).transpose()
    }

    fn record_after(
        &self,
        request: &ChangeRequest,
        current: Option<Record>,
        revision: Revision,
    ) -> Record {
        let (schema_version, body) = match (&request.submitted, current) {
            (Some(submitted), _) => (submitted.schema_version, submitted.body.clone()),
            (None, Some(current)) => (current.schema_version, current.body),
            (None, None) => (0, Value::Null),
        };
        Record {
            kind: request.kind,
            name: request.name.clone(),
            schema_version,
            revision,
            author: request.author.clone(),
            changed_at_ms: unix_ms(self.clock.wall_now()),
            is_withdrawn: request.action == ChangeAction::Withdraw,
            body,
        }
    }

    /// Notifies the shard's owner of a queued command and pushes a committed change to peers;
    /// processes that miss the push detect the change by comparing digests.
    async fn propagate(&self, record: &Record) {
        if record.kind == RecordKind::Job {
            let context = self.clone();
            let shard = shard_of(&record.name);
            tokio::spawn(async move { context.wake_owner(shard).await });
        }
        if poll_changes(&self.node, &self.store).await.unwrap_or(false) {
            let (node, clients) = (self.node.clone(), self.clients.clone());
            tokio::spawn(async move { push_updates(&node, &clients).await });
        }
    }

    async fn wake_owner(&self, shard: teaseltrack::ids::ShardNumber) -> Option<()> {
        let row = self.store.read(&keys::head(&stream_of(shard))).await.ok()??;
        let head: StreamHead = Row::parse(&row).ok()?;
        let address = head.owner?.control_address.parse().ok()?;
        let client = self.clients.client(address).await.ok()?;
        if client.wake_shard(context_with_timeout(WAKE_TIMEOUT), shard).await.is_err() {
            self.clients.remove(address);
        }
        Some(())
    }
}

fn invalid(detail: impl Into<String>) -> Problem {
    Problem::new(ErrorKind::InvalidInput, detail)
}

#[allow(clippy::needless_pass_by_value)]
fn unavailable(error: StoreError) -> Problem {
    Problem::new(ErrorKind::StoreUnavailable, error.to_string())
}

fn not_found(kind: RecordKind, name: &str) -> Problem {
    Problem::new(ErrorKind::NotFound, format!("{} {name} doesn't exist", kind.as_str()))
}

fn check(request: &ChangeRequest) -> Result<(), Problem> {
    check_name(&request.name).map_err(|error| invalid(error.to_string()))?;
    if request.author.is_empty() {
        return Err(invalid("x-author: must name the operator"));
    }
    if let Some(submitted) = &request.submitted {
        parse_spec(request.kind, submitted.schema_version, &submitted.body)
            .map_err(|error| invalid(error.to_string()))?;
    }
    Ok(())
}

/// Checks the request against the current record.
fn check_current(request: &ChangeRequest, current: Option<&Record>) -> Result<(), Problem> {
    let (kind, name) = (request.kind, &request.name);
    if request.action == ChangeAction::Submit {
        // A job's name identifies its tasks and is never reused, even after a withdrawal.
        let is_free = current.is_none_or(|current| current.is_withdrawn && kind != RecordKind::Job);
        let Some(current) = current.filter(|_| !is_free) else { return Ok(()) };
        return Err(Problem::new(ErrorKind::AlreadyExists, describe(current)));
    }
    let Some(current) = current.filter(|current| !current.is_withdrawn) else {
        return Err(not_found(kind, name));
    };
    if request.expected_revision == Some(current.revision) {
        return Ok(());
    }
    Err(Problem::new(ErrorKind::RevisionConflict, describe(current)))
}

fn describe(current: &Record) -> String {
    let Record { kind, name, revision, author, .. } = current;
    format!("{} {name} is at revision {revision} by {author}", kind.as_str())
}
