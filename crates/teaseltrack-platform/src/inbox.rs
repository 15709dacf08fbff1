//! Commands that operators left for a shard's owner.

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

/// A command, one row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InboxCommand {
    /// What the operator did.
    pub action: ChangeAction,
    /// The job's record after it.
    pub record: Record,
}

/// Commands that were read, with the keys of their rows.
#[derive(Clone, Debug, Default)]
pub struct InboxPage {
    /// Decisions that the commands ask for.
    pub decisions: Vec<Decision>,
    /// Rows that go once the decisions are committed.
    pub keys: Vec<String>,
}

/// Reads the commands that wait for a shard's owner.
///
/// # Errors
///
/// The store doesn't answer.
pub async fn read_inbox(store: &Store, shard: ShardNumber) -> Result<InboxPage, StoreError> {
    let rows = store.list(&keys::inbox(shard), "").await?;
    let mut page = InboxPage::default();
    for row in rows {
        let command: InboxCommand = row.parse()?;
        page.decisions.extend(decision_of(command));
        page.keys.push(row.key);
    }
    Ok(page)
}

fn decision_of(command: InboxCommand) -> Option<Decision> {
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
