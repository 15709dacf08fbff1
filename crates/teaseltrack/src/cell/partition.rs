//! Partition of a fleet into cells.
//!
//! One owner can plan for a limited number of workers. A fleet with more is partitioned by
//! availability zone, and a zone with too many workers further by a hash of the instance. Two
//! cells for each job follow from its hash, in proportion to their workers. The partition is
//! decided once, when the fleet starts for the first time, and never changes: an instance
//! therefore belongs to the same cell in every process, and no worker ever has two owners.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    cell::job::JobId,
    ids::{InstanceId, ZoneName},
};

/// Number of a cell, from 0; its index in the partition.
pub type CellId = u32;

/// Limits on the size of a cell, in workers.
#[derive(Clone, Copy, Debug)]
pub struct PartitionLimits {
    /// Largest fleet with a single cell.
    pub max_single_cell_workers: u32,
    /// Largest cell of a partitioned fleet; also used to divide zones evenly.
    pub max_cell_workers: u32,
}

/// Cell of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellEntry {
    /// Availability zone of its workers; `None` if the cell spans all zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneName>,
    /// Number of workers when the partition was decided; at least 1.
    pub worker_count: u32,
}

/// Partition of a fleet into cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partition {
    /// The cells, by number.
    pub cells: Vec<CellEntry>,
}

/// Reason why a stored partition is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidPartition {
    /// The partition has no cells.
    #[snafu(display("cells: none"))]
    NoCells,
    /// A cell without workers.
    #[snafu(display("cells.{cell}.worker_count: 0"))]
    NoWorkers {
        /// Number of the cell.
        cell: usize,
    },
}

impl Partition {
    /// Partitions a fleet with the given number of workers in each zone.
    pub fn decide(workers_by_zone: &BTreeMap<ZoneName, u32>, limits: PartitionLimits) -> Self {
        let total: u32 = workers_by_zone.values().sum();
        if total <= limits.max_single_cell_workers {
            return Self { cells: vec![CellEntry { zone: None, worker_count: total.max(1) }] };
        }
        let mut cells = Vec::new();
        for (zone, &count) in workers_by_zone.iter().filter(|(_, count)| **count > 0) {
            let cell_count = count.div_ceil(limits.max_cell_workers.max(1));
            let worker_count = (count / cell_count).max(1);
            let entry = CellEntry { zone: Some(zone.clone()), worker_count };
            cells.extend(std::iter::repeat_n(entry, cell_count as usize));
        }
        Self { cells }
    }

    /// Checks a partition that was read from the store.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), InvalidPartition> {
        if self.cells.is_empty() {
            return NoCellsSnafu.fail();
        }
        match self.cells.iter().position(|cell| cell.worker_count == 0) {
            Some(cell) => NoWorkersSnafu { cell }.fail(),
            None => Ok(()),
        }
    }

    /// Numbers of all cells.
    pub fn cell_ids(&self) -> impl Iterator<Item = CellId> + use<> {
        0..self.cells.len() as CellId
    }

    /// Cell of an instance. Instances of a zone without a cell are spread over all cells.
    pub fn cell_of_instance(&self, zone: &str, instance: &InstanceId) -> CellId {
        let is_in_zone =
            |entry: &CellEntry| entry.zone.as_ref().is_none_or(|cell_zone| cell_zone == zone);
        let mut candidates: Vec<CellId> =
            self.cell_ids().filter(|cell| is_in_zone(&self.cells[*cell as usize])).collect();
        if candidates.is_empty() {
            candidates.extend(self.cell_ids());
        }
        let hash = xxh3_64(instance.as_bytes());
        candidates[(hash % candidates.len() as u64) as usize]
    }

    /// The two cells from which a job's cell is chosen; the same one twice if they coincide.
    pub fn cells_of_job(&self, job: &JobId) -> [CellId; 2] {
        [0, 1].map(|seed| self.weighted_cell(xxh3_64_with_seed(job.as_bytes(), seed)))
    }

    /// Cell of a hash; each cell gets a share in proportion to its workers.
    fn weighted_cell(&self, hash: u64) -> CellId {
        let total: u64 = self.cells.iter().map(|cell| u64::from(cell.worker_count)).sum();
        let mut remaining = hash % total.max(1);
        for (cell, entry) in self.cell_ids().zip(&self.cells) {
            let worker_count = u64::from(entry.worker_count);
            if remaining < worker_count {
                return cell;
            }
            remaining -= worker_count;
        }
        0
    }
}
