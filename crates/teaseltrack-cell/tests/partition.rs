//! Decision of the fleet's partition by instances that start together, with a store that loses
//! responses, and with an unreadable partition.

mod util;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::future::join_all;
use teaseltrack::cell::partition::Partition;
use teaseltrack_cell::{
    constants::PARTITION_LIMITS,
    partition::{join_partition, wait_for_partition},
    rows::PARTITION_KEY,
};
use teaseltrack_daemon::logs::silent;
use tokio::time::{sleep, timeout};
use util::{Rows, store};

/// Starts `count` instances in five availability zones; returns the partition that each one uses.
async fn start_instances(rows: &Arc<Mutex<Rows>>, count: usize) -> Vec<Partition> {
    let join = async |number: usize| {
        let (instance, zone) = (format!("instance-{number}"), format!("zone-{}", number % 5));
        sleep(Duration::from_millis(number as u64 % 300)).await;
        join_partition(&store(rows), &instance, &zone, PARTITION_LIMITS, &silent()).await
    };
    join_all((0..count).map(join)).await
}

#[tokio::test(start_paused = true)]
async fn join_partition_of_a_large_fleet_is_decided_once() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let partitions = start_instances(&rows, 240).await;
    assert_eq!(partitions[0].cells.len(), 5);
    assert!(partitions.iter().all(|partition| *partition == partitions[0]));
    assert_eq!(rows.lock().unwrap().write_count(PARTITION_KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn join_partition_survives_lost_responses() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    rows.lock().unwrap().lost_responses = 30;
    let partitions = start_instances(&rows, 20).await;
    assert_eq!(partitions[0].cells.len(), 1);
    assert!(partitions.iter().all(|partition| *partition == partitions[0]));
    assert_eq!(rows.lock().unwrap().write_count(PARTITION_KEY), 1);
}

/// A process that starts after the fleet uses the stored partition, whatever the fleet's size now.
#[tokio::test(start_paused = true)]
async fn join_partition_uses_the_stored_one() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let first = start_instances(&rows, 11).await;
    let later = start_instances(&rows, 200).await;
    assert!(later.iter().all(|partition| *partition == first[0]));
}

#[tokio::test(start_paused = true)]
async fn wait_for_partition_ignores_an_unreadable_row() {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let (store, logger) = (store(&rows), silent());
    let unreadable = ["not JSON", "{\"cells\":[]}", "{\"cells\":[{\"worker_count\":0}]}", "[1]"];
    for value in unreadable {
        rows.lock().unwrap().put(PARTITION_KEY, value);
        let waiting = timeout(Duration::from_secs(5), wait_for_partition(&store, &logger));
        assert!(waiting.await.is_err(), "{value} was accepted");
    }
    rows.lock().unwrap().put(PARTITION_KEY, "{\"cells\":[{\"worker_count\":3}]}");
    assert_eq!(wait_for_partition(&store, &logger).await.cells[0].worker_count, 3);
}
