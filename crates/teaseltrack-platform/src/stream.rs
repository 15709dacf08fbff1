//! Appending to hash-chained journals.
//!
//! An append is one transaction, conditional on the version of the stream's head. If its response
//! is lost, the same transaction is retried; the condition keeps it from being applied twice. If a
//! retry conflicts, the row of the entry shows whether an earlier try was committed.

use std::time::{Duration, Instant};

use rand::RngExt;
use teaseltrack::{
    clock::{SharedClock, unix_ms},
    ids::Epoch,
    journal::{EntryBody, JournalEntry, Owner, SealedEntry, StreamHead},
    retry::Backoff,
};
use tokio::time::sleep;

use crate::{
    history::read_entries,
    keys,
    store::{CommitOutcome, Condition, Row, Store, StoreError, Transaction, Write},
};

/// Minimum backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Parameters of an append.
#[derive(Clone, Debug)]
pub struct Append {
    /// Operator or instance that appends the entry.
    pub author: String,
    /// Content of the entry.
    pub body: EntryBody,
    /// Ownership period after the append.
    pub epoch: Epoch,
    /// Owner after the append.
    pub owner: Option<Owner>,
    /// Conditions in addition to the one on the head's version.
    pub conditions: Vec<Condition>,
    /// Writes in addition to the head and the entry.
    pub writes: Vec<Write>,
    /// Time after which a failed commit is no longer retried; `None` to retry indefinitely.
    pub retry_deadline: Option<Instant>,
}

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// The entry was committed.
    Committed(Box<JournalEntry>),
    /// Another writer appended first; the stream must be reopened.
    HeadMoved,
    /// One of the additional conditions didn't hold.
    Conflict {
        /// The first row whose condition didn't hold.
        key: String,
    },
}

/// Position in a stream as of the last read or append.
#[derive(Clone, Debug)]
pub struct Stream {
    name: String,
    head: StreamHead,
    version: u64,
}

/// Generates a unique transaction identifier prefixed with its author.
pub fn transaction_id(author: &str) -> String {
    format!("{author}-{:016x}", rand::rng().random::<u64>())
}

impl Stream {
    /// Reads a stream's head; a stream without a head row is empty.
    ///
    /// # Errors
    ///
    /// The store is unavailable.
    pub async fn open(store: &Store, name: &str) -> Result<Self, StoreError> {
        let row = store.read(&keys::head(name)).await?;
        Self::from_row(name, row.as_ref())
    }

    /// Creates a stream from the row of its head.
    ///
    /// # Errors
    ///
    /// The row can't be parsed.
    pub fn from_row(name: &str, row: Option<&Row>) -> Result<Self, StoreError> {
        let head = row.map(Row::parse::<StreamHead>).transpose()?.unwrap_or_default();
        let version = row.map_or(0, |row| row.version);
        Ok(Self { name: name.to_owned(), head, version })
    }

    /// Name of the stream.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Head as of the last read or append.
    pub fn head(&self) -> &StreamHead {
        &self.head
    }

    /// Version of the head's row as of the last read or append.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Appends an entry; retries after a lost response, and resolves a conflict by reading back.
    ///
    /// # Errors
    ///
    /// No commit succeeded by `retry_deadline`; the append may or may not have taken effect, and
    /// the stream must be reopened.
    pub async fn append(
        &mut self,
        store: &Store,
        clock: &SharedClock,
        append: Append,
    ) -> Result<AppendOutcome, StoreError> {
        let retry_deadline = append.retry_deadline;
        let (entry, head, transaction) = self.prepare(clock, append);
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            let error = match store.commit(transaction.clone()).await {
                Ok(CommitOutcome::Committed { version }) => {
                    return Ok(self.advance(head, version, entry));
                }
                Ok(CommitOutcome::Conflict { key }) => {
                    return self.resolve_conflict(store, entry, head, key).await;
                }
                Err(error) => error,
            };
            if retry_deadline.is_some_and(|deadline| clock.now() >= deadline) {
                return Err(error);
            }
            let wait = backoff.after_failure(&mut rand::rng());
            sleep(wait).await;
        }
    }

    fn prepare(
        &self,
        clock: &SharedClock,
        append: Append,
    ) -> (JournalEntry, StreamHead, Transaction) {
        let sequence = self.head.sequence + 1;
        let entry = JournalEntry {
            sequence,
            epoch: append.epoch,
            transaction: transaction_id(&append.author),
            at_ms: unix_ms(clock.wall_now()),
            author: append.author,
            body: append.body,
        };
        let sealed = SealedEntry::seal(&self.head.hash, &entry);
        let head = StreamHead {
            sequence,
            epoch: append.epoch,
            hash: sealed.hash.clone(),
            owner: append.owner,
        };
        let head_key = keys::head(&self.name);
        let mut conditions = vec![Condition { key: head_key.clone(), version: self.version }];
        conditions.extend(append.conditions);
        let mut writes = vec![
            Write::put(head_key, &head),
            Write::put(keys::journal_entry(&self.name, sequence), &sealed),
        ];
        writes.extend(append.writes);
        let transaction = Transaction { id: entry.transaction.clone(), conditions, writes };
        (entry, head, transaction)
    }

    fn advance(&mut self, head: StreamHead, version: u64, entry: JournalEntry) -> AppendOutcome {
        self.head = head;
        self.version = version;
        AppendOutcome::Committed(Box::new(entry))
    }

    /// Determines the outcome after a conflict, which may be caused by an earlier try of the same
    /// transaction whose response was lost. Reads are retried until the store responds, even after
    /// `retry_deadline`.
    async fn resolve_conflict(
        &mut self,
        store: &Store,
        entry: JournalEntry,
        head: StreamHead,
        key: String,
    ) -> Result<AppendOutcome, StoreError> {
        let committed = self.read_entry_with_retries(store, entry.sequence).await;
        if committed.is_none_or(|sealed| sealed.hash != head.hash) {
            let is_head = key == keys::head(&self.name);
            return Ok(if is_head {
                AppendOutcome::HeadMoved
            } else {
                AppendOutcome::Conflict { key }
            });
        }
        let row = read_with_retries(store, &keys::head(&self.name)).await;
        let current = Self::from_row(&self.name, row.as_ref())?;
        if current.head == head {
            return Ok(self.advance(current.head, current.version, entry));
        }
        *self = current;
        Ok(AppendOutcome::Committed(Box::new(entry)))
    }

    /// Reads an entry from the table or the archive, retrying until the store responds.
    async fn read_entry_with_retries(&self, store: &Store, sequence: u64) -> Option<SealedEntry> {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        loop {
            if let Ok(entries) = read_entries(store, &self.name, sequence - 1).await {
                return entries.into_iter().next();
            }
            let wait = backoff.after_failure(&mut rand::rng());
            sleep(wait).await;
        }
    }
}

/// Reads a row, retrying until the store responds.
pub async fn read_with_retries(store: &Store, key: &str) -> Option<Row> {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        match store.read(key).await {
            Ok(row) => return row,
            Err(_) => {
                let wait = backoff.after_failure(&mut rand::rng());
                sleep(wait).await;
            }
        }
    }
}
