//! Operators' commands queued in the table for a shard's owner.

use crate::{
    keys,
    store::{Store, StoreError},
};
use serde::{Deserialize, Serialize};
use teaseltrack::{
    ids::ShardNumber,
    journal::ChangeAction,
    record::{Record, Spec, parse_spec},
    task::Decision,
};

/// Command on a job, stored as one row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InboxCommand {
    /// Change that the operator made to the record.
    pub action: ChangeAction,
    /// The job's record after the change.
    pub record: Record,
}

/// Decisions of the queued commands, with the keys of their rows.
#[derive(Clone, Debug, Default)]
pub struct InboxPage {
    /// Decisions that implement the commands.
    pub decisions: Vec<Decision>,
    /// Keys of the rows to delete when the decisions are committed.
    pub keys: Vec<String>,
}

/// Reads the commands queued for a shard's owner.
///
/// # Errors
///
/// The store is unavailable, or a command can't be parsed.
pub async fn read_inbox(store: &Store, shard: ShardNumber) -> Result<InboxPage, StoreError> {
    let rows = store.list(&keys::inbox(shard), "").await?;
    let mut page = InboxPage::default();
    for row in rows {
        let command: InboxCommand = row.parse()?;
        page.decisions.extend(into_decision(command));
        page.keys.push(row.key);
    }
    Ok(page)
}

fn into_decision(command: InboxCommand) -> Option<Decision> {
    let InboxCommand { action, record } = command;
    let (job, revision) = (record.name, record.revision);
    if action == ChangeAction::Withdraw {
        return Some(Decision::JobCancelled { job, revision });
    }
    let Ok(Spec::Job(spec)) = parse_spec(record.kind, record.schema_version, &record.body) else {
        return None;
    };
    Some(match action {
        ChangeAction::Submit => Decision::JobAdded { job, revision, spec },
        _ => Decision::JobAmended { job, revision, spec },
    })
}
