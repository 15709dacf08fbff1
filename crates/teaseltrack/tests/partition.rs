//! Partition of a fleet into cells.

use std::collections::{BTreeMap, BTreeSet};

use teaseltrack::cell::partition::{CellEntry, InvalidPartition, Partition, PartitionLimits};
use yare::parameterized;

const LIMITS: PartitionLimits =
    PartitionLimits { max_single_cell_workers: 80, max_cell_workers: 50 };

fn workers(counts: &[(&str, u32)]) -> BTreeMap<String, u32> {
    counts.iter().map(|(zone, count)| ((*zone).to_owned(), *count)).collect()
}

#[parameterized(
    no_workers = { &[], 1 },
    small_fleet = { &[("a", 4), ("b", 4), ("c", 3)], 1 },
    largest_single_cell = { &[("a", 40), ("b", 40)], 1 },
    zones_within_the_limit = { &[("a", 48), ("b", 48), ("c", 48), ("d", 48), ("e", 48)], 5 },
    zone_above_the_limit = { &[("a", 101), ("b", 30)], 4 },
    empty_zone = { &[("a", 90), ("b", 0)], 2 },
    target_fleet = { &[("a", 200), ("b", 200), ("c", 200), ("d", 200), ("e", 200), ("f", 200),
        ("g", 200)], 28 },
)]
fn decide_number_of_cells(counts: &[(&str, u32)], expected: usize) {
    let partition = Partition::decide(&workers(counts), LIMITS);
    assert_eq!(partition.cells.len(), expected);
    assert_eq!(partition.validate(), Ok(()));
}

#[test]
fn decide_gives_each_cell_at_most_the_limit_of_workers() {
    let partition = Partition::decide(&workers(&[("a", 149), ("b", 51)]), LIMITS);
    assert!(partition.cells.iter().all(|cell| cell.worker_count <= 50), "{partition:?}");
}

#[test]
fn cell_of_instance_stays_in_its_zone() {
    let partition = Partition::decide(&workers(&[("a", 150), ("b", 90)]), LIMITS);
    let mut cells = BTreeSet::new();
    for number in 0..500 {
        let cell = partition.cell_of_instance("a", &format!("instance-{number}"));
        assert_eq!(partition.cells[cell as usize].zone.as_deref(), Some("a"));
        cells.insert(cell);
    }
    assert_eq!(cells.len(), 3);
}

/// A process must find the same cell after each restart, and an instance of a zone that had no
/// workers when the fleet started must find one at all.
#[test]
fn cell_of_instance_exists_for_a_new_zone() {
    let partition = Partition::decide(&workers(&[("a", 60), ("b", 60)]), LIMITS);
    let cell = partition.cell_of_instance("c", &"instance".to_owned());
    assert!((cell as usize) < partition.cells.len());
    assert_eq!(cell, partition.clone().cell_of_instance("c", &"instance".to_owned()));
}

#[test]
fn cells_of_job_follow_the_number_of_workers() {
    let cells = [("a", 30), ("b", 10)]
        .map(|(zone, worker_count)| CellEntry { zone: Some(zone.to_owned()), worker_count });
    let partition = Partition { cells: cells.to_vec() };
    for choice in 0..2 {
        let in_first = (0..4_000)
            .filter(|number| partition.cells_of_job(&format!("{number:016x}"))[choice] == 0)
            .count();
        assert!((2_800..3_200).contains(&in_first), "{in_first} of 4000 jobs in 30 of 40 workers");
    }
}

#[parameterized(
    no_cells = { Vec::new(), Err(InvalidPartition::NoCells) },
    no_workers = { vec![CellEntry { zone: None, worker_count: 0 }],
        Err(InvalidPartition::NoWorkers { cell: 0 }) },
    one_cell = { vec![CellEntry { zone: None, worker_count: 1 }], Ok(()) },
)]
fn validate_checks_cells(cells: Vec<CellEntry>, expected: Result<(), InvalidPartition>) {
    assert_eq!(Partition { cells }.validate(), expected);
}
