//! The port: rows, conditional transactions and objects.
//!
//! An error says nothing about whether a write took effect. Every transaction carries an identifier
//! of its own and is conditional, so that it may be sent again and its effect be read.

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
use tokio::time::sleep;

/// Seconds' worth of calls that may be sent at once.
const BURST_S: f64 = 1.0;
/// Rows of one listing.
pub const LIST_LIMIT: usize = 500;

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// No answer in time; a write may or may not have taken effect.
    #[snafu(display("store unavailable: {message}"))]
    Unavailable {
        /// Cause.
        message: String,
    },
    /// The store turned the call away and did nothing.
    #[snafu(display("store refused the call: {message}"))]
    Refused {
        /// Cause.
        message: String,
    },
    /// A row or object can't be read.
    #[snafu(display("{key}: {source}"))]
    Unreadable {
        /// Its key.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Goes up with every write of the row; never 0.
    pub version: u64,
    /// Its value as JSON text.
    pub value: String,
}

impl Row {
    /// Parses the value.
    ///
    /// # Errors
    ///
    /// The value doesn't follow the schema.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_str(&self.value).context(UnreadableSnafu { key: &self.key })
    }
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Its key.
    pub key: String,
    /// Version of the change.
    pub version: u64,
    /// Its value as JSON text; `None` if it was deleted.
    pub value: Option<String>,
}

/// Changes after a version, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePage {
    /// The changes.
    pub changes: Vec<RowChange>,
    /// Version to go on from.
    pub version: u64,
    /// Whether the history asked for is no longer kept; the rows must be listed anew.
    pub is_history_lost: bool,
}

/// Requires a row to have a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Its version; 0 for a row that doesn't exist.
    pub version: u64,
}

/// Writes or deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Its new value as JSON text; `None` deletes it.
    pub value: Option<String>,
}

impl Write {
    /// Writes a row.
    pub fn put<T: Serialize>(key: String, value: &T) -> Self {
        Self { key, value: serde_json::to_string(value).ok() }
    }

    /// Deletes a row.
    pub fn delete(key: String) -> Self {
        Self { key, value: None }
    }
}

/// Writes that take effect together, if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifier of the transaction.
    pub id: String,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// It took effect; all rows that it wrote have this version.
    Committed {
        /// The version.
        version: u64,
    },
    /// It had no effect.
    Conflict {
        /// The first row whose condition didn't hold.
        key: String,
    },
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads a row.
    Read {
        /// Its key.
        key: String,
    },
    /// Lists rows by key.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the listing begins; empty for the first.
        after: String,
        /// Most rows.
        limit: usize,
    },
    /// Tells the newest version of a table.
    Version {
        /// First part of the table's keys.
        table: String,
    },
    /// Waits for changes of a table.
    Changes {
        /// First part of the table's keys.
        table: String,
        /// Version after which changes are wanted.
        after: u64,
        /// Longest wait for the first change, in milliseconds.
        wait_ms: u64,
    },
    /// Commits a transaction.
    Commit(Transaction),
    /// Stores an object.
    PutObject {
        /// Its key.
        key: String,
        /// Its content.
        value: String,
    },
    /// Gets an object.
    GetObject {
        /// Its key.
        key: String,
    },
}

impl StoreCall {
    /// Whether the call counts against the budget of writes.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Commit(_) | Self::PutObject { .. })
    }
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// Rows, at most one for a read.
    Rows(Vec<Row>),
    /// Newest version.
    Version(u64),
    /// Changes.
    Changes(ChangePage),
    /// Answer to a transaction.
    Commit(CommitOutcome),
    /// The object is stored.
    Stored,
    /// The object, if there is one.
    Object(Option<String>),
}

/// Carries calls to the platform.
pub type Adapter =
    Arc<dyn Fn(StoreCall) -> BoxFuture<'static, Result<StoreReply, StoreError>> + Send + Sync>;

