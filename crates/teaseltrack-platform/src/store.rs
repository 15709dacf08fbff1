//! Storage interface of the platform: rows, conditional transactions and objects.
//!
//! After an error, a write may or may not have taken effect. Every transaction therefore has a
//! unique identifier and conditions: it can be retried safely, and its effect can be read back.

use std::{
    fmt,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use teaseltrack::{clock::SharedClock, quota::TokenBucket};
use teaseltrack_daemon::odd_entries::OddEntries;
use tokio::time::sleep;

/// Capacity of the token buckets, in seconds of the configured rate.
const BURST_S: f64 = 1.0;
/// Kind of a row in the reports of odd entries.
pub const ODD_ROW: &str = "row";
/// Default of the maximum size of a row's value, in bytes.
const DEFAULT_MAX_VALUE_BYTES: usize = 49_152;
/// Maximum number of rows in one listing.
pub const LIST_LIMIT: usize = 500;

/// Failure of a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No usable response in time; a write may or may not have taken effect.
    #[snafu(display("store unavailable: {message}"))]
    Unavailable {
        /// Cause.
        message: String,
    },
    /// The store rejected the call without executing it.
    #[snafu(display("store refused the call: {message}"))]
    Refused {
        /// Cause.
        message: String,
    },
    /// The store rejected the content of the call without executing it; a retry can't succeed.
    #[snafu(display("store rejected the call for good: {message}"))]
    Rejected {
        /// Cause.
        message: String,
    },
    /// The content of a row or object can't be parsed.
    #[snafu(display("{key}: {source}"))]
    Unreadable {
        /// Key of the row or object.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
}

/// Row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Increases with every write of the row; never 0.
    pub version: u64,
    /// Value as JSON text; empty if the store's value can't be read.
    pub value: String,
}

impl Row {
    /// Parses the value.
    ///
    /// # Errors
    ///
    /// The value doesn't match the schema of `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_str(&self.value).context(UnreadableSnafu { key: &self.key })
    }
}

/// Write or deletion of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// Table version of the change.
    pub version: u64,
    /// New value as JSON text, empty if the store's value can't be read; `None` if the row was deleted.
    pub value: Option<String>,
}

/// Changes of a table after a version, in commit order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePage {
    /// The changes.
    pub changes: Vec<RowChange>,
    /// Version to continue from.
    pub version: u64,
    /// Whether changes after the requested version are no longer retained; the rows must be listed
    /// again.
    pub is_history_lost: bool,
}

/// Precondition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version; 0 requires that the row doesn't exist.
    pub version: u64,
}

/// Write or deletion of a row in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

impl Write {
    /// Writes the JSON form of a value to a row.
    pub fn put<T: Serialize>(key: String, value: &T) -> Self {
        Self { key, value: serde_json::to_string(value).ok() }
    }

    /// Deletes a row.
    pub fn delete(key: String) -> Self {
        Self { key, value: None }
    }
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Unique identifier, kept when the transaction is retried.
    pub id: String,
    /// Preconditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// The writes were applied; all written rows have this version.
    Committed {
        /// Version of the written rows.
        version: u64,
    },
    /// A condition didn't hold; nothing was written.
    Conflict {
        /// The first row whose condition didn't hold.
        key: String,
    },
}

/// Call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads a row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Lists rows in key order.
    List {
        /// Common prefix of the keys.
        prefix: String,
        /// Key after which the listing starts; empty to start at the first row.
        after: String,
        /// Maximum number of rows.
        limit: usize,
    },
    /// Reads the latest version of a table.
    Version {
        /// First segment of the table's keys.
        table: String,
    },
    /// Reads changes of a table; waits for the first one if there is none yet.
    Changes {
        /// First segment of the table's keys.
        table: String,
        /// Version after which changes are returned.
        after: u64,
        /// Maximum wait for the first change, in milliseconds.
        wait_ms: u64,
    },
    /// Commits a transaction.
    Commit(Transaction),
    /// Stores an object.
    PutObject {
        /// Key of the object.
        key: String,
        /// Content of the object.
        value: String,
    },
    /// Reads an object.
    GetObject {
        /// Key of the object.
        key: String,
    },
}

