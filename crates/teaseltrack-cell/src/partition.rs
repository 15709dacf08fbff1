//! Decision and lookup of the fleet's partition into cells.
//!
//! The partition is a row that is written once, when the fleet starts for the first time. Until it
//! exists, each agent stores a row with its availability zone, waits until all others have had time
//! to do the same, and then counts the rows and tries to write the partition. The first one
//! succeeds; all processes use what is stored.

use std::{collections::BTreeMap, time::Duration};

use slog::{Logger, info, warn};
use teaseltrack::{
    cell::partition::{Partition, PartitionLimits},
    ids::{InstanceId, ZoneName},
};
use teaseltrack_platform::store::{
    CommitOutcome, Condition, Store, StoreError, Transaction, Write,
};
use tokio::time::sleep;

use crate::{
    constants::{
        PARTITION_SETTLE_STEP, PARTITION_SETTLE_STEPS, PARTITION_SETTLE_TIME, RETRY_DELAY,
    },
    rows::{INSTANCE_PARTS, InstanceRow, PARTITION_KEY, instance_key, instance_prefix},
};

/// Interval at which a process that takes no part in the decision checks for the partition.
const PARTITION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Waits for the partition.
pub async fn wait_for_partition(store: &Store, logger: &Logger) -> Partition {
    loop {
        match read_partition(store).await {
            Ok(Some(partition)) => return partition,
            Ok(None) => sleep(PARTITION_CHECK_INTERVAL).await,
            Err(error) => {
                warn!(logger, "failed to read the partition; retrying"; "error" => %error);
                sleep(PARTITION_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Reads the partition, or takes part in its decision.
pub async fn join_partition(
    store: &Store,
    instance: &InstanceId,
    zone: &ZoneName,
    limits: PartitionLimits,
    logger: &Logger,
) -> Partition {
    let mut is_registered = false;
    loop {
        match try_join(store, instance, zone, limits, &mut is_registered, logger).await {
            Ok(Some(partition)) => return partition,
            Ok(None) => {}
            Err(error) => {
                warn!(logger, "failed to read or decide the partition; retrying";
                    "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn try_join(
    store: &Store,
    instance: &InstanceId,
    zone: &ZoneName,
    limits: PartitionLimits,
    is_registered: &mut bool,
    logger: &Logger,
) -> Result<Option<Partition>, StoreError> {
    if let Some(partition) = read_partition(store).await? {
        return Ok(Some(partition));
    }
    if !*is_registered {
        register(store, instance, zone).await?;
        *is_registered = true;
        sleep(PARTITION_SETTLE_TIME + settle_delay(instance)).await;
        return Ok(None);
    }
    let workers_by_zone = count_instances(store).await?;
    let partition = Partition::decide(&workers_by_zone, limits);
    let transaction = Transaction {
        id: "partition".to_owned(),
        conditions: vec![Condition { key: PARTITION_KEY.to_owned(), version: 0 }],
        writes: vec![Write::put(PARTITION_KEY.to_owned(), &partition)],
    };
    // After a conflict, the stored partition is read.
    if let CommitOutcome::Committed { .. } = store.commit(transaction).await? {
        info!(logger, "fleet partitioned"; "cells" => partition.cells.len(),
            "workers" => workers_by_zone.values().sum::<u32>());
    }
    Ok(None)
}

async fn read_partition(store: &Store) -> Result<Option<Partition>, StoreError> {
    let Some(row) = store.read(PARTITION_KEY).await? else { return Ok(None) };
    let partition: Partition = row.parse()?;
    partition.validate().map_err(|error| StoreError::Unreadable {
        key: row.key,
        source: serde::de::Error::custom(error),
    })?;
    Ok(Some(partition))
}

async fn register(
    store: &Store,
    instance: &InstanceId,
    zone: &ZoneName,
) -> Result<CommitOutcome, StoreError> {
    let key = instance_key(instance);
    let transaction = Transaction {
        id: instance.clone(),
        conditions: Vec::new(),
        writes: vec![Write::put(key, &InstanceRow { zone: zone.clone() })],
    };
    store.commit(transaction).await
}

async fn count_instances(store: &Store) -> Result<BTreeMap<ZoneName, u32>, StoreError> {
    let mut counts = BTreeMap::new();
    for part in INSTANCE_PARTS {
        for row in store.list_all(&instance_prefix(part)).await? {
            let instance: Option<InstanceRow> = store.parse(&row);
            if let Some(instance) = instance {
                *counts.entry(instance.zone).or_insert(0) += 1;
            }
        }
    }
    Ok(counts)
}

/// Delay of an instance after the settle time, so that few instances count the rows.
fn settle_delay(instance: &InstanceId) -> Duration {
    let hash = xxhash_rust::xxh3::xxh3_64(instance.as_bytes());
    PARTITION_SETTLE_STEP * (hash % PARTITION_SETTLE_STEPS) as u32
}