/// Calls a second that a process may send.
#[derive(Clone, Copy, Debug)]
pub struct StoreBudget {
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second.
    pub reads_per_s: f64,
}

#[derive(Debug)]
struct Buckets {
    writes: TokenBucket,
    reads: TokenBucket,
}

/// The platform's store, cheap to clone.
#[derive(Clone)]
pub struct Store {
    adapter: Adapter,
    clock: SharedClock,
    buckets: Arc<Mutex<Buckets>>,
    usage: Arc<StoreUsage>,
}

/// Calls sent so far.
#[derive(Debug, Default)]
pub struct StoreUsage {
    writes: AtomicU64,
    reads: AtomicU64,
    failures: AtomicU64,
    last_success: Mutex<Option<Instant>>,
}

impl StoreUsage {
    /// When a call last succeeded.
    pub fn last_success(&self) -> Option<Instant> {
        *self.last_success.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes sent.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Reads sent.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Calls without an answer.
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
    /// A store behind the adapter, within the budget.
    pub fn new(adapter: Adapter, budget: StoreBudget, clock: SharedClock) -> Self {
        let bucket = |rate_per_s: f64| {
            TokenBucket::new(rate_per_s, (rate_per_s * BURST_S).max(1.0), clock.now())
        };
        let buckets =
            Buckets { writes: bucket(budget.writes_per_s), reads: bucket(budget.reads_per_s) };
        let buckets = Arc::new(Mutex::new(buckets));
        Self { adapter, clock, buckets, usage: Arc::default() }
    }

    /// Calls sent so far.
    pub fn usage(&self) -> &StoreUsage {
        &self.usage
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// No answer in time.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        match self.call(StoreCall::Read { key: key.to_owned() }).await? {
            StoreReply::Rows(rows) => Ok(rows.into_iter().next()),
            _ => UnavailableSnafu { message: "unexpected answer to a read" }.fail(),
        }
    }

    /// Lists at most [`LIST_LIMIT`] rows after a key.
    ///
    /// # Errors
    ///
    /// No answer in time.
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

    /// Lists all rows of a prefix, page by page.
    ///
    /// # Errors
    ///
    /// No answer in time.
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

    /// Newest version of a table.
    ///
    /// # Errors
    ///
    /// No answer in time.
    pub async fn version(&self, table: &str) -> Result<u64, StoreError> {
        match self.call(StoreCall::Version { table: table.to_owned() }).await? {
            StoreReply::Version(version) => Ok(version),
            _ => UnavailableSnafu { message: "unexpected answer to a version read" }.fail(),
        }
    }

    /// Changes of a table after a version; waits at most `wait` for the first.
    ///
    /// # Errors
    ///
    /// No answer in time.
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
    /// No answer in time; the transaction may or may not have taken effect.
    pub async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        match self.call(StoreCall::Commit(transaction)).await? {
            StoreReply::Commit(answer) => Ok(answer),
            _ => UnavailableSnafu { message: "unexpected answer to a transaction" }.fail(),
        }
    }

    /// Stores an object; the same key may be stored again.
    ///
    /// # Errors
    ///
    /// No answer in time; the object may or may not be stored.
    pub async fn put_object(&self, key: String, value: String) -> Result<(), StoreError> {
        self.call(StoreCall::PutObject { key, value }).await.map(drop)
    }

    /// Gets an object.
    ///
    /// # Errors
    ///
    /// No answer in time.
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
                let mut last =
                    self.usage.last_success.lock().unwrap_or_else(PoisonError::into_inner);
                *last = Some(self.clock.now());
            }
            Err(_) => {
                self.usage.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
        reply
    }

    async fn wait_for_budget(&self, is_write: bool) {
        while let Err(wait) = self.take_budget(is_write) {
            sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    fn take_budget(&self, is_write: bool) -> Result<(), Duration> {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = if is_write { &mut buckets.writes } else { &mut buckets.reads };
        bucket.take(1.0, self.clock.now())
    }
}
