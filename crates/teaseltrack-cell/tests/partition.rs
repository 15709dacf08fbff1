//! Decision of the fleet's partition by instances that start together, with a store that loses
//! responses, and with an unreadable partition.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use teaseltrack::{cell::partition::Partition, clock::SystemClock};
use teaseltrack_cell::{
    constants::PARTITION_LIMITS,
    partition::{join_partition, wait_for_partition},
    rows::PARTITION_KEY,
};
use teaseltrack_daemon::logs::silent;
use teaseltrack_platform::store::{
    CommitOutcome, Row, Store, StoreBudget, StoreCall, StoreError, StoreReply, Transaction,
};
use tokio::time::{sleep, timeout};

/// Rows of a simulated store, by key.
#[derive(Debug, Default)]
struct Rows {
    values: BTreeMap<String, (u64, String)>,
    version: u64,
    partition_writes: u32,
    /// Number of responses to commits still to lose.
    lost_responses: u32,
}

impl Rows {
    fn commit(&mut self, transaction: Transaction) -> Result<StoreReply, StoreError> {
        for condition in transaction.conditions {
            let version = self.values.get(&condition.key).map_or(0, |(version, _)| *version);
            if version != condition.version {
                return Ok(StoreReply::Commit(CommitOutcome::Conflict { key: condition.key }));
            }
        }
        self.version += 1;
        for write in transaction.writes {
            self.partition_writes += u32::from(write.key == PARTITION_KEY);
            self.values.insert(write.key, (self.version, write.value.expect("a value")));
        }
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return Err(StoreError::Unavailable { message: "response lost".to_owned() });
        }
        Ok(StoreReply::Commit(CommitOutcome::Committed { version: self.version }))
    }

    fn rows(&self, is_included: impl Fn(&str) -> bool) -> StoreReply {
        let rows = self.values.iter().filter(|(key, _)| is_included(key));
        let row = |(key, (version, value)): (&String, &(u64, String))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        };
        StoreReply::Rows(rows.map(row).collect())
    }

    fn call(&mut self, call: StoreCall) -> Result<StoreReply, StoreError> {
        match call {
            StoreCall::Read { key } => Ok(self.rows(|other| other == key)),
            StoreCall::List { prefix, after, .. } => {
                Ok(self.rows(|key| key.starts_with(&prefix) && *key > *after))
            }
            StoreCall::Commit(transaction) => self.commit(transaction),
            other => panic!("unexpected call: {other:?}"),
        }
    }
}

fn store(rows: &Arc<Mutex<Rows>>) -> Store {
    let rows = rows.clone();
    let adapter = Arc::new(move |call| {
        let rows = rows.clone();
        let responding: futures::future::BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(4)).await;
            rows.lock().unwrap().call(call)
        });
        responding
    });
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    Store::new(adapter, budget, Arc::new(SystemClock))
}

/// Starts `count` instances in five availability zones; returns the partition that each one uses.
async fn start_instances(rows: &Arc<Mutex<Rows>>, count: usize) -> Vec<Partition> {
    let join = async |number: usize| {
        let (instance, zone) = (format!("instance-{number}"), format!("zone-{}", number % 5));
        sleep(Duration::from_millis(number as u64 % 300)).await;
        join_partition(&store(rows), &instance, &zone, PARTITION_LIMITS, &silent()).await
    };
    join_all((0..count).map(join)).await
}

#[tokio::test(start_paused = true)]
async fn join_partition_of_a_large_fleet_is_decided_once() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let partitions = start_instances(&rows, 240).await;
    assert_eq!(partitions[0].cells.len(), 5);
    assert!(partitions.iter().all(|partition| *partition == partitions[0]));
    assert_eq!(rows.lock().unwrap().partition_writes, 1);
}

#[tokio::test(start_paused = true)]
async fn join_partition_survives_lost_responses() {
    let rows = Arc::new(Mutex::new(Rows { lost_responses: 30, ..Rows::default() }));
    let partitions = start_instances(&rows, 20).await;
    assert_eq!(partitions[0].cells.len(), 1);
    assert!(partitions.iter().all(|partition| *partition == partitions[0]));
    assert_eq!(rows.lock().unwrap().partition_writes, 1);
}

/// A process that starts after the fleet uses the stored partition, whatever the fleet's size now.
#[tokio::test(start_paused = true)]
async fn join_partition_uses_the_stored_one() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let first = start_instances(&rows, 11).await;
    let later = start_instances(&rows, 200).await;
    assert!(later.iter().all(|partition| *partition == first[0]));
}

#[tokio::test(start_paused = true)]
async fn wait_for_partition_ignores_an_unreadable_row() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let (store, logger) = (store(&rows), silent());
    let unreadable = ["not JSON", "{\"cells\":[]}", "{\"cells\":[{\"worker_count\":0}]}", "[1]"];
    for value in unreadable {
        rows.lock().unwrap().values.insert(PARTITION_KEY.to_owned(), (1, value.to_owned()));
        let waiting = timeout(Duration::from_secs(5), wait_for_partition(&store, &logger));
        assert!(waiting.await.is_err(), "{value} was accepted");
    }
    let valid = "{\"cells\":[{\"worker_count\":3}]}".to_owned();
    rows.lock().unwrap().values.insert(PARTITION_KEY.to_owned(), (2, valid));
    assert_eq!(wait_for_partition(&store, &logger).await.cells[0].worker_count, 3);
}
