//! Commits of an owner with rows that the store rejects for good.

mod util;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use teaseltrack::{
    cell::{CommitBatch, ownership::OwnerRecord, progress::JobProgress, silence::SilentWorker},
    clock::SystemClock,
};
use teaseltrack_cell::{
    owner::committer::Committer,
    rows::{owner_key, progress_key},
};
use teaseltrack_daemon::{logs::silent, metrics::Metrics};
use util::{Rows, store};
use yare::parameterized;

const JOB: &str = "00000000000000aa";

/// Guards against leases that depend on an owner's row which was never written, since all rows beside it
/// were rejected.
#[parameterized(
    all_rows_rejected = { true },
    no_row_rejected = { false },
)]
fn commit_writes_the_row_of_the_owner(is_rejected: bool) {
    let record = OwnerRecord { epoch: 2, has_no_grants: true, ..OwnerRecord::default() };
    let mut rows = Rows::default();
    rows.put(&owner_key(0), &serde_json::to_string(&record).expect("record"));
    rows.rejected_key = is_rejected.then(|| progress_key(0, JOB));
    let rows = Arc::new(Mutex::new(rows));
    let now = Instant::now();
    let mut committer = Committer {
        cell: 0,
        store: store(&rows),
        clock: Arc::new(SystemClock),
        record,
        version: 1,
        renewed_at: now,
        previous_grants_end: now,
        silent_workers: Vec::new(),
        predecessor: None,
        logger: silent(),
        metrics: Metrics::scrape_only(),
    };
    let lost = SilentWorker {
        incarnation: "lost@1".to_owned(),
        lease_end: now + Duration::from_secs(5),
        clock_ms: 0,
    };
    let batch = CommitBatch {
        rows: vec![(JOB.to_owned(), JobProgress::default())],
        workers: Vec::new(),
        silent_workers: vec![lost],
    };
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let rejected = runtime.block_on(committer.commit(batch));
    assert_eq!(rejected.map(|jobs| jobs.len()), Ok(usize::from(is_rejected)));
    let stored = rows.lock().unwrap().value(&owner_key(0)).expect("row of the owner");
    let stored: OwnerRecord = serde_json::from_str(&stored).expect("record");
    assert!(!stored.has_no_grants);
    assert_eq!(stored.silent_workers.len(), 1);
}
