//! Search for cells with room for waiting long-running tasks, and the rows of delegations.

use std::time::Duration;

use slog::{Logger, info, warn};
use teaseltrack::cell::{
    delegation::{Delegation, UnplacedTasks},
    ownership::OwnerRecord,
    partition::CellId,
    protocol::TaskName,
    quote::{Quote, StageDemand},
};
use teaseltrack_platform::store::{Condition, Store, StoreError, Transaction, Write};
use tokio::time::sleep;

use crate::{
    calls::CellClients,
    constants::RETRY_DELAY,
    rows::{delegation_key, owner_notice_key},
};

/// Maximum number of stages for which cells are searched at a time.
pub const MAX_SEARCHED_STAGES: usize = 4;
/// Maximum delay between two tries to store a delegation.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stages for the next search, in turn: those for which the last searches found no room must not
/// keep the others waiting.
pub fn next_stages(mut unplaced: Vec<UnplacedTasks>, search_number: usize) -> Vec<UnplacedTasks> {
    if !unplaced.is_empty() {
        let first = search_number.wrapping_mul(MAX_SEARCHED_STAGES) % unplaced.len();
        unplaced.rotate_left(first);
    }
    unplaced.truncate(MAX_SEARCHED_STAGES);
    unplaced
}

/// Finds cells for waiting tasks among `cells`; tasks without room anywhere are left out.
pub async fn find_cells(
    cells: Vec<CellId>,
    unplaced: Vec<UnplacedTasks>,
    store: Store,
    clients: CellClients,
    logger: Logger,
) -> Vec<(TaskName, CellId)> {
    let mut found = Vec::new();
    for UnplacedTasks { service, stage, mut tasks } in unplaced {
        for &cell in &cells {
            if tasks.is_empty() {
                break;
            }
            let stage = StageDemand { task_count: tasks.len() as u32, ..StageDemand::of(&stage) };
            match quote_of(cell, &service, stage, &store, &clients).await {
                Ok(Some(quote)) => {
                    let placeable =
                        tasks.len() - (quote.unplaceable_count as usize).min(tasks.len());
                    found.extend(tasks.drain(..placeable).map(|task| (task, cell)));
                }
                Ok(None) => {}
                Err(error) => warn!(logger, "failed to read a cell's owner"; "cell" => cell,
                    "error" => %error),
            }
        }
    }
    found
}

async fn quote_of(
    cell: CellId,
    service: &str,
    stage: StageDemand,
    store: &Store,
    clients: &CellClients,
) -> Result<Option<Quote>, StoreError> {
    let Some(row) = store.read(&owner_notice_key(cell)).await? else { return Ok(None) };
    let record: Option<OwnerRecord> = store.parse(&row);
    let Some(record) = record else { return Ok(None) };
    let Ok(address) = record.address.parse() else { return Ok(None) };
    Ok(clients.of(cell).quote(address, cell, service.to_owned(), vec![stage]).await)
}

/// Stores committed delegations; retries until each is known to be stored.
pub async fn store_delegations(delegations: Vec<Delegation>, store: Store, logger: Logger) {
    for delegation in delegations {
        let key = delegation_key(&delegation.task);
        let transaction = Transaction {
            id: key.clone(),
            conditions: vec![Condition { key: key.clone(), version: 0 }],
            writes: vec![Write::put(key, &delegation)],
        };
        let mut delay = RETRY_DELAY;
        // A conflict means that an earlier try or an earlier owner has stored the same row.
        while let Err(error) = store.commit(transaction.clone()).await {
            warn!(logger, "failed to store a delegation; retrying";
                "request_id" => &delegation.task.job, "task" => %delegation.task,
                "error" => %error);
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        info!(logger, "task delegated"; "request_id" => &delegation.task.job,
            "task" => %delegation.task, "to_cell" => delegation.cell);
    }
}
