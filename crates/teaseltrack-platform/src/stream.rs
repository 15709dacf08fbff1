//! Appending to hash-chained journals.
//!
//! An append is one transaction, conditional on the version of the stream's head. When its answer is
//! lost, the row of the entry tells whether it took effect; if it isn't there, the same transaction is
//! sent again, which the condition makes safe.

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

/// Least wait after a call without an answer.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait after a call without an answer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// What an append writes.
#[derive(Clone, Debug)]
pub struct Append {
    /// Operator or instance that decided.
    pub author: String,
    /// What was decided.
    pub body: EntryBody,
    /// Ownership period after the append.
    pub epoch: Epoch,
    /// Owner after the append.
    pub owner: Option<Owner>,
    /// Conditions beside that on the head.
    pub conditions: Vec<Condition>,
    /// Writes beside those of the head and the entry.
    pub writes: Vec<Write>,
    /// Instant after which a lost answer is no longer settled; `None` for never.
    pub retry_deadline: Option<Instant>,
}

/// What became of an append.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// It took effect.
    Committed(Box<JournalEntry>),
    /// Someone else appended first; the stream must be opened again.
    HeadMoved,
    /// Another condition didn't hold.
    Conflict {
        /// The first row whose condition didn't hold.
        key: String,
    },
}

/// A stream as it was last seen.
#[derive(Clone, Debug)]
pub struct Stream {
    name: String,
    head: StreamHead,
    version: u64,
}

/// A new transaction identifier of an instance.
pub fn transaction_id(author: &str) -> String {
    format!("{author}-{:016x}", rand::rng().random::<u64>())
}

impl Stream {
    /// Reads a stream's head; a stream without one is empty.
    ///
    /// # Errors
    ///
    /// The store doesn't answer.
    pub async fn open(store: &Store, name: &str) -> Result<Self, StoreError> {
        let row = store.read(&keys::head(name)).await?;
        Self::from_row(name, row.as_ref())
    }

    /// A stream from its head's row.
    ///
    /// # Errors
    ///
    /// The row can't be read.
    pub fn from_row(name: &str, row: Option<&Row>) -> Result<Self, StoreError> {
        let head = row.map(Row::parse::<StreamHead>).transpose()?.unwrap_or_default();
        let version = row.map_or(0, |row| row.version);
        Ok(Self { name: name.to_owned(), head, version })
    }

    /// Name of the stream.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The head as last seen.
    pub fn head(&self) -> &StreamHead {
        &self.head
    }

    /// Version of the head's row as last seen.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Appends an entry, and settles a lost answer by reading.
    ///
    /// # Errors
    ///
    /// The store didn't answer until `retry_deadline`; the append may or may not have taken effect, and
    /// the stream must be opened again.
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
                    return self.settle_conflict(store, entry, head, key).await;
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

    /// A conflict may stem from the transaction itself, sent before with its answer lost.
    async fn settle_conflict(
        &mut self,
        store: &Store,
        entry: JournalEntry,
        head: StreamHead,
        key: String,
    ) -> Result<AppendOutcome, StoreError> {
        let committed = self.entry_until_answered(store, entry.sequence).await;
        if committed.is_none_or(|sealed| sealed.hash != head.hash) {
            let is_head = key == keys::head(&self.name);
            return Ok(if is_head {
                AppendOutcome::HeadMoved
            } else {
                AppendOutcome::Conflict { key }
            });
        }
        let row = read_until_answered(store, &keys::head(&self.name)).await;
        let seen = Self::from_row(&self.name, row.as_ref())?;
        if seen.head == head {
            return Ok(self.advance(seen.head, seen.version, entry));
        }
        *self = seen;
        Ok(AppendOutcome::Committed(Box::new(entry)))
    }

    /// Reads an entry, wherever it is, again and again until the store answers.
    async fn entry_until_answered(&self, store: &Store, sequence: u64) -> Option<SealedEntry> {
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

/// Reads a row, again and again until the store answers.
pub async fn read_until_answered(store: &Store, key: &str) -> Option<Row> {
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
