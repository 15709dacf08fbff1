//! Long polls without a response.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use futures::future::BoxFuture;
use teaseltrack::{
    cell::partition::{CellEntry, Partition},
    clock::SystemClock,
};
use teaseltrack_cell::{
    calls::KnownOwners,
    configuration::{ConfigurationSource, follow_configuration},
    constants::MAX_CHANGES_WAIT,
    entry::follow_cells,
    owner::loader::follow_jobs,
};
use teaseltrack_daemon::logs::silent;
use teaseltrack_platform::store::{
    ChangePage, Row, Store, StoreBudget, StoreCall, StoreError, StoreReply,
};
use tokio::{
    sync::{mpsc, watch},
    time::{self, sleep},
};

const VERSION: u64 = 7;

/// Requested waits of the calls for changes, in milliseconds.
type Waits = Arc<Mutex<Vec<u64>>>;

/// Store without changes, of whose long polls the second one gets no response.
fn store_with_a_lost_poll(waits: &Waits) -> Store {
    let waits = waits.clone();
    let partition = Partition { cells: vec![CellEntry { zone: None, worker_count: 1 }] };
    let value = serde_json::to_string(&partition).unwrap();
    let adapter = Arc::new(move |call| -> BoxFuture<'static, Result<StoreReply, StoreError>> {
        let StoreCall::Changes { wait_ms, .. } = call else {
            let row = Row { key: "a/row".to_owned(), version: 1, value: value.clone() };
            let is_version = matches!(call, StoreCall::Version { .. });
            let reply =
                if is_version { StoreReply::Version(VERSION) } else { StoreReply::Rows(vec![row]) };
            return Box::pin(async move { Ok(reply) });
        };
        let count = {
            let mut waits = waits.lock().unwrap();
            waits.push(wait_ms);
            waits.len()
        };
        Box::pin(async move {
            sleep(Duration::from_millis(wait_ms)).await;
            if count == 2 {
                sleep(Duration::from_millis(700)).await;
                return Err(StoreError::Unavailable { message: "no response".to_owned() });
            }
            Ok(StoreReply::Changes(ChangePage { version: VERSION, ..ChangePage::default() }))
        })
    });
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    Store::new(adapter, budget, Arc::new(SystemClock))
}

async fn assert_asks_at_once(waits: &Waits) {
    let deadline = time::Instant::now() + Duration::from_secs(20);
    while waits.lock().unwrap().len() < 4 {
        assert!(time::Instant::now() < deadline, "the table isn't followed");
        sleep(Duration::from_millis(10)).await;
    }
    let long = MAX_CHANGES_WAIT.as_millis() as u64;
    assert_eq!(waits.lock().unwrap()[..4], [long, long, 0, long]);
}

/// Guards against an entry that counts as not ready, after a lost response, for as long as its next long poll
/// finds no change.
#[tokio::test(start_paused = true)]
async fn follow_cells_asks_at_once_after_a_lost_response() {
    let waits = Waits::default();
    let (partition, _partition) = watch::channel(None);
    let (owners, _owners) = watch::channel(KnownOwners::default());
    let store = store_with_a_lost_poll(&waits);
    let follower = tokio::spawn(follow_cells(store, partition, owners, silent()));
    assert_asks_at_once(&waits).await;
    follower.abort();
}

/// Guards against cancellations that reach the owner late: a second long poll on a silent connection takes as
/// long as the first one.
#[tokio::test(start_paused = true)]
async fn follow_jobs_asks_at_once_after_a_lost_response() {
    let waits = Waits::default();
    let (sender, mut changes) = mpsc::channel(16);
    let store = store_with_a_lost_poll(&waits);
    let follower = tokio::spawn(follow_jobs(0, store, VERSION, sender, SystemTime::now, silent()));
    tokio::spawn(async move { while changes.recv().await.is_some() {} });
    assert_asks_at_once(&waits).await;
    follower.abort();
}

/// Guards against the same for the configuration.
#[tokio::test(start_paused = true)]
async fn follow_configuration_asks_at_once_after_a_lost_response() {
    let waits = Waits::default();
    let (sender, _receiver) = watch::channel(None);
    let source = ConfigurationSource {
        table: "a".to_owned(),
        key: "a/row".to_owned(),
        decode: Arc::new(|_: &str| Ok(Instant::now())),
        version: |_| VERSION,
    };
    let store = store_with_a_lost_poll(&waits);
    let follower = tokio::spawn(follow_configuration(store, source, sender, silent()));
    assert_asks_at_once(&waits).await;
    follower.abort();
}
