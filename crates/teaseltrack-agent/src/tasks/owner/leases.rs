//! Reclaiming attempts from instances whose lease has ended.
//!
//! An owner records for how long it has seen the leases unchanged that it waits for, conditional on
//! the shard's head, and its successor continues from there. The candidates for the shard read the
//! record while the owner lives, so that the time of a takeover counts as well.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use slog::{info, warn};
use teaseltrack::{
    ids::{InstanceId, ShardNumber},
    journal::EntryBody,
    lease::{LeaseRow, LeaseState, LeaseWatches, SilenceRow},
    task::{Decision, TaskId},
};
use teaseltrack_platform::{
    keys,
    store::{CommitOutcome, Condition, Row, StoreError, Transaction, Write},
    stream::{AppendOutcome, read_with_retries, transaction_id},
};

use crate::tasks::owner::{OwnedShard, OwnerContext, ShardLost};

/// Maximum number of leases read individually; a larger number is read by listing all leases.
const MAX_SINGLE_READS: usize = 8;

/// Continues the measurements that earlier owners of the shard have recorded; returns the record.
pub(super) async fn adopt_recorded_silence(
    context: &OwnerContext,
    shard: ShardNumber,
    watches: &mut LeaseWatches,
) -> SilenceRow {
    let row = read_with_retries(&context.store, &keys::silence(shard)).await;
    let received_at = context.clock.now();
    let recorded = parse_silence(row.as_ref());
    // The read may have been repeated for long, so that only its answer has a known time.
    watches.adopt(&recorded, received_at, received_at);
    recorded
}

/// Parses a shard's record of leases; one that is missing or can't be parsed is empty, which only
/// makes the wait longer.
pub fn parse_silence(row: Option<&Row>) -> SilenceRow {
    row.and_then(|row| row.parse().ok()).unwrap_or_default()
}

impl OwnedShard {
    /// Reclaims the attempts of instances whose lease was released, has lapsed or has a new
    /// incarnation.
    pub(super) async fn check_leases(&mut self) -> Result<(), ShardLost> {
        let members = self.context.node.members();
        let present: BTreeSet<&str> =
            members.iter().map(|member| member.instance.as_str()).collect();
        let instances_to_check: Vec<InstanceId> = self
            .state
            .instances()
            .filter(|instance| {
                !present.contains(instance.as_str()) || self.has_new_incarnation(instance)
            })
            .cloned()
            .collect();
        // A lease keeps its watch while its instance is a member: a new owner may not know yet that
        // the instance is lost.
        let state = &self.state;
        self.lease_watches.retain(|instance| state.placed_on(instance).next().is_some());
        let sent_at = self.context.clock.now();
        let Ok(rows) = self.read_leases(&instances_to_check).await else { return Ok(()) };
        let received_at = self.context.clock.now();
        for row in rows {
            self.check_lease(row, sent_at, received_at).await?;
        }
        self.record_silence().await
    }

    /// Records the lease watches for the next owner if they have changed.
    ///
    /// A failed write may or may not have taken effect, and is followed by another one at the next
    /// check. A record that is written late replaces a newer one for no longer than that.
    async fn record_silence(&mut self) -> Result<(), ShardLost> {
        let silence = self.lease_watches.record();
        if silence == self.recorded_silence {
            return Ok(());
        }
        let head_key = keys::head(self.stream.name());
        let transaction = Transaction {
            id: transaction_id(&self.context.owner.instance),
            conditions: vec![Condition { key: head_key, version: self.stream.version() }],
            writes: vec![Write::put(keys::silence(self.shard), &silence)],
        };
        match self.context.store.commit(transaction).await {
            Ok(CommitOutcome::Committed { .. }) => self.recorded_silence = silence,
            Ok(CommitOutcome::Conflict { .. }) => return Err(ShardLost),
            Err(error) => {
                warn!(self.context.logger, "failed to record the watched leases";
                    "shard" => self.shard, "error" => %error);
            }
        }
        Ok(())
    }

