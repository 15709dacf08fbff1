//! Reclaiming attempts from instances whose lease has ended.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use slog::warn;
use teaseltrack::{
    ids::InstanceId,
    journal::EntryBody,
    lease::{LeaseRow, LeaseState, LeaseWatch},
    task::{Decision, TaskId},
};
use teaseltrack_platform::{
    keys,
    store::{Condition, Row, StoreError, Write},
    stream::AppendOutcome,
};

use crate::tasks::owner::{OwnedShard, ShardLost};

/// Maximum number of leases read individually; a larger number is read by listing all leases.
const MAX_SINGLE_READS: usize = 8;

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
        self.lease_watches.retain(|instance, _| instances_to_check.contains(instance));
        let sent_at = self.context.clock.now();
        let Ok(rows) = self.read_leases(&instances_to_check).await else { return Ok(()) };
        for row in rows {
            self.check_lease(row, sent_at).await?;
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

    async fn check_lease(&mut self, row: Row, sent_at: Instant) -> Result<(), ShardLost> {
        let Ok(lease) = row.parse::<LeaseRow>() else { return Ok(()) };
        let instance = lease.instance.clone();
        let watch = self
            .lease_watches
            .entry(instance.clone())
            .or_insert_with(|| LeaseWatch::new(row.version, sent_at));
        watch.observe(row.version, sent_at);
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
