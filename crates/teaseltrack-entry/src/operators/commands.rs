//! Commands: submit, amend and withdraw records, and fire watches.
//!
//! A command is one conditional transaction that writes the record, its entry in the configuration's
//! journal and, for a job, the command that waits for the shard's owner. Of two operators who change
//! the same record one is refused and told the current revision and its author.

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

/// Time after which a command without an answer from the store is told to be unknown.
const GIVE_UP: Duration = Duration::from_secs(5);
/// Tries of a command whose stream others append to.
const MAX_TRIES: u32 = 20;
/// Most wait between such tries.
const MAX_RACE_WAIT: Duration = Duration::from_millis(40);
/// Time for a shard's owner to be woken.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// What commands need.
#[derive(Clone)]
pub struct CommandContext {
    /// The store.
    pub store: Store,
    /// Clock.
    pub clock: SharedClock,
    /// The node.
    pub node: NodeHandle,
    /// Clients of control calls.
    pub clients: ControlClients,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRequest {
    /// Submit, amend or withdraw.
    pub action: ChangeAction,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Its name.
    pub name: String,
    /// The operator.
    pub author: String,
    /// The revision that the operator saw; absent for a submission.
    pub seen_revision: Option<Revision>,
    /// The new body; absent for a withdrawal.
    pub submitted: Option<SubmittedRecord>,
}

/// Why a try of a change didn't take effect.
enum ChangeFailure {
    Refused(Problem),
    Raced,
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
    /// Carries out a change.
    ///
    /// # Errors
    ///
    /// Bad input, a record that exists already or doesn't, a revision that others changed, or a store
    /// that doesn't answer, which leaves the outcome unknown.
    pub async fn change(&self, request: ChangeRequest) -> Result<Record, Problem> {
        check(&request)?;
        self.change_with(&request, Vec::new(), Vec::new()).await
    }

    /// Starts a watch's job for a notice, once for each notice.
    ///
    /// # Errors
    ///
    /// As [`Self::change`]; a notice that was acted on already is [`ErrorKind::AlreadyExists`].
    pub async fn notify(&self, watch: &str, notice: &str, author: &str) -> Result<Record, Problem> {
        check_name(notice).map_err(|error| invalid(format!("notice: {error}")))?;
        let held = self.read(RecordKind::Watch, watch).await.map_err(unavailable)?;
        let held = held.map(|(record, _)| record).filter(|record| !record.is_withdrawn);
        let Some(held) = held else { return Err(missing(RecordKind::Watch, watch)) };
        let spec = parse_spec(held.kind, held.schema_version, &held.body);
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
            seen_revision: None,
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
                    self.put_in_force(&record).await;
                    return Ok(record);
                }
                Err(ChangeFailure::Refused(problem)) => return Err(problem),
                Err(ChangeFailure::Raced) => {
                    let wait = MAX_RACE_WAIT.mul_f64(rand::rng().random::<f64>());
                    sleep(wait).await;
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
        let held = self.read(request.kind, &request.name).await?;
        let version = held.as_ref().map_or(0, |(_, version)| *version);
        let held = held.map(|(record, _)| record);
        check_held(request, held.as_ref())?;
        let record = self.record_after(request, held, stream.head().sequence + 1);
        let key = keys::record(record.kind, &record.name);
        let mut append = Append {
            author: request.author.clone(),
            body: EntryBody::Change { action: request.action, record: record.clone() },
            epoch: 0,
            owner: None,
            conditions,
            writes,
            retry_deadline: Some(self.clock.now() + GIVE_UP),
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
            AppendOutcome::Conflict { key: lost } if lost.starts_with("notice/") => {
                let detail = format!("{lost}: acted on already");
                Err(Problem::new(ErrorKind::AlreadyExists, detail).into())
            }
            AppendOutcome::HeadMoved | AppendOutcome::Conflict { .. } => Err(ChangeFailure::Raced),
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
        held: Option<Record>,
        revision: Revision,
    ) -> Record {
        let (schema_version, body) = match (&request.submitted, held) {
            (Some(submitted), _) => (submitted.schema_version, submitted.body.clone()),
            (None, Some(held)) => (held.schema_version, held.body),
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

    /// Makes a committed change known at once; whoever misses it learns of it by digest.
    async fn put_in_force(&self, record: &Record) {
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

fn missing(kind: RecordKind, name: &str) -> Problem {
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

/// Checks the request against the record that is held.
fn check_held(request: &ChangeRequest, held: Option<&Record>) -> Result<(), Problem> {
    let (kind, name) = (request.kind, &request.name);
    if request.action == ChangeAction::Submit {
        // A job's name stands for its tasks and is never given twice.
        let is_free = held.is_none_or(|held| held.is_withdrawn && kind != RecordKind::Job);
        let Some(held) = held.filter(|_| !is_free) else { return Ok(()) };
        return Err(Problem::new(ErrorKind::AlreadyExists, describe(held)));
    }
    let Some(held) = held.filter(|held| !held.is_withdrawn) else {
        return Err(missing(kind, name));
    };
    if request.seen_revision == Some(held.revision) {
        return Ok(());
    }
    Err(Problem::new(ErrorKind::RevisionConflict, describe(held)))
}

fn describe(held: &Record) -> String {
    let Record { kind, name, revision, author, .. } = held;
    format!("{} {name} is at revision {revision} by {author}", kind.as_str())
}