impl StoreCall {
    /// Whether the call counts against the write budget.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Commit(_) | Self::PutObject { .. })
    }
}

/// Response to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// Rows; at most one for a read.
    Rows(Vec<Row>),
    /// Latest version of a table.
    Version(u64),
    /// Changes of a table.
    Changes(ChangePage),
    /// Outcome of a transaction.
    Commit(CommitOutcome),
    /// The object was stored.
    Stored,
    /// Content of the object, if it exists.
    Object(Option<String>),
}

/// Transport for calls to the platform's store.
pub type Adapter =
    Arc<dyn Fn(StoreCall) -> BoxFuture<'static, Result<StoreReply, StoreError>> + Send + Sync>;

/// Rate limits of a process's calls.
#[derive(Clone, Copy, Debug)]
pub struct StoreBudget {
    /// Maximum writes per second.
    pub writes_per_s: f64,
    /// Maximum reads per second.
    pub reads_per_s: f64,
}

#[derive(Debug)]
struct Buckets {
    writes: TokenBucket,
    reads: TokenBucket,
}

/// Client of the platform's store; cheap to clone.
#[derive(Clone)]
pub struct Store {
    adapter: Adapter,
    clock: SharedClock,
    buckets: Arc<Mutex<Buckets>>,
    usage: Arc<StoreUsage>,
    odd_entries: OddEntries,
    max_value_bytes: usize,
}

/// Counters of the calls sent to the store.
#[derive(Debug, Default)]
pub struct StoreUsage {
    writes: AtomicU64,
    reads: AtomicU64,
    failures: AtomicU64,
    last_success: Mutex<Option<Instant>>,
}

impl StoreUsage {
    /// Time of the last successful call.
    pub fn last_success(&self) -> Option<Instant> {
        *self.last_success.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of writes sent.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Number of reads sent.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Number of failed calls.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").field("usage", &self.usage).finish_non_exhaustive()
    }
}

impl Store {
    /// Creates a client that sends calls through `adapter`, rate-limited by `budget`.
    pub fn new(adapter: Adapter, budget: StoreBudget, clock: SharedClock) -> Self {
        let bucket = |rate_per_s: f64| {
            TokenBucket::new(rate_per_s, (rate_per_s * BURST_S).max(1.0), clock.now())
        };
        let buckets =
            Buckets { writes: bucket(budget.writes_per_s), reads: bucket(budget.reads_per_s) };
        let buckets = Arc::new(Mutex::new(buckets));
        let odd_entries = OddEntries::silent();
        let max_value_bytes = DEFAULT_MAX_VALUE_BYTES;
        Self { adapter, clock, buckets, usage: Arc::default(), odd_entries, max_value_bytes }
    }

    /// Sets the maximum size of a row's value as JSON text, in bytes.
    pub fn with_max_value_bytes(self, max_value_bytes: usize) -> Self {
        Self { max_value_bytes, ..self }
    }

    /// Maximum size of a row's value as JSON text, in bytes.
    pub fn max_value_bytes(&self) -> usize {
        self.max_value_bytes
    }

    /// Sets the reporter of rows that can't be read.
    pub fn with_odd_entries(self, odd_entries: OddEntries) -> Self {
        Self { odd_entries, ..self }
    }

