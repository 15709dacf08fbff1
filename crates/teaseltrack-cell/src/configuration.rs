//! Follows the active configuration in the store.

use std::{sync::Arc, time::Duration};

use slog::{Logger, info, warn};
use teaseltrack_platform::store::{Store, StoreError};
use tokio::{sync::watch, time::sleep};

use crate::constants::{MAX_CHANGES_WAIT, RETRY_DELAY};

/// Parses the text of a configuration; the error is the reason why it is invalid.
pub type Decoder<T> = Arc<dyn Fn(&str) -> Result<T, String> + Send + Sync>;

/// Location and format of a configuration in the store.
pub struct ConfigurationSource<T> {
    /// Table whose changes are followed.
    pub table: String,
    /// Key of the configuration's row.
    pub key: String,
    /// Parses the row's value.
    pub decode: Decoder<T>,
    /// Returns the version of a configuration.
    pub version: fn(&T) -> u64,
}

impl<T> Clone for ConfigurationSource<T> {
    fn clone(&self) -> Self {
        Self {
            table: self.table.clone(),
            key: self.key.clone(),
            decode: self.decode.clone(),
            version: self.version,
        }
    }
}

/// Follows the configuration and publishes each newer version; older versions are ignored.
pub async fn follow_configuration<T>(
    store: Store,
    source: ConfigurationSource<T>,
    sender: watch::Sender<Option<Arc<T>>>,
    logger: Logger,
) {
    let mut after: Option<u64> = None;
    let mut wait = MAX_CHANGES_WAIT;
    loop {
        match next_change(&store, &source, after, wait, &sender, &logger).await {
            Ok(version) => (after, wait) = (version, MAX_CHANGES_WAIT),
            Err(error) => {
                warn!(logger, "failed to follow the configuration"; "error" => %error);
                // The next response shows at once whether the store responds again.
                wait = Duration::ZERO;
                sleep(RETRY_DELAY * 2).await;
            }
        }
    }
}

/// Reads the row, or waits for changes after a version; returns the version to continue from, or
/// `None` to read the row again.
async fn next_change<T>(
    store: &Store,
    source: &ConfigurationSource<T>,
    after: Option<u64>,
    wait: Duration,
    sender: &watch::Sender<Option<Arc<T>>>,
    logger: &Logger,
) -> Result<Option<u64>, StoreError> {
    let Some(after) = after else {
        let version = store.version(&source.table).await?;
        if let Some(row) = store.read(&source.key).await? {
            apply(source, &row.value, sender, logger);
        }
        return Ok(Some(version));
    };
    let page = store.changes(&source.table, after, wait).await?;
    if page.is_history_lost {
        info!(logger, "configuration changes no longer retained; reading the row again");
        return Ok(None);
    }
    for change in page.changes.iter().filter(|change| change.key == source.key) {
        if let Some(value) = &change.value {
            apply(source, value, sender, logger);
        }
    }
    if page.version <= after && page.changes.is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    Ok(Some(page.version.max(after)))
}

pub(crate) fn apply<T>(
    source: &ConfigurationSource<T>,
    text: &str,
    sender: &watch::Sender<Option<Arc<T>>>,
    logger: &Logger,
) {
    let configuration = match (source.decode)(text) {
        Ok(configuration) => configuration,
        Err(error) => {
            warn!(logger, "invalid configuration ignored"; "error" => error);
            return;
        }
    };
    let version = (source.version)(&configuration);
    sender.send_if_modified(|current| {
        if current.as_ref().is_some_and(|active| (source.version)(active) >= version) {
            return false;
        }
        info!(logger, "configuration applied"; "version" => version);
        *current = Some(Arc::new(configuration));
        true
    });
}
