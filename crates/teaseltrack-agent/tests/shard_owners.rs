//! Owners of a shard that are replaced while an instance with tasks is lost.

mod util;

use std::{sync::Arc, time::Duration};

use teaseltrack::{lease::LeaseWatches, placement::Resources};
use teaseltrack_agent::tasks::owner::{OwnerMessage, ShardOwnerTask, run_owner};
use teaseltrack_wire::control::ReportBatch;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

use crate::util::Fleet;

/// Default length of an instance's lease.
const TTL: Duration = Duration::from_secs(60);
/// Interval between two observations by the test.
const STEP: Duration = Duration::from_millis(100);
/// Maximum time of a take-over: from the end of an owner until its successor's first check of the
/// leases.
const TAKE_OVER: Duration = Duration::from_secs(6);

/// Time after which the task of an instance that was lost for good must be taken back.
fn lapse_time() -> Duration {
    TTL + TTL / 4
}

/// Renews the instance's lease for the last time, once the fleet's agents own their shards.
async fn lose_instance(fleet: &Fleet) {
    sleep(TAKE_OVER).await;
    fleet.renew_lease().await;
}

/// Kills the shard's owner each time it has owned the shard for `period`, until the task is taken
/// back or `limit` is over; returns the time that it took, and the number of owners that were
/// killed. `is_joined` says whether a new agent joins at the end of each owner.
async fn replace_owners(
    fleet: &mut Fleet,
    period: Duration,
    limit: Duration,
    is_joined: bool,
) -> (Option<Duration>, u32) {
    let started_at = Instant::now();
    let (mut owned_since, mut last_owner, mut kill_count) = (Instant::now(), None, 0);
    while started_at.elapsed() < limit {
        if fleet.is_reclaimed().await {
            return (Some(started_at.elapsed()), kill_count);
        }
        let owner = fleet.owner();
        if owner != last_owner {
            (owned_since, last_owner) = (Instant::now(), owner.clone());
        }
        if let Some(owner) = owner.filter(|_| owned_since.elapsed() >= period) {
            fleet.kill_agent(&owner).await;
            kill_count += 1;
            if is_joined {
                fleet.start_agent(&format!("late-{kill_count}")).await;
            }
        }
        sleep(STEP).await;
    }
    (None, kill_count)
}

// Failure: each new owner waited for the lost instance's lease from the start, so that owners that
// were replaced more often than that never took its tasks back.
#[tokio::test(start_paused = true)]
async fn reclaim_within_one_lease_despite_owner_changes() {
    let mut fleet = Fleet::new(TTL).await;
    for number in 0..12 {
        fleet.start_agent(&format!("agent-{number}")).await;
    }
    lose_instance(&fleet).await;
    let limit = lapse_time() + TAKE_OVER;
    let (reclaimed_after, kill_count) =
        replace_owners(&mut fleet, Duration::from_secs(10), limit, false).await;
    assert!(kill_count >= 5, "only {kill_count} owners were replaced");
    assert!(reclaimed_after.is_some(), "not within {limit:?}, {kill_count} owners replaced");
}

// Failure: a successor that started after its predecessor's end knew nothing of its wait.
#[tokio::test(start_paused = true)]
async fn reclaim_within_one_lease_of_observed_time_with_new_processes() {
    let mut fleet = Fleet::new(TTL).await;
    fleet.start_agent("agent").await;
    lose_instance(&fleet).await;
    // Only the time of the take-overs isn't observed by any owner.
    let limit = 2 * lapse_time();
    let (reclaimed_after, kill_count) =
        replace_owners(&mut fleet, 2 * TAKE_OVER, limit, true).await;
    assert!(kill_count >= 5, "only {kill_count} owners were replaced");
    let limit = lapse_time() + TAKE_OVER * (kill_count + 1);
    assert!(
        reclaimed_after.is_some_and(|time| time <= limit),
        "after {reclaimed_after:?} instead of {limit:?}, {kill_count} owners replaced"
    );
}

// Failure: the lease of an instance that still renews it must not lapse, whoever watches it.
#[tokio::test(start_paused = true)]
async fn reclaim_not_from_an_instance_that_renews() {
    let mut fleet = Fleet::new(TTL).await;
    for number in 0..12 {
        fleet.start_agent(&format!("agent-{number}")).await;
    }
    for _ in 0..10 {
        let (reclaimed_after, _) =
            replace_owners(&mut fleet, Duration::from_secs(15), TTL, false).await;
        assert_eq!(reclaimed_after, None);
        fleet.renew_lease().await;
        if fleet.owner().is_none() {
            fleet.start_agent("agent").await;
        }
    }
}

