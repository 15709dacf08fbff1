//! Archives the configuration journal in the object store.
//!
//! Every entry runs the archiver; the condition on the archive mark lets only one of several
//! concurrent attempts commit.

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

/// Mean interval between checks of the journal's length.
const ARCHIVE_PERIOD: Duration = Duration::from_secs(60);
/// Minimum number of newest entries retained in the table, so that most readers don't need the
/// archive.
const RETAINED_ENTRIES: u64 = SEGMENT_ENTRIES;

/// Archives full segments periodically until `closing` is cancelled.
pub async fn run_archiver(
    store: Store,
    author: String,
    logger: Logger,
    closing: CancellationToken,
) {
    loop {
        let delay = ARCHIVE_PERIOD.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::select! {
            () = sleep(delay) => {}
            () = closing.cancelled() => return,
        }
        match archive_configuration(&store, &author).await {
            Ok(0) => {}
            Ok(segments) => info!(logger, "journal archived"; "segments" => segments),
            Err(error) => warn!(logger, "archiving failed"; "error" => %error),
        }
    }
}

/// Archives all full segments before the newest `RETAINED_ENTRIES` entries; returns the number of
/// segments.
///
/// # Errors
///
/// The store is unavailable; segments that were already archived stay archived.
pub async fn archive_configuration(store: &Store, author: &str) -> Result<u64, StoreError> {
    let sequence = Stream::open(store, CONFIGURATION_STREAM).await?.head().sequence;
    let through = sequence.saturating_sub(RETAINED_ENTRIES);
    let mut archive = Archive::read(store, CONFIGURATION_STREAM).await?;
    let mut segments = 0;
    while archive.move_segment(store, CONFIGURATION_STREAM, author, through, 0).await? {
        segments += 1;
    }
    Ok(segments)
}
