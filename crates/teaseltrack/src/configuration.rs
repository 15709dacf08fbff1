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
///
/// Several pages may be needed. A process counts a revision as in force only after the last of them,
/// since a record left out as superseded may come with any later page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangePage {
    /// Records by rising revision.
    pub records: Vec<Record>,
    /// Revision in force at the source, if this is the last page.
    pub complete_revision: Option<Revision>,
}

impl ChangePage {
    /// The only page, or the last.
    pub fn complete(records: Vec<Record>, revision: Revision) -> Self {
        Self { records, complete_revision: Some(revision) }
    }

    /// Revision after which the next page begins; `None` after the last.
    pub fn next_after(&self) -> Option<Revision> {
        let is_last = self.complete_revision.is_some();
        self.records.last().map(|record| record.revision).filter(|_| !is_last)
    }
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

    /// Applies a page; true if the revision in force went up.
    pub fn apply(&mut self, page: ChangePage) -> bool {
        for record in page.records {
            self.apply_record(record);
        }
        let complete_revision = page.complete_revision.unwrap_or(0);
        let is_higher = complete_revision > self.revision;
        self.revision = self.revision.max(complete_revision);
        is_higher
    }

    /// A page of what came after a revision, at most `limit` records.
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
