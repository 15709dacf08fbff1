//! Journals: verification detects changed, resealed, removed and reordered entries.

mod util;

use proptest::prelude::*;
use teaseltrack::journal::{ChainError, ChainPosition, EntryBody, JournalEntry, SealedEntry};

const STREAM: &str = "shard-0001";

fn chain(length: u64) -> Vec<SealedEntry> {
    let mut sealed: Vec<SealedEntry> = Vec::new();
    for sequence in 1..=length {
        let previous = sealed.last().map_or("", |entry| entry.hash.as_str());
        let entry = JournalEntry {
            sequence,
            epoch: 1,
            transaction: format!("transaction-{sequence}"),
            at_ms: sequence,
            author: "agent-0".to_owned(),
            body: EntryBody::Ownership { owner: None, reason: "test".to_owned() },
        };
        let entry = SealedEntry::seal(previous, &entry);
        sealed.push(entry);
    }
    sealed
}

fn verify(chain: &[SealedEntry]) -> Result<ChainPosition, ChainError> {
    let mut position = ChainPosition::default();
    for entry in chain {
        position.advance(STREAM, Some(entry))?;
    }
    Ok(position)
}

#[test]
fn advance_intact_chain() {
    assert_eq!(verify(&chain(20)).unwrap().sequence, 20);
}

#[test]
fn advance_missing_entry() {
    let mut position = ChainPosition::default();
    let missing = ChainError::Missing { stream: STREAM.to_owned(), sequence: 1 };
    assert_eq!(position.advance(STREAM, None), Err(missing));
}

proptest! {
    #![proptest_config(util::config(256))]

    #[test]
    fn advance_changed_payload(at in 0..20_usize, byte in 0..1_000_usize) {
        let mut chain = chain(20);
        let mut payload = chain[at].payload.clone().into_bytes();
        let byte = byte % payload.len();
        payload[byte] = if payload[byte] == b'7' { b'8' } else { b'7' };
        chain[at].payload = String::from_utf8(payload).unwrap();
        prop_assert!(verify(&chain).is_err());
    }

    #[test]
    fn advance_resealed_entry(at in 0..19_usize) {
        let mut chain = chain(20);
        let mut entry = chain[at].open().unwrap();
        entry.author = "someone else".to_owned();
        let previous = if at == 0 { String::new() } else { chain[at - 1].hash.clone() };
        chain[at] = SealedEntry::seal(&previous, &entry);
        prop_assert!(verify(&chain).is_err());
    }

    #[test]
    fn advance_removed_entry(at in 0..19_usize) {
        let mut chain = chain(20);
        chain.remove(at);
        prop_assert!(verify(&chain).is_err());
    }

    #[test]
    fn advance_swapped_entries(at in 0..19_usize) {
        let mut chain = chain(20);
        chain.swap(at, at + 1);
        prop_assert!(verify(&chain).is_err());
    }
}
