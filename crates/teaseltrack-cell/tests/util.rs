//! Simulated store for the tests of this crate.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use teaseltrack::{cell::job::QueueConfiguration, clock::SystemClock};
use teaseltrack_cell::{configuration::ConfigurationSource, evacuation::OperatorSource};
use teaseltrack_platform::store::{
    ChangePage, CommitOutcome, Row, RowChange, Store, StoreBudget, StoreCall, StoreError,
    StoreReply, Transaction, Write,
};
use tokio::time::sleep;

/// Maximum number of conditions and writes of a transaction.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// Rows of a simulated store, and its history.
#[derive(Debug, Default)]
pub struct Rows {
    values: BTreeMap<String, Row>,
    history: Vec<RowChange>,
    /// Version before which changes are forgotten.
    forgotten_version: u64,
    version: u64,
    /// Number of responses to commits still to lose.
    pub lost_responses: u32,
    /// Number of calls other than commits still to fail.
    pub failing_reads: u32,
    /// Row to which no transaction is accepted.
    pub refused_key: Option<String>,
    /// Row to which no transaction is accepted after a number of writes.
    pub limited_key: Option<(String, usize)>,
    /// Row that is rejected for good.
    pub rejected_key: Option<String>,
    /// Maximum size of a row's value, in bytes; 0 for no limit.
    pub max_value_bytes: usize,
}

impl Rows {
    /// Writes a row as another process would.
    #[allow(dead_code, reason = "not all test programs use it")]
    pub fn put(&mut self, key: &str, value: &str) {
        self.version += 1;
        self.put_at(key, value, self.version);
    }

    /// Deletes a row as another process would.
    #[allow(dead_code, reason = "not all test programs use it")]
    pub fn delete(&mut self, key: &str) {
        self.version += 1;
        self.values.remove(key);
        self.history.push(RowChange { key: key.to_owned(), version: self.version, value: None });
    }

    /// Forgets all changes, so that followers must read the rows again.
    #[allow(dead_code, reason = "not all test programs use it")]
    pub fn forget_history(&mut self) {
        self.version += 1;
        self.forgotten_version = self.version;
        self.history.clear();
    }

    fn put_at(&mut self, key: &str, value: &str, version: u64) {
        let (key, value) = (key.to_owned(), value.to_owned());
        let row = Row { key: key.clone(), version, value: value.clone() };
        self.values.insert(key.clone(), row);
        self.history.push(RowChange { key, version, value: Some(value) });
    }

    /// Present value of a row.
    #[allow(dead_code, reason = "not all test programs use it")]
    pub fn value(&self, key: &str) -> Option<String> {
        self.values.get(key).map(|row| row.value.clone())
    }

    /// Number of writes of a row.
    #[allow(dead_code, reason = "not all test programs use it")]
    pub fn write_count(&self, key: &str) -> usize {
        self.history.iter().filter(|change| change.key == key).count()
    }

    fn commit(&mut self, transaction: Transaction) -> Result<StoreReply, StoreError> {
        let entry_count = transaction.conditions.len() + transaction.writes.len();
        assert!(entry_count <= MAX_TRANSACTION_ENTRIES, "{entry_count} entries");
        if transaction.writes.iter().any(|write| Some(&write.key) == self.refused_key.as_ref()) {
            return Err(StoreError::Unavailable { message: "row refused".to_owned() });
        }
        if let Some((key, max_count)) = &self.limited_key
            && transaction.writes.iter().any(|write| write.key == *key)
            && self.write_count(key) >= *max_count
        {
            return Err(StoreError::Unavailable { message: "no more writes".to_owned() });
        }
        let is_rejected = |write: &Write| {
            let bytes = write.value.as_ref().map_or(0, String::len);
            Some(&write.key) == self.rejected_key.as_ref()
                || (self.max_value_bytes > 0 && bytes > self.max_value_bytes)
        };
        if transaction.writes.iter().any(is_rejected) {
            return Err(StoreError::Rejected { message: "status 400".to_owned() });
        }
        for condition in transaction.conditions {
            let version = self.values.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                return Ok(StoreReply::Commit(CommitOutcome::Conflict { key: condition.key }));
            }
        }
        self.version += 1;
        for write in transaction.writes {
            match write.value {
                Some(value) => self.put_at(&write.key, &value, self.version),
                None => self.delete(&write.key),
            }
        }
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return Err(StoreError::Unavailable { message: "response lost".to_owned() });
        }
        Ok(StoreReply::Commit(CommitOutcome::Committed { version: self.version }))
    }

    fn rows(&self, is_included: impl Fn(&str) -> bool) -> StoreReply {
        StoreReply::Rows(
            self.values.values().filter(|row| is_included(&row.key)).cloned().collect(),
        )
    }

    fn changes(&self, table: &str, after: u64) -> StoreReply {
        let is_included = |change: &&RowChange| {
            change.version > after && change.key.split('/').next() == Some(table)
        };
        StoreReply::Changes(ChangePage {
            changes: self.history.iter().filter(is_included).cloned().collect(),
            version: self.version,
            is_history_lost: after < self.forgotten_version,
        })
    }

    fn call(&mut self, call: StoreCall) -> Result<StoreReply, StoreError> {
        if self.failing_reads > 0 && !call.is_write() {
            self.failing_reads -= 1;
            return Err(StoreError::Unavailable { message: "response lost".to_owned() });
        }
        match call {
            StoreCall::Read { key } => Ok(self.rows(|other| other == key)),
            StoreCall::List { prefix, after, .. } => {
                Ok(self.rows(|key| key.starts_with(&prefix) && *key > *after))
            }
            StoreCall::Version { .. } => Ok(StoreReply::Version(self.version)),
            StoreCall::Changes { table, after, .. } => Ok(self.changes(&table, after)),
            StoreCall::Commit(transaction) => self.commit(transaction),
            other => panic!("unexpected call: {other:?}"),
        }
    }
}

/// Rows of the operator in the simulated store.
#[allow(dead_code, reason = "not all test programs use it")]
pub fn operator_source() -> OperatorSource<QueueConfiguration> {
    OperatorSource {
        configuration: ConfigurationSource {
            table: "operator".to_owned(),
            key: "operator/0/configuration".to_owned(),
            decode: Arc::new(|_| Ok(QueueConfiguration::default())),
            version: |configuration| configuration.version,
        },
        evacuation_prefix: "operator/0/evacuate/".to_owned(),
    }
}

/// Client of a simulated store with a response time of 4 ms.
#[allow(dead_code, reason = "not all test programs use it")]
pub fn store(rows: &Arc<Mutex<Rows>>) -> Store {
    store_with_cut(rows, &Arc::default())
}

/// Client of a simulated store with a response time of 4 ms, which can be cut off from it.
pub fn store_with_cut(rows: &Arc<Mutex<Rows>>, is_cut: &Arc<AtomicBool>) -> Store {
    let (rows, is_cut) = (rows.clone(), is_cut.clone());
    let adapter = Arc::new(move |call| {
        let (rows, is_cut) = (rows.clone(), is_cut.clone());
        let responding: futures::future::BoxFuture<'static, _> = Box::pin(async move {
            sleep(Duration::from_millis(4)).await;
            if is_cut.load(Ordering::Relaxed) {
                return Err(StoreError::Unavailable { message: "cut off".to_owned() });
            }
            rows.lock().unwrap().call(call)
        });
        responding
    });
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    Store::new(adapter, budget, Arc::new(SystemClock))
}
