//! Parsing and validation of records across schema versions; a configuration that never reverts.

mod util;

use proptest::prelude::*;
use serde_json::{Value, json};
use teaseltrack::{
    configuration::{ChangePage, Configuration},
    record::{Record, RecordKind, Spec, check_name, parse_spec},
};
use yare::parameterized;

fn record(name: &str, revision: u64, timeout_ms: u64) -> Record {
    Record {
        kind: RecordKind::Service,
        name: name.to_owned(),
        schema_version: 2,
        revision,
        author: "test".to_owned(),
        changed_at_ms: 0,
        is_withdrawn: false,
        body: json!({ "timeout_ms": timeout_ms }),
    }
}

#[parameterized(
    service_1 = { RecordKind::Service, 1, json!({ "timeout_ms": 5 }) },
    service_2 = { RecordKind::Service, 2, json!({ "timeout_ms": 5, "is_hedged": true }) },
    job_1 = { RecordKind::Job, 1, json!({ "tasks": 1, "cpu_milli": 1, "memory_mib": 1, "run_ms": 1, "team": "a" }) },
    job_2 = { RecordKind::Job, 2, json!({ "tasks": 1, "cpu_milli": 1, "memory_mib": 1, "run_ms": 1, "team": "a", "urgency": 0 }) },
    team_1 = { RecordKind::Team, 1, json!({ "requests_per_s": 1.5, "burst": 2.0 }) },
)]
fn parse_spec_version(kind: RecordKind, version: u32, body: Value) {
    assert!(parse_spec(kind, version, &body).is_ok());
}

#[parameterized(
    version_0 = { RecordKind::Service, 0, json!({}), "schema_version" },
    new_field_in_old_version = { RecordKind::Service, 1, json!({ "timeout_ms": 5, "is_hedged": true }), "is_hedged" },
    timeout_0 = { RecordKind::Service, 2, json!({ "timeout_ms": 0 }), "timeout_ms" },
    timeout_text = { RecordKind::Service, 1, json!({ "timeout_ms": "soon" }), "timeout_ms" },
    no_tasks = { RecordKind::Job, 2, json!({ "tasks": 0, "cpu_milli": 1, "memory_mib": 1, "run_ms": 1, "team": "a" }), "tasks" },
    urgency_8 = { RecordKind::Job, 2, json!({ "tasks": 1, "cpu_milli": 1, "memory_mib": 1, "run_ms": 1, "team": "a", "urgency": 8 }), "urgency" },
    no_team = { RecordKind::Job, 1, json!({ "tasks": 1, "cpu_milli": 1, "memory_mib": 1, "run_ms": 1 }), "team" },
    rate_0 = { RecordKind::Team, 1, json!({ "requests_per_s": 0.0, "burst": 2.0 }), "requests_per_s" },
)]
fn parse_spec_error_names_field(kind: RecordKind, version: u32, body: Value, field: &str) {
    let error = parse_spec(kind, version, &body).unwrap_err().to_string();
    assert!(error.contains(field), "{error}");
}

#[test]
fn parse_spec_versions_equivalent() {
    let old = parse_spec(RecordKind::Service, 1, &json!({ "timeout_ms": 5 })).unwrap();
    let new = parse_spec(RecordKind::Service, 2, &json!({ "timeout_ms": 5 })).unwrap();
    assert_eq!(old, new);
    assert!(matches!(old, Spec::Service(service) if service.timeout_ms == 5));
}

#[parameterized(empty = { "" }, slash = { "a/b" }, blank = { "a b" }, accent = { "ž" })]
fn check_name_rejected(name: &str) {
    assert!(check_name(name).is_err());
}

#[test]
fn configuration_withdrawn_record_inactive() {
    let mut configuration = Configuration::default();
    let active = record("a", 1, 5);
    configuration.apply(ChangePage::complete(vec![active.clone()], 1));
    assert!(configuration.service("a").is_some());
    let withdrawn = Record { is_withdrawn: true, revision: 2, ..active };
    configuration.apply(ChangePage::complete(vec![withdrawn], 2));
    assert!(configuration.service("a").is_none());
}

/// A configuration after `count` changes to five records.
fn source(count: u64) -> Configuration {
    let mut source = Configuration::default();
    for revision in 1..=count {
        let changed = record(&format!("service-{}", revision % 5), revision, revision);
        source.apply(ChangePage::complete(vec![changed], revision));
    }
    source
}

fn timeout_of(configuration: &Configuration, number: u64) -> Option<u64> {
    configuration.service(&format!("service-{number}")).map(|service| service.timeout_ms)
}

proptest! {
    #![proptest_config(util::config(256))]

    /// Fetches pages from sources that are ahead or behind, stopping after an arbitrary page.
    /// Guards against an older page replacing a newer record.
    #[test]
    fn configuration_never_reverts(
        fetches in prop::collection::vec((0..40_u64, 1..6_usize, 1..8_usize), 1..60),
    ) {
        let mut process = Configuration::default();
        for (count, limit, pages) in fetches {
            let before = process.clone();
            let source = source(count);
            let mut after = Some(process.revision());
            for _ in 0..pages {
                let Some(revision) = after else { break };
                let page = source.page_after(revision, limit);
                after = page.next_after();
                process.apply(page);
            }
            prop_assert!(process.revision() >= before.revision());
            let expected = self::source(process.revision());
            for number in 0..5 {
                prop_assert!(timeout_of(&process, number) >= timeout_of(&before, number));
                prop_assert!(timeout_of(&process, number) >= timeout_of(&expected, number));
            }
        }
    }
}