    /// Parses the value of a row; reports one that can't be read once for each version.
    pub fn parse<T: DeserializeOwned>(&self, row: &Row) -> Option<T> {
        match row.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report_odd_row(&row.key, row.version, error);
                None
            }
        }
    }

    /// Reports a row that can't be used, once for each version.
    pub fn report_odd_row(&self, key: &str, version: u64, reason: impl fmt::Display) {
        self.odd_entries.report(ODD_ROW, (key, version), key, reason);
    }

    /// Counters of the calls sent.
    pub fn usage(&self) -> &StoreUsage {
        &self.usage
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// No response in time.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        match self.call(StoreCall::Read { key: key.to_owned() }).await? {
            StoreReply::Rows(rows) => Ok(rows.into_iter().next()),
            _ => UnavailableSnafu { message: "unexpected answer to a read" }.fail(),
        }
    }

    /// Lists up to [`LIST_LIMIT`] rows with a prefix, after a key.
    ///
    /// # Errors
    ///
    /// No response in time.
    pub async fn list(&self, prefix: &str, after: &str) -> Result<Vec<Row>, StoreError> {
        let call = StoreCall::List {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit: LIST_LIMIT,
        };
        match self.call(call).await? {
            StoreReply::Rows(rows) => Ok(rows),
            _ => UnavailableSnafu { message: "unexpected answer to a listing" }.fail(),
        }
    }

    /// Lists all rows with a prefix, page by page; rows written meanwhile may be missed.
    ///
    /// # Errors
    ///
    /// No response in time.
    pub async fn list_all(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        let mut all: Vec<Row> = Vec::new();
        loop {
            let after = all.last().map_or(String::new(), |row| row.key.clone());
            let page = self.list(prefix, &after).await?;
            let is_last = page.len() < LIST_LIMIT;
            all.extend(page);
            if is_last {
                return Ok(all);
            }
        }
    }

    /// Reads the latest version of a table.
    ///
    /// # Errors
    ///
    /// No response in time.
    pub async fn version(&self, table: &str) -> Result<u64, StoreError> {
        match self.call(StoreCall::Version { table: table.to_owned() }).await? {
            StoreReply::Version(version) => Ok(version),
            _ => UnavailableSnafu { message: "unexpected answer to a version read" }.fail(),
        }
    }

    /// Reads changes of a table after a version; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// No response in time.
    pub async fn changes(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, StoreError> {
        let call =
            StoreCall::Changes { table: table.to_owned(), after, wait_ms: wait.as_millis() as u64 };
        match self.call(call).await? {
            StoreReply::Changes(page) => Ok(page),
            _ => UnavailableSnafu { message: "unexpected answer to a wait for changes" }.fail(),
        }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// No response in time; the transaction may or may not have taken effect.
    pub async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        match self.call(StoreCall::Commit(transaction)).await? {
            StoreReply::Commit(outcome) => Ok(outcome),
            _ => UnavailableSnafu { message: "unexpected answer to a transaction" }.fail(),
        }
    }

    /// Stores an object, replacing any object with the same key.
    ///
    /// # Errors
    ///
    /// No response in time; the object may or may not have been stored.
    pub async fn put_object(&self, key: String, value: String) -> Result<(), StoreError> {
        self.call(StoreCall::PutObject { key, value }).await.map(drop)
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// No response in time.
    pub async fn get_object(&self, key: &str) -> Result<Option<String>, StoreError> {
        match self.call(StoreCall::GetObject { key: key.to_owned() }).await? {
            StoreReply::Object(object) => Ok(object),
            _ => UnavailableSnafu { message: "unexpected answer to an object read" }.fail(),
        }
    }

    async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        self.wait_for_budget(call.is_write()).await;
        let sent = if call.is_write() { &self.usage.writes } else { &self.usage.reads };
        sent.fetch_add(1, Ordering::Relaxed);
        let reply = (self.adapter)(call).await;
        match &reply {
            Ok(_) => {
                let mut last_success =
                    self.usage.last_success.lock().unwrap_or_else(PoisonError::into_inner);
                *last_success = Some(self.clock.now());
            }
            Err(_) => {
                self.usage.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
        reply
    }

    async fn wait_for_budget(&self, is_write: bool) {
        while let Err(wait) = self.try_consume_budget(is_write) {
            sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    fn try_consume_budget(&self, is_write: bool) -> Result<(), Duration> {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = if is_write { &mut buckets.writes } else { &mut buckets.reads };
        bucket.take(1.0, self.clock.now())
    }
}
