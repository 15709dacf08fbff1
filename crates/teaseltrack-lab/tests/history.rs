//! Journals in the store: concurrent appends, lost responses, and entries moved to the archive.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use teaseltrack::{
    clock::{SharedClock, SystemClock},
    ids::ShardNumber,
    journal::{ChainPosition, EntryBody, SEGMENT_ENTRIES},
    record::JobSpec,
    shard::{ShardState, stream_of},
    task::{Decision, TaskId},
};
use teaseltrack_lab::{
    options::args::PlatformOptions,
    platform::{Faults, Platform},
};
use teaseltrack_platform::{
    history::{Archive, read_entries},
    http_adapter::http_adapter,
    shard_state::{load_shard, write_snapshot},
    store::{Store, StoreBudget},
    stream::{Append, AppendOutcome, Stream},
};

const SHARD: ShardNumber = 3;

async fn start() -> (Platform, Store, SharedClock) {
    let options = PlatformOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        writes_per_s: 1e6,
        reads_per_s: 1e6,
        latency: Duration::ZERO,
    };
    let platform = Platform::start(&options).await.unwrap();
    let clock: SharedClock = Arc::new(SystemClock);
    let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
    let adapter = http_adapter(platform.address(), Duration::from_secs(2));
    (platform, Store::new(adapter, budget, clock.clone()), clock)
}

fn append(author: &str, decisions: Vec<Decision>) -> Append {
    Append {
        author: author.to_owned(),
        body: EntryBody::Decisions(decisions),
        epoch: 1,
        owner: None,
        conditions: Vec::new(),
        writes: Vec::new(),
        retry_deadline: None,
    }
}

fn job(tasks: u32) -> Decision {
    let spec = JobSpec {
        tasks,
        cpu_milli: 1,
        memory_mib: 1,
        accelerators: 0,
        run_ms: 1,
        team: "a".to_owned(),
        urgency: 3,
    };
    Decision::JobAdded { job: "job".to_owned(), revision: 1, spec }
}

fn parked(index: u32) -> Decision {
    let task = TaskId { job: "job".to_owned(), index };
    Decision::Parked { task, reason: "test".to_owned() }
}

/// Verifies the hash chain of a stream; returns the authors of its entries in order.
async fn authors(store: &Store, stream: &str) -> Vec<String> {
    let mut position = ChainPosition::default();
    let mut authors = Vec::new();
    loop {
        let entries = read_entries(store, stream, position.sequence).await.unwrap();
        if entries.is_empty() {
            return authors;
        }
        for entry in entries {
            position.advance(stream, Some(&entry)).unwrap();
            authors.push(entry.open().unwrap().author);
        }
    }
}

#[tokio::test]
async fn append_two_owners_one_wins() {
    let (_platform, store, clock) = start().await;
    let mut first = Stream::open(&store, "shard-0001").await.unwrap();
    let mut second = first.clone();
    let (first, second) = tokio::join!(
        first.append(&store, &clock, append("first", Vec::new())),
        second.append(&store, &clock, append("second", Vec::new())),
    );
    let outcomes = [first.unwrap(), second.unwrap()];
    let committed =
        outcomes.iter().filter(|outcome| matches!(outcome, AppendOutcome::Committed(_))).count();
    assert_eq!(committed, 1);
    assert!(outcomes.contains(&AppendOutcome::HeadMoved));
    assert_eq!(authors(&store, "shard-0001").await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn append_racing_with_lost_responses() {
    let (platform, store, clock) = start().await;
    platform.set_faults(Faults { lost_response_ratio: 0.5, ..Faults::default() });
    let racers: Vec<_> = (0..4)
        .map(|racer| {
            let (store, clock) = (store.clone(), clock.clone());
            tokio::spawn(async move {
                let author = format!("racer-{racer}");
                let mut committed = 0;
                for _ in 0..15 {
                    let mut stream = Stream::open(&store, "shard-0002").await.unwrap();
                    let outcome = stream.append(&store, &clock, append(&author, Vec::new())).await;
                    committed += usize::from(matches!(outcome, Ok(AppendOutcome::Committed(_))));
                }
                (author, committed)
            })
        })
        .collect();
    let mut reported = Vec::new();
    for racer in racers {
        reported.push(racer.await.unwrap());
    }
    platform.set_faults(Faults::default());
    let authors = authors(&store, "shard-0002").await;
    for (author, committed) in reported {
        assert_eq!(authors.iter().filter(|other| **other == author).count(), committed, "{author}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn segments_moved_and_read_back() {
    let (_platform, store, clock) = start().await;
    let name = stream_of(SHARD);
    let tasks = 2 * SEGMENT_ENTRIES as u32 + 50;
    let mut stream = Stream::open(&store, &name).await.unwrap();
    let mut state = ShardState::default();
    for decision in std::iter::once(job(tasks)).chain((0..tasks).map(parked)) {
        state.apply(&decision).unwrap();
        let outcome = stream.append(&store, &clock, append("owner", vec![decision])).await.unwrap();
        assert!(matches!(outcome, AppendOutcome::Committed(_)));
    }
    let before = authors(&store, &name).await;
    let sequence = stream.head().sequence;
    write_snapshot(&store, SHARD, &state, sequence).await.unwrap();
    let mut archive = Archive::read(&store, &name).await.unwrap();
    let mut other = archive.clone();
    assert!(archive.move_segment(&store, &name, "owner", sequence, sequence).await.unwrap());
    assert!(!other.move_segment(&store, &name, "late", sequence, sequence).await.unwrap());
    assert!(archive.move_segment(&store, &name, "owner", sequence, sequence).await.unwrap());
    assert!(!archive.move_segment(&store, &name, "owner", sequence, sequence).await.unwrap());

    assert_eq!(authors(&store, &name).await, before);
    let rows = store.list_all(&format!("journal/{name}/")).await.unwrap();
    assert_eq!(rows.len() as u64, sequence - 2 * SEGMENT_ENTRIES);
    let loaded = load_shard(&store, SHARD).await.unwrap();
    assert_eq!((loaded.state, loaded.sequence), (state, sequence));
}
