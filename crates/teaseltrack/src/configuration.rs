//! Active configuration of one process.
//!
//! A record replaces another only if its revision is higher, so that the configuration never
//! reverts to an earlier state. Peers exchange the records that follow a given revision, in pages.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::Revision,
    quota::Quota,
    record::{Record, RecordKind, ServiceSpec, Spec, parse_spec},
};

/// Page of the records that follow a revision, without superseded ones.
///
/// A revision becomes active only once the last page has been applied: where a superseded record
/// was omitted, its replacement may be on any later page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangePage {
    /// Records in ascending order of revision.
    pub records: Vec<Record>,
    /// Active revision of the source, if this is the last page.
    pub complete_revision: Option<Revision>,
}

impl ChangePage {
    /// Creates the last or only page.
    pub fn complete(records: Vec<Record>, revision: Revision) -> Self {
        Self { records, complete_revision: Some(revision) }
    }

    /// Revision after which the next page begins; `None` for the last page.
    pub fn next_after(&self) -> Option<Revision> {
        let is_last = self.complete_revision.is_some();
        self.records.last().map(|record| record.revision).filter(|_| !is_last)
    }
}

/// Applied records other than jobs, and the specifications parsed from them.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    revision: Revision,
    records: BTreeMap<(RecordKind, String), Record>,
    services: BTreeMap<String, ServiceSpec>,
    quotas: BTreeMap<String, Quota>,
}

impl Configuration {
    /// Active revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Active specification of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Active quota of a team.
    pub fn quota(&self, team: &str) -> Option<Quota> {
        self.quotas.get(team).copied()
    }

    /// Number of stored records, including withdrawn ones.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Applies a page; true if the active revision increased.
    pub fn apply(&mut self, page: ChangePage) -> bool {
        for record in page.records {
            self.apply_record(record);
        }
        let complete_revision = page.complete_revision.unwrap_or(0);
        let is_higher = complete_revision > self.revision;
        self.revision = self.revision.max(complete_revision);
        is_higher
    }

    /// Page of at most `limit` records that follow a revision.
    pub fn page_after(&self, revision: Revision, limit: usize) -> ChangePage {
        let mut records: Vec<&Record> =
            self.records.values().filter(|record| record.revision > revision).collect();
        records.sort_by_key(|record| record.revision);
        let is_last = records.len() <= limit;
        records.truncate(limit);
        ChangePage {
            records: records.into_iter().cloned().collect(),
            complete_revision: is_last.then_some(self.revision),
        }
    }

    fn apply_record(&mut self, record: Record) {
        if record.kind == RecordKind::Job {
            return;
        }
        let key = (record.kind, record.name.clone());
        if self.records.get(&key).is_some_and(|existing| existing.revision >= record.revision) {
            return;
        }
        self.replace_spec(&record);
        self.records.insert(key, record);
    }

    fn replace_spec(&mut self, record: &Record) {
        let name = &record.name;
        match record.kind {
            RecordKind::Service => drop(self.services.remove(name)),
            RecordKind::Team => drop(self.quotas.remove(name)),
            RecordKind::Job | RecordKind::Watch => {}
        }
        if record.is_withdrawn {
            return;
        }
        match parse_spec(record.kind, record.schema_version, &record.body) {
            Ok(Spec::Service(spec)) => drop(self.services.insert(name.clone(), spec)),
            Ok(Spec::Team(spec)) => {
                let quota = Quota { rate_per_s: spec.requests_per_s, burst: spec.burst };
                self.quotas.insert(name.clone(), quota);
            }
            Ok(Spec::Job(_) | Spec::Watch(_)) | Err(_) => {}
        }
    }
}
