//! Search for cells with room for waiting long-running tasks, and the rows of delegations.

use std::time::Duration;

use futures::future::join_all;
use slog::{Logger, debug, info, warn};
use teaseltrack::cell::{
    delegation::{Delegation, UnplacedTasks},
    job::JobId,
    ownership::OwnerRecord,
    partition::CellId,
    protocol::TaskName,
    room_promises::{RoomRequest, distribute},
};
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Store, StoreError, Transaction, Write,
};
use tokio::time::sleep;

use crate::{
    calls::CellClients,
    constants::RETRY_DELAY,
    rows::{delegation_key, end_key, owner_notice_key},
};

/// Maximum number of stages for which cells are searched at a time.
pub const MAX_SEARCHED_STAGES: usize = 32;
/// Maximum delay between two tries to store a delegation.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Result of a search.
#[derive(Clone, Debug, Default)]
pub struct FoundCells {
    /// Tasks with the cells that have promised room for them.
    pub tasks: Vec<(TaskName, CellId)>,
    /// Number of tasks for which room was sought.
    pub sought_count: usize,
    /// Number of cells that responded.
    pub response_count: usize,
}

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

/// Asks all of `cells` at the same time for room for waiting tasks, so that one without a response
/// doesn't delay the others. Tasks without room anywhere are left out of the result.
pub async fn find_cells(
    cells: Vec<CellId>,
    unplaced: Vec<UnplacedTasks>,
    store: Store,
    clients: CellClients,
    logger: Logger,
) -> FoundCells {
    let requests: Vec<RoomRequest> = unplaced.iter().filter_map(RoomRequest::of).collect();
    let responses = cells.into_iter().map(async |cell| {
        match rooms_of(cell, requests.clone(), &store, &clients).await {
            Ok(rooms) => Some((cell, rooms?)),
            Err(error) => {
                warn!(logger, "failed to read a cell's owner"; "cell" => cell, "error" => %error);
                None
            }
        }
    });
    let rooms: Vec<(CellId, Vec<u32>)> = join_all(responses).await.into_iter().flatten().collect();
    let sought_count = unplaced.iter().map(|unplaced| unplaced.tasks.len()).sum();
    let response_count = rooms.len();
    FoundCells { tasks: distribute(unplaced, &rooms), sought_count, response_count }
}

/// Rooms that a cell promises for each request; `None` without a response from its owner.
async fn rooms_of(
    cell: CellId,
    requests: Vec<RoomRequest>,
    store: &Store,
    clients: &CellClients,
) -> Result<Option<Vec<u32>>, StoreError> {
    let Some(row) = store.read(&owner_notice_key(cell)).await? else { return Ok(None) };
    let record: Option<OwnerRecord> = store.parse(&row);
    let Some(record) = record else { return Ok(None) };
    let Ok(address) = record.address.parse() else { return Ok(None) };
    Ok(clients.of(cell).promise_rooms(address, cell, requests).await)
}

/// Stores committed delegations; retries until each, or a later hand-over of the same task, is known
/// to be stored. One that can't be stored doesn't delay the others.
pub async fn store_delegations(delegations: Vec<Delegation>, store: Store, logger: Logger) {
    let mut unstored = delegations;
    let mut delay = RETRY_DELAY;
    loop {
        let mut failed = Vec::new();
        for delegation in unstored {
            let Delegation { task, cell, hand_over, wait, .. } = &delegation;
            match try_store(&delegation, &store).await {
                Ok(true) => {
                    info!(logger, "task delegated"; "request_id" => &task.job, "task" => %task,
                        "to_cell" => cell, "hand_over" => hand_over,
                        "waited_ms" => wait.waited_ms);
                }
                Ok(false) => {
                    debug!(logger, "delegation was stored before"; "request_id" => &task.job,
                        "task" => %task, "to_cell" => cell, "hand_over" => hand_over);
                }
                Err(error) => {
                    warn!(logger, "failed to store a delegation; retrying";
                        "request_id" => &task.job, "task" => %task, "error" => %error);
                    failed.push(delegation);
                }
            }
        }
        if failed.is_empty() {
            return;
        }
        unstored = failed;
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Stores the ends of jobs for the other cells that have tasks of them; retries until each is stored.
pub async fn store_ends(jobs: Vec<JobId>, store: Store, logger: Logger) {
    let mut unstored = jobs;
    let mut delay = RETRY_DELAY;
    loop {
        let mut failed = Vec::new();
        for job in unstored {
            let key = end_key(&job);
            let transaction = Transaction {
                id: key.clone(),
                conditions: vec![Condition { key: key.clone(), version: 0 }],
                writes: vec![Write::put(key, &true)],
            };
            match store.commit(transaction).await {
                Ok(CommitOutcome::Committed { .. }) => {
                    info!(logger, "end of a job stored for other cells"; "request_id" => &job);
                }
                // An owner has stored it before.
                Ok(CommitOutcome::Conflict { .. }) => {}
                Err(error) => {
                    warn!(logger, "failed to store the end of a job for other cells; retrying";
                        "request_id" => &job, "error" => %error);
                    failed.push(job);
                }
            }
        }
        if failed.is_empty() {
            return;
        }
        unstored = failed;
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Stores a delegation in place of an earlier hand-over of the task; returns whether it wasn't stored
/// before.
async fn try_store(delegation: &Delegation, store: &Store) -> Result<bool, StoreError> {
    let key = delegation_key(&delegation.task);
    let is_first = delegation.hand_over == 1;
    let mut replaced = if is_first { Some(0) } else { replaced_version(delegation, store).await? };
    while let Some(version) = replaced {
        let transaction = Transaction {
            id: format!("{key}.{}.{version}", delegation.hand_over),
            conditions: vec![Condition { key: key.clone(), version }],
            writes: vec![Write::put(key.clone(), delegation)],
        };
        if let CommitOutcome::Committed { .. } = store.commit(transaction).await? {
            return Ok(true);
        }
        replaced = replaced_version(delegation, store).await?;
    }
    Ok(false)
}

/// Version of the row to replace, 0 if there is none; `None` if the stored hand-over is the same or a
/// later one.
async fn replaced_version(
    delegation: &Delegation,
    store: &Store,
) -> Result<Option<u64>, StoreError> {
    let Some(row) = store.read(&delegation_key(&delegation.task)).await? else {
        return Ok(Some(0));
    };
    // No cell accepts a row that isn't valid.
    let stored: Option<Delegation> = store.parse(&row).filter(Delegation::is_valid);
    let is_replaced = stored.is_none_or(|stored| stored.hand_over < delegation.hand_over);
    Ok(is_replaced.then_some(row.version))
}
