//! In-memory rows and objects of the simulated store.

use std::collections::BTreeMap;

use teaseltrack_platform::store::{
    ChangePage, CommitOutcome, Row, RowChange, StoreCall, StoreReply, Transaction,
};

#[derive(Clone, Debug)]
struct VersionedValue {
    version: u64,
    value: String,
}

/// Versioned rows, and objects.
#[derive(Debug, Default)]
pub struct Table {
    version: u64,
    rows: BTreeMap<String, VersionedValue>,
    objects: BTreeMap<String, String>,
}

impl Table {
    /// Executes a call.
    pub fn apply(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { key } => StoreReply::Rows(self.read(&key).into_iter().collect()),
            StoreCall::List { prefix, after, limit } => {
                StoreReply::Rows(self.list(&prefix, &after, limit))
            }
            StoreCall::Version { .. } => StoreReply::Version(self.version),
            StoreCall::Changes { table, after, .. } => {
                StoreReply::Changes(self.changes(&table, after))
            }
            StoreCall::Commit(transaction) => StoreReply::Commit(self.commit(transaction)),
            StoreCall::PutObject { key, value } => {
                self.objects.insert(key, value);
                StoreReply::Stored
            }
            StoreCall::GetObject { key } => StoreReply::Object(self.objects.get(&key).cloned()),
        }
    }

    /// Reads a row.
    pub fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(key).map(|stored| row(key, stored))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = if after > prefix { after } else { prefix };
        self.rows
            .range(start.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, stored)| row(key, stored))
            .collect()
    }

    /// Latest changes of existing rows, by version; deletions aren't recorded.
    fn changes(&self, table: &str, after: u64) -> ChangePage {
        let prefix = format!("{table}/");
        let mut changes: Vec<RowChange> = self
            .list(&prefix, "", usize::MAX)
            .into_iter()
            .filter(|row| row.version > after)
            .map(|row| RowChange { key: row.key, version: row.version, value: Some(row.value) })
            .collect();
        changes.sort_by_key(|change| change.version);
        ChangePage { changes, version: self.version, is_history_lost: false }
    }

    fn commit(&mut self, transaction: Transaction) -> CommitOutcome {
        for condition in &transaction.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |stored| stored.version);
            if version != condition.version {
                return CommitOutcome::Conflict { key: condition.key.clone() };
            }
        }
        self.version += 1;
        let version = self.version;
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    self.rows.insert(write.key, VersionedValue { version, value });
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed { version }
    }
}

fn row(key: &str, stored: &VersionedValue) -> Row {
    Row { key: key.to_owned(), version: stored.version, value: stored.value.clone() }
}