// Failure: without a change of the owner the wait must not be shorter than the lease, or much longer.
#[tokio::test(start_paused = true)]
async fn reclaim_after_the_lease_with_one_owner() {
    let mut fleet = Fleet::new(TTL).await;
    fleet.start_agent("agent").await;
    let limit = lapse_time() + TAKE_OVER;
    let (reclaimed_after, kill_count) = replace_owners(&mut fleet, limit, limit, false).await;
    assert_eq!(kill_count, 0);
    assert!(reclaimed_after.is_some_and(|time| time > lapse_time()), "after {reclaimed_after:?}");
}

/// Runs owners that know nothing but the shard's rows, one after the other without a gap, each for
/// `period`; returns the time until the task was taken back, if that is within `limit`.
async fn run_owners(
    fleet: &Fleet,
    period: Duration,
    limit: Duration,
    lost_responses: u32,
) -> Option<Duration> {
    let started_at = Instant::now();
    for number in 0.. {
        let (sender, receiver) = mpsc::channel(1);
        let context = Arc::new(fleet.owner_context(&format!("owner-{number}")));
        let lease_watches = LeaseWatches::default();
        let task = ShardOwnerTask { shard: fleet.shard(), context, lease_watches, receiver };
        let owner = tokio::spawn(run_owner(task));
        let owned_since = Instant::now();
        while owned_since.elapsed() < period {
            sleep(STEP).await;
            if started_at.elapsed() > limit {
                return None;
            }
            if fleet.is_reclaimed().await {
                return Some(started_at.elapsed());
            }
        }
        fleet.rows.lock().unwrap().lost_responses = lost_responses;
        owner.abort();
        drop(sender);
    }
    None
}

// Failure: an owner didn't continue the wait that its predecessor had recorded.
#[tokio::test(start_paused = true)]
async fn owner_continues_the_recorded_wait() {
    let fleet = Fleet::new(TTL).await;
    let limit = lapse_time() + TAKE_OVER;
    let reclaimed_after = run_owners(&fleet, Duration::from_secs(20), limit, 0).await;
    assert!(reclaimed_after.is_some_and(|time| time > lapse_time()), "after {reclaimed_after:?}");
}

// Failure: an owner whose first commits were answered by nothing lost the recorded wait.
#[tokio::test(start_paused = true)]
async fn owner_continues_the_recorded_wait_after_lost_responses() {
    let fleet = Fleet::new(TTL).await;
    let limit = lapse_time() + TAKE_OVER;
    let reclaimed_after = run_owners(&fleet, Duration::from_secs(20), limit, 3).await;
    assert!(reclaimed_after.is_some_and(|time| time > lapse_time()), "after {reclaimed_after:?}");
}

// Failure: time in which no instance could renew its lease counted as silence of one.
#[tokio::test(start_paused = true)]
async fn reclaim_not_for_an_outage_of_the_store() {
    let mut fleet = Fleet::new(TTL).await;
    for number in 0..12 {
        fleet.start_agent(&format!("agent-{number}")).await;
    }
    sleep(Duration::from_secs(30)).await;
    fleet.rows.lock().unwrap().is_unavailable = true;
    for _ in 0..4 {
        sleep(Duration::from_secs(30)).await;
        if let Some(owner) = fleet.owner() {
            fleet.kill_agent(&owner).await;
        }
    }
    fleet.rows.lock().unwrap().is_unavailable = false;
    sleep(Duration::from_secs(10)).await;
    assert!(!fleet.is_reclaimed().await, "the holder had no time to renew its lease");
    fleet.renew_lease().await;
    sleep(TTL).await;
    assert!(!fleet.is_reclaimed().await, "reclaimed after a renewal");
}

// Failure: an owner looked at parked tasks only 10 s after its start, so that owners that were replaced
// more often than that never placed a task that fits by now.
#[tokio::test(start_paused = true)]
async fn unpark_despite_owner_changes() {
    let fleet = Fleet::new(TTL).await;
    let job = fleet.park_task().await;
    let capacity = Resources { cpu_milli: 64_000, memory_mib: 64_000, accelerators: 0 };
    for number in 0..4 {
        let (sender, receiver) = mpsc::channel(1);
        let instance = format!("owner-{number}");
        let context = Arc::new(fleet.owner_context(&instance));
        let lease_watches = LeaseWatches::default();
        let task = ShardOwnerTask { shard: fleet.shard(), context, lease_watches, receiver };
        let owner = tokio::spawn(run_owner(task));
        let batch = ReportBatch {
            shard: fleet.shard(),
            instance,
            incarnation: 1,
            capacity,
            available: capacity,
            reports: Vec::new(),
        };
        let (reply, _response) = oneshot::channel();
        sender.send(OwnerMessage::Report(batch, reply)).await.unwrap();
        sleep(Duration::from_secs(5)).await;
        owner.abort();
    }
    assert!(!fleet.is_parked(&job).await, "parked for 20 s, 4 owners");
}
