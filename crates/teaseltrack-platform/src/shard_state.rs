//! Loading a shard's state from its snapshot and journal, and writing snapshots.

use crate::{
    history::{Archive, read_entries},
    keys,
    store::{Store, StoreError},
};
use teaseltrack::{
    ids::ShardNumber,
    journal::{EntryBody, JournalEntry},
    shard::{ShardState, stream_of},
};

/// State of a shard as of a journal entry.
#[derive(Clone, Debug, Default)]
pub struct LoadedShard {
    /// The state.
    pub state: ShardState,
    /// Number of the last entry applied to the state.
    pub sequence: u64,
    /// Archive position of the journal.
    pub archive: Archive,
}

/// Loads the snapshot of a shard's state and replays the journal entries after it.
///
/// # Errors
///
/// The store is unavailable, or the snapshot or an entry can't be parsed.
pub async fn load_shard(store: &Store, shard: ShardNumber) -> Result<LoadedShard, StoreError> {
    let stream = stream_of(shard);
    let archive = Archive::read(store, &stream).await?;
    let sequence = archive.mark.snapshot_sequence;
    let state = if sequence == 0 {
        ShardState::default()
    } else {
        read_snapshot(store, &keys::snapshot(&stream, sequence)).await?
    };
    let mut loaded = LoadedShard { state, sequence, archive };
    loop {
        let entries = read_entries(store, &stream, loaded.sequence).await?;
        if entries.is_empty() {
            return Ok(loaded);
        }
        for sealed in entries {
            let entry = sealed
                .open()
                .map_err(|source| StoreError::Unreadable { key: stream.clone(), source })?;
            apply_entry(&mut loaded, &entry);
        }
    }
}

/// Writes a snapshot of the state as of the journal entry `sequence`.
///
/// # Errors
///
/// The store is unavailable.
pub async fn write_snapshot(
    store: &Store,
    shard: ShardNumber,
    state: &ShardState,
    sequence: u64,
) -> Result<(), StoreError> {
    let key = keys::snapshot(&stream_of(shard), sequence);
    let text = serde_json::to_string(state).unwrap_or_default();
    store.put_object(key, text).await
}

fn apply_entry(loaded: &mut LoadedShard, entry: &JournalEntry) {
    loaded.sequence = entry.sequence;
    let EntryBody::Decisions(decisions) = &entry.body else { return };
    for decision in decisions {
        // The owner applied each decision before committing it, so replaying it can't fail.
        if let Err(error) = loaded.state.apply(decision) {
            debug_assert!(false, "replaying a committed decision failed: {error}");
        }
    }
}

async fn read_snapshot(store: &Store, key: &str) -> Result<ShardState, StoreError> {
    let Some(text) = store.get_object(key).await? else {
        return Err(StoreError::Unavailable { message: format!("{key}: missing") });
    };
    let mut state: ShardState = serde_json::from_str(&text)
        .map_err(|source| StoreError::Unreadable { key: key.to_owned(), source })?;
    state.reindex();
    Ok(state)
}
