//! Entries that can't be read, such as those of another writer: each is logged and counted once.

use std::{
    collections::{HashSet, VecDeque},
    fmt::Display,
    hash::{DefaultHasher, Hash, Hasher},
    sync::{Arc, Mutex, PoisonError},
};

use slog::{Logger, warn};

use crate::metrics::Metrics;

/// Number of entries that are remembered; an entry that is seen again after as many others is
/// reported again.
const MAX_REMEMBERED: usize = 1_024;
/// Maximum length of an entry's name in the log, in characters.
const MAX_NAME_CHARS: usize = 200;

#[derive(Debug, Default)]
struct Remembered {
    hashes: HashSet<u64>,
    oldest_first: VecDeque<u64>,
}

/// Reports entries that can't be read; cheap to clone.
#[derive(Clone, Debug)]
pub struct OddEntries {
    metrics: Metrics,
    logger: Logger,
    remembered: Arc<Mutex<Remembered>>,
}

impl OddEntries {
    /// Creates a reporter that has seen no entry.
    pub fn new(metrics: Metrics, logger: Logger) -> Self {
        Self { metrics, logger, remembered: Arc::default() }
    }

    /// Creates a reporter that writes no log.
    pub fn silent() -> Self {
        Self::new(Metrics::scrape_only(), crate::logs::silent())
    }

    /// Logs and counts an entry, unless one of the same kind and identity was reported before.
    /// Returns whether it is new.
    pub fn report(
        &self,
        kind: &str,
        identity: impl Hash,
        name: &str,
        reason: impl Display,
    ) -> bool {
        let mut hasher = DefaultHasher::new();
        (kind, identity).hash(&mut hasher);
        let is_new = self.remember(hasher.finish());
        if is_new {
            self.metrics.count_tagged("odd_entries", "kind", kind);
            let name: String = name.chars().take(MAX_NAME_CHARS).collect();
            warn!(self.logger, "ignored an entry that can't be read"; "kind" => kind,
                "name" => name, "reason" => %reason);
        }
        is_new
    }

    fn remember(&self, hash: u64) -> bool {
        let mut remembered = self.remembered.lock().unwrap_or_else(PoisonError::into_inner);
        if !remembered.hashes.insert(hash) {
            return false;
        }
        remembered.oldest_first.push_back(hash);
        if remembered.oldest_first.len() > MAX_REMEMBERED
            && let Some(oldest) = remembered.oldest_first.pop_front()
        {
            remembered.hashes.remove(&oldest);
        }
        true
    }
}