    async fn read_leases(&self, instances: &[InstanceId]) -> Result<Vec<Row>, StoreError> {
        let keys: BTreeSet<String> =
            instances.iter().map(|instance| keys::lease(instance)).collect();
        if keys.len() > MAX_SINGLE_READS {
            let rows = self.context.store.list_all(keys::LEASES).await?;
            return Ok(rows.into_iter().filter(|row| keys.contains(&row.key)).collect());
        }
        let mut rows = Vec::with_capacity(keys.len());
        for key in keys {
            rows.extend(self.context.store.read(&key).await?);
        }
        Ok(rows)
    }

    fn has_new_incarnation(&self, instance: &str) -> bool {
        let Some(reported) = self.placer.incarnation(instance) else { return false };
        self.state.placed_on(instance).any(|id| {
            let placement = self.state.task(id).and_then(|task| task.state.placement());
            placement.is_some_and(|placement| placement.incarnation < reported)
        })
    }

    async fn check_lease(
        &mut self,
        row: Row,
        sent_at: Instant,
        received_at: Instant,
    ) -> Result<(), ShardLost> {
        let Ok(lease) = row.parse::<LeaseRow>() else { return Ok(()) };
        let instance = lease.instance.clone();
        let is_first = self.lease_watches.get(&instance).is_none();
        let watch = self.lease_watches.observe(&instance, row.version, sent_at, received_at);
        if is_first {
            info!(self.context.logger, "watching the lease of an instance"; "shard" => self.shard,
                "instance" => &instance, "ttl_ms" => lease.ttl_ms);
        }
        let is_ended = lease.state != LeaseState::Held;
        let is_lapsed = !is_ended && watch.is_lapsed(Duration::from_millis(lease.ttl_ms));
        let last_ended_incarnation =
            if is_ended || is_lapsed { lease.incarnation } else { lease.incarnation - 1 };
        let lost: Vec<(TaskId, u32)> = self
            .state
            .placed_on(&instance)
            .filter_map(|id| {
                let task = self.state.task(id)?;
                let placement = task.state.placement()?;
                (placement.incarnation <= last_ended_incarnation)
                    .then(|| (id.clone(), task.attempt))
            })
            .collect();
        if lost.is_empty() {
            return Ok(());
        }
        self.reclaim(lost, &row, lease, is_lapsed).await
    }

    /// Commits the release of lost attempts and, if their lease has lapsed, marks it as lapsed in
    /// the same transaction.
    async fn reclaim(
        &mut self,
        lost: Vec<(TaskId, u32)>,
        row: &Row,
        lease: LeaseRow,
        is_lapsed: bool,
    ) -> Result<(), ShardLost> {
        warn!(self.context.logger, "reclaiming tasks"; "instance" => &lease.instance,
            "incarnation" => lease.incarnation, "count" => lost.len(), "lapsed" => is_lapsed);
        let conditions = vec![Condition { key: row.key.clone(), version: row.version }];
        let mut writes = Vec::new();
        if is_lapsed {
            let lapsed_row = LeaseRow { state: LeaseState::Lapsed, ..lease.clone() };
            writes.push(Write::put(row.key.clone(), &lapsed_row));
        }
        let reason = format!("lease {} of {} is over", lease.incarnation, lease.instance);
        let decisions: Vec<Decision> = lost
            .into_iter()
            .map(|(task, attempt)| Decision::Released { task, attempt, reason: reason.clone() })
            .collect();
        let body = EntryBody::Decisions(decisions.clone());
        let owner = Some(self.context.owner.clone());
        let append = self.append(body, owner, conditions, writes);
        match self.stream.append(&self.context.store, &self.context.clock, append).await {
            Ok(AppendOutcome::Committed(_)) => {
                for decision in &decisions {
                    let applied = self.state.apply(decision);
                    assert!(applied.is_ok(), "committed decision can't be applied: {applied:?}");
                }
                Ok(())
            }
            // The lease row changed concurrently, normally by a renewal: the tasks stay placed.
            Ok(AppendOutcome::Conflict { .. }) => {
                self.lease_watches.remove(&lease.instance);
                Ok(())
            }
            Ok(AppendOutcome::HeadMoved) | Err(_) => Err(ShardLost),
        }
    }
}
