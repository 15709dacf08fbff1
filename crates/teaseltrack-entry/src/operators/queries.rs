//! Queries: records, jobs, fleet status and decision history.

use teaseltrack::{
    journal::{CONFIGURATION_STREAM, EntryBody, JournalEntry, SealedEntry},
    outcome::ErrorKind,
    record::{Record, RecordKind},
    shard::{Job, SHARD_COUNT, TaskCounts, shard_of, stream_of},
};
use teaseltrack_daemon::problem::Problem;
use teaseltrack_node::node::NodeHandle;
use teaseltrack_platform::{
    history::read_entries,
    keys,
    shard_state::load_shard,
    store::{Row, Store, StoreError},
};
use teaseltrack_wire::operators::{ExplainedDecision, FleetStatus, HistoryPage, JobView};

fn unavailable(error: &StoreError) -> Problem {
    Problem::new(ErrorKind::StoreUnavailable, error.to_string())
}

fn not_found(detail: String) -> Problem {
    Problem::new(ErrorKind::NotFound, detail)
}

/// Fleet membership as seen by this entry.
pub fn fleet_status(node: &NodeHandle) -> FleetStatus {
    FleetStatus {
        revision: node.configuration().revision(),
        members: node.members().as_ref().clone(),
    }
}

/// Lists the records of a kind, or of all kinds.
///
/// # Errors
///
/// The store is unavailable.
pub async fn list_records(store: &Store, kind: Option<RecordKind>) -> Result<Vec<Record>, Problem> {
    let prefix = kind.map_or("record/".to_owned(), keys::records);
    let rows = store.list_all(&prefix).await.map_err(|error| unavailable(&error))?;
    let records: Result<Vec<Record>, StoreError> = rows.iter().map(Row::parse).collect();
    records.map_err(|error| unavailable(&error))
}

/// Reads a record.
///
/// # Errors
///
/// The record doesn't exist, or the store is unavailable.
pub async fn show_record(store: &Store, kind: RecordKind, name: &str) -> Result<Record, Problem> {
    let row = store.read(&keys::record(kind, name)).await.map_err(|error| unavailable(&error))?;
    let row = row.ok_or_else(|| not_found(format!("{} {name} doesn't exist", kind.as_str())))?;
    row.parse().map_err(|error| unavailable(&error))
}

/// Reads a job and its tasks, as of its shard's journal.
///
/// # Errors
///
/// The job has no tasks, or the store is unavailable.
pub async fn show_job(store: &Store, name: &str) -> Result<JobView, Problem> {
    let shard = shard_of(name);
    let loaded = load_shard(store, shard).await.map_err(|error| unavailable(&error))?;
    let job = loaded.state.jobs().get(name);
    let Job { is_cancelled, tasks, .. } =
        job.ok_or_else(|| not_found(format!("job {name} has no tasks yet")))?;
    Ok(JobView {
        job: name.to_owned(),
        shard,
        is_cancelled: *is_cancelled,
        counts: TaskCounts::of(tasks),
        tasks: tasks.clone(),
    })
}

/// Lists the names of all streams.
pub fn list_streams() -> Vec<String> {
    std::iter::once(CONFIGURATION_STREAM.to_owned())
        .chain((0..SHARD_COUNT).map(stream_of))
        .collect()
}

/// Reads a page of a stream's entries after a sequence number.
///
/// # Errors
///
/// The stream doesn't exist, or the store is unavailable.
pub async fn history(store: &Store, stream: &str, after: u64) -> Result<HistoryPage, Problem> {
    if !list_streams().iter().any(|existing| existing == stream) {
        return Err(not_found(format!("stream: {stream} doesn't exist")));
    }
    let entries = read_entries(store, stream, after).await.map_err(|error| unavailable(&error))?;
    Ok(HistoryPage { stream: stream.to_owned(), entries })
}

/// Reads all decisions on a job, oldest first.
///
/// # Errors
///
/// The store is unavailable, or an entry can't be parsed.
pub async fn explain_job(store: &Store, job: &str) -> Result<Vec<ExplainedDecision>, Problem> {
    let stream = stream_of(shard_of(job));
    let mut explained = Vec::new();
    let mut after = 0;
    loop {
        let page = history(store, &stream, after).await?;
        let Some(last) = page.entries.last() else { return Ok(explained) };
        after = parse_entry(last)?.sequence;
        for sealed in &page.entries {
            explained.extend(decisions_about(job, parse_entry(sealed)?));
        }
    }
}

fn parse_entry(sealed: &SealedEntry) -> Result<JournalEntry, Problem> {
    sealed.open().map_err(|error| Problem::new(ErrorKind::Internal, error.to_string()))
}

fn decisions_about(job: &str, entry: JournalEntry) -> Vec<ExplainedDecision> {
    let JournalEntry { sequence, at_ms, author, body, .. } = entry;
    let EntryBody::Decisions(decisions) = body else { return Vec::new() };
    decisions
        .into_iter()
        .filter(|decision| decision.job() == job)
        .map(|decision| ExplainedDecision { sequence, at_ms, author: author.clone(), decision })
        .collect()
}
