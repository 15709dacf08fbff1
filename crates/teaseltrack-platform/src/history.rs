//! Archiving journals in the object store, and reading journals across table and archive.

use teaseltrack::journal::{ArchiveMark, ChainPosition, SEGMENT_ENTRIES, SealedEntry};

use crate::{
    keys,
    store::{
        CommitOutcome, Condition, Row, Store, StoreError, Transaction, UnavailableSnafu, Write,
    },
    stream::transaction_id,
};

/// Archive position of a stream, with the version of the row that stores it.
#[derive(Clone, Debug, Default)]
pub struct Archive {
    /// Last archived entry and its hash, and the last entry of the newest snapshot.
    pub mark: ArchiveMark,
    /// Version of the mark's row; 0 if the row doesn't exist.
    pub version: u64,
}

impl Archive {
    /// Reads the archive mark of a stream.
    ///
    /// # Errors
    ///
    /// The store is unavailable.
    pub async fn read(store: &Store, stream: &str) -> Result<Self, StoreError> {
        let row = store.read(&keys::archive_mark(stream)).await?;
        let mark = row.as_ref().map(Row::parse).transpose()?.unwrap_or_default();
        Ok(Self { mark, version: row.map_or(0, |row| row.version) })
    }

    /// Archives the next full segment, if it ends at or before `through_sequence`; returns whether
    /// a segment was archived. The new mark refers to the snapshot as of `snapshot_sequence`.
    ///
    /// # Errors
    ///
    /// The store is unavailable, or the entries don't form a hash chain. No entry is lost: entries
    /// are deleted from the table in the same transaction that advances the mark, after the segment
    /// is stored.
    pub async fn move_segment(
        &mut self,
        store: &Store,
        stream: &str,
        author: &str,
        through_sequence: u64,
        snapshot_sequence: u64,
    ) -> Result<bool, StoreError> {
        let first = self.mark.through_sequence + 1;
        let last = self.mark.through_sequence + SEGMENT_ENTRIES;
        if last > through_sequence {
            return Ok(false);
        }
        let entries = read_rows(store, stream, first, last).await?;
        let mut position =
            ChainPosition { sequence: self.mark.through_sequence, hash: self.mark.hash.clone() };
        for entry in &entries {
            position
                .advance(stream, Some(entry))
                .map_err(|error| StoreError::Unavailable { message: error.to_string() })?;
        }
        if position.sequence != last {
            return Ok(false);
        }
        let number = (last - 1) / SEGMENT_ENTRIES;
        let text = serde_json::to_string(&entries).unwrap_or_default();
        store.put_object(keys::segment(stream, number), text).await?;
        let mark = ArchiveMark { through_sequence: last, hash: position.hash, snapshot_sequence };
        self.commit_mark(store, stream, author, mark, first..=last).await
    }

    async fn commit_mark(
        &mut self,
        store: &Store,
        stream: &str,
        author: &str,
        mark: ArchiveMark,
        archived: std::ops::RangeInclusive<u64>,
    ) -> Result<bool, StoreError> {
        let key = keys::archive_mark(stream);
        let mut writes: Vec<Write> =
            archived.map(|sequence| Write::delete(keys::journal_entry(stream, sequence))).collect();
        writes.push(Write::put(key.clone(), &mark));
        let conditions = vec![Condition { key, version: self.version }];
        let transaction = Transaction { id: transaction_id(author), conditions, writes };
        match store.commit(transaction).await? {
            CommitOutcome::Committed { version } => {
                *self = Self { mark, version };
                Ok(true)
            }
            CommitOutcome::Conflict { .. } => {
                *self = Self::read(store, stream).await?;
                Ok(false)
            }
        }
    }
}

/// Reads entries after a sequence number from the table or the archive; empty only at the end of
/// the stream.
///
/// # Errors
///
/// The store is unavailable, or an archived segment is missing or can't be parsed.
pub async fn read_entries(
    store: &Store,
    stream: &str,
    after_sequence: u64,
) -> Result<Vec<SealedEntry>, StoreError> {
    let archive = Archive::read(store, stream).await?;
    if after_sequence >= archive.mark.through_sequence {
        return read_rows(store, stream, after_sequence + 1, u64::MAX).await;
    }
    let number = after_sequence / SEGMENT_ENTRIES;
    let key = keys::segment(stream, number);
    let Some(text) = store.get_object(&key).await? else {
        return UnavailableSnafu { message: format!("{key}: missing") }.fail();
    };
    let entries: Vec<SealedEntry> =
        serde_json::from_str(&text).map_err(|source| StoreError::Unreadable { key, source })?;
    Ok(entries.into_iter().skip((after_sequence % SEGMENT_ENTRIES) as usize).collect())
}

async fn read_rows(
    store: &Store,
    stream: &str,
    first: u64,
    last: u64,
) -> Result<Vec<SealedEntry>, StoreError> {
    let after = keys::journal_entry(stream, first - 1);
    let rows = store.list(&keys::journal(stream), &after).await?;
    let in_range = rows.iter().take_while(|row| row.key <= keys::journal_entry(stream, last));
    in_range.map(Row::parse).collect()
}
