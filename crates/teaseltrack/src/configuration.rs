//! The configuration in force at one process.
//!
//! Records are applied in the order of their revisions, and only higher ones, so that the
//! configuration never reverts. Peers hand each other what came after a revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::Revision,
    quota::Quota,
    record::{Record, RecordKind, ServiceSpec, Spec, parse_spec},
};

/// Records that came after a revision, superseded ones left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangePage {
    /// Records by rising revision.
    pub records: Vec<Record>,
    /// Revision up to which the page is complete.
    pub through_revision: Revision,
}

/// Records in force and what was parsed of them.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    revision: Revision,
    records: BTreeMap<(RecordKind, String), Record>,
    services: BTreeMap<String, ServiceSpec>,
    quotas: BTreeMap<String, Quota>,
}

impl Configuration {
    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Specification of a service in force.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Quota of a team in force.
    pub fn quota(&self, team: &str) -> Option<Quota> {
        self.quotas.get(team).copied()
    }

    /// Number of records held, withdrawn ones included.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Applies a page; true if the revision went up.
    pub fn apply(&mut self, page: ChangePage) -> bool {
        if page.through_revision <= self.revision {
            return false;
        }
        for record in page.records {
            self.apply_record(record);
        }
        self.revision = page.through_revision;
        true
    }

    /// What came after a revision, at most `limit` records.
    pub fn page_after(&self, revision: Revision, limit: usize) -> ChangePage {
        let mut records: Vec<&Record> =
            self.records.values().filter(|record| record.revision > revision).collect();
        records.sort_by_key(|record| record.revision);
        let is_whole = records.len() <= limit;
        records.truncate(limit);
        let last = records.last().map_or(self.revision, |record| record.revision);
        ChangePage {
            records: records.into_iter().cloned().collect(),
            through_revision: if is_whole { self.revision } else { last },
        }
    }

    fn apply_record(&mut self, record: Record) {
        if record.kind == RecordKind::Job {
            return;
        }
        let key = (record.kind, record.name.clone());
        if self.records.get(&key).is_some_and(|held| held.revision >= record.revision) {
            return;
        }
        self.put_in_force(&record);
        self.records.insert(key, record);
    }

    fn put_in_force(&mut self, record: &Record) {
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
