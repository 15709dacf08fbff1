//! Moves the configuration's history to the object store.
//!
//! All entries do so; the condition on the mark lets one of them win.

use std::time::Duration;

use rand::RngExt;
use slog::{Logger, info, warn};
use teaseltrack::journal::{CONFIGURATION_STREAM, SEGMENT_ENTRIES};
use teaseltrack_platform::{
    history::Archive,
    store::{Store, StoreError},
    stream::Stream,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between looks at the length of the journal.
const PERIOD: Duration = Duration::from_secs(60);
/// Entries that stay in the table, so that most readers find what they lack there.
const KEPT_ENTRIES: u64 = SEGMENT_ENTRIES;

/// Moves whole segments now and then until `closing` is cancelled.
pub async fn keep_archiving(
    store: Store,
    author: String,
    logger: Logger,
    closing: CancellationToken,
) {
    loop {
        let wait = PERIOD.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::select! {
            () = sleep(wait) => {}
            () = closing.cancelled() => return,
        }
        match archive_configuration(&store, &author).await {
            Ok(0) => {}
            Ok(segments) => info!(logger, "history archived"; "segments" => segments),
            Err(error) => warn!(logger, "history not archived"; "error" => %error),
        }
    }
}

/// Moves all whole segments but the newest entries; the number of segments moved.
///
/// # Errors
///
/// The store doesn't answer; what was moved before stays moved.
pub async fn archive_configuration(store: &Store, author: &str) -> Result<u64, StoreError> {
    let sequence = Stream::open(store, CONFIGURATION_STREAM).await?.head().sequence;
    let through = sequence.saturating_sub(KEPT_ENTRIES);
    let mut archive = Archive::read(store, CONFIGURATION_STREAM).await?;
    let mut segments = 0;
    while archive.move_segment(store, CONFIGURATION_STREAM, author, through, 0).await? {
        segments += 1;
    }
    Ok(segments)
}
