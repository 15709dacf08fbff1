//! A cell whose owner's row has been overwritten by another writer.

mod util;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use teaseltrack::{
    cell::ownership::{OwnerRecord, OwnershipSettings},
    clock::SystemClock,
};
use teaseltrack_cell::{
    calls::KnownOwner,
    candidate::Candidate,
    constants::cell_settings,
    local_owner::LocalOwner,
    owner::OwnerContext,
    rows::{owner_key, owner_notice_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use util::{Rows, operator_source, store};

/// Texts that aren't the record of an owner.
const ODD_RECORDS: [&str; 6] = [
    "",
    "[1]",
    "{\"epoch\":\"7\"}",
    "{\"epoch\":7,\"owner\":5,\"address\":\"\",\"started_unix_ms\":1,\"sequence\":1}",
    "{\"epoch\":18446744073709551615,\"owner\":\"a\",\"address\":\"\",\"started_unix_ms\":1,\"sequence\":1}",
    "{\"epoch\":7,\"owner\":\"a\",\"address\":\"\",\"started_unix_ms\":1,\"sequence\":18446744073709551615}",
];

fn candidate(rows: &Arc<Mutex<Rows>>) -> Candidate {
    Candidate {
        instance: "instance-1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        started_unix_ms: 2,
        context: OwnerContext {
            cell_id: 0,
            cell_count: 1,
            store: store(rows),
            clock: Arc::new(SystemClock),
            wall_now: SystemTime::now,
            cell: cell_settings(Duration::from_millis(100), None),
            ownership: OwnershipSettings {
                takeover_timeout: Duration::from_millis(300),
                grant_period: Duration::from_secs(1),
            },
            operator: operator_source(),
            mailbox: watch::channel(None).0,
            local_owner: LocalOwner::new("instance-1".to_owned(), Arc::new(SystemClock)),
            logger: silent(),
            metrics: Metrics::scrape_only(),
        },
        known_owner: watch::channel(KnownOwner::default()).0,
    }
}

fn text(epoch: u64) -> String {
    let record = OwnerRecord { epoch, owner: "instance-9".to_owned(), ..OwnerRecord::default() };
    serde_json::to_string(&record).expect("serializable")
}

/// Waits until the cell has an owner of the epoch.
async fn wait_for_epoch(rows: &Arc<Mutex<Rows>>, epoch: u64) -> bool {
    let store = store(rows);
    let is_owned = async {
        loop {
            let row = store.read(&owner_key(0)).await.expect("a response").expect("a row");
            if row.parse::<OwnerRecord>().is_ok_and(|record| record.epoch == epoch) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), is_owned).await.is_ok()
}

/// Guards against a cell that has no owner ever again: candidates failed to read the row, and the owner
/// repeated a commit that couldn't succeed.
#[tokio::test]
async fn cell_gets_an_owner_after_its_row_was_overwritten() {
    let mut runs = Vec::new();
    for odd in ODD_RECORDS {
        runs.push(tokio::spawn(async move {
            let rows = Arc::new(Mutex::new(Rows::default()));
            rows.lock().unwrap().put(&owner_notice_key(0), &text(7));
            rows.lock().unwrap().put(&owner_key(0), odd);
            let (_contact, contact) = watch::channel(None);
            let closing = CancellationToken::new();
            let running = tokio::spawn(candidate(&rows).run(contact, closing.clone()));
            assert!(wait_for_epoch(&rows, 8).await, "no owner at the start: {odd}");
            // The owner runs, and learns of the row by its next commit.
            rows.lock().unwrap().put(&owner_key(0), odd);
            assert!(wait_for_epoch(&rows, 9).await, "no owner later: {odd}");
            assert!(!running.is_finished());
            closing.cancel();
        }));
    }
    for run in runs {
        run.await.expect("no panic");
    }
}

/// Guards against an owner with the number of an earlier one, which agents wouldn't obey: without any
/// record of the last epoch, the row is left alone.
#[tokio::test]
async fn cell_gets_no_owner_of_an_unknown_epoch() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    rows.lock().unwrap().put(&owner_key(0), "not JSON");
    let (_contact, contact) = watch::channel(None);
    let closing = CancellationToken::new();
    tokio::spawn(candidate(&rows).run(contact, closing.clone()));
    sleep(Duration::from_secs(2)).await;
    assert_eq!(rows.lock().unwrap().write_count(&owner_key(0)), 1);
    closing.cancel();
}
