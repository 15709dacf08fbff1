//! Decides which job shards this agent owns.
//!
//! Each shard has a preference order of agents, which all agents compute identically. The first
//! agent in this order acquires a shard that has no owner or whose owner is no longer a member; the
//! second one does so after a delay. The epoch in the shard's head fences off the previous owner,
//! so that an acquisition based on an incorrect view of the members is harmless.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt;
use slog::{Logger, debug, info};
use teaseltrack::{
    ids::{InstanceId, ShardNumber},
    journal::{Owner, StreamHead},
    lease::LeaseWatches,
    membership::Role,
    outcome::ErrorKind,
    shard::{SHARD_COUNT, preferred_owners, stream_of},
};
use teaseltrack_platform::{
    keys,
    store::{Row, StoreError},
};
use teaseltrack_wire::control::ReportBatch;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;

use crate::tasks::owner::{
    OwnerContext, OwnerMessage, ShardOwnerTask, leases::parse_silence, run_owner,
};

/// Capacity of the shard manager's message channel.
pub const CHANNEL_CAPACITY: usize = 1_024;
/// Mean interval between checks of the shards.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Time after which the second agent in the preference order acquires an ownerless shard.
const SECONDARY_TAKEOVER_DELAY: Duration = Duration::from_secs(5);
/// Time for which the cached owner of a shard is trusted, while it is a member, before the head is
/// read again; the same for a record of leases that is empty.
const CACHE_TTL: Duration = Duration::from_secs(5);
/// Delay after startup before an agent acquires shards.
const START_GRACE: Duration = Duration::from_secs(2);
/// Number of agents in the preference order that may acquire a shard.
const MAX_CANDIDATES: usize = 2;
/// Capacity of an owner's message channel.
const OWNER_CHANNEL_CAPACITY: usize = 1_024;

/// A message to the shard manager.
#[derive(Debug)]
pub enum ShardMessage {
    /// The shard's inbox has new commands.
    Wake(ShardNumber),
    /// An agent reports events; the reply is sent by the shard's owner.
    Report(ReportBatch, oneshot::Sender<Result<(), ErrorKind>>),
    /// The agent shuts down; the reply is sent when all shards are released.
    Drain(oneshot::Sender<()>),
}

/// Decides which shards this agent owns.
pub struct ShardManager {
    logger: Logger,
    context: Arc<OwnerContext>,
    owned: BTreeMap<ShardNumber, OwnerHandle>,
    ownerless_since: BTreeMap<ShardNumber, Instant>,
    cached_owners: BTreeMap<ShardNumber, CachedOwner>,
    /// Shards that this agent may acquire, with its rank in their preference order among `agents`.
    candidacies: Vec<(ShardNumber, usize)>,
    agents: Vec<InstanceId>,
    /// Leases that other owners wait for, by the shards that this agent may acquire.
    observed_silences: BTreeMap<ShardNumber, ObservedSilence>,
}

/// Live owner of a shard, as last read from its head.
struct CachedOwner {
    owner: Owner,
    read_at: Instant,
}

/// Leases that a shard's owner waits for, as last read from its record.
struct ObservedSilence {
    watches: LeaseWatches,
    read_at: Instant,
}

struct OwnerHandle {
    sender: mpsc::Sender<OwnerMessage>,
    ended: CancellationToken,
}

impl ShardManager {
    /// Creates a manager that owns no shards.
    pub fn new(logger: Logger, context: Arc<OwnerContext>) -> Self {
        Self {
            logger,
            context,
            owned: BTreeMap::new(),
            ownerless_since: BTreeMap::new(),
            cached_owners: BTreeMap::new(),
            candidacies: Vec::new(),
            agents: Vec::new(),
            observed_silences: BTreeMap::new(),
        }
    }

    /// Runs until the agent shuts down.
    pub async fn run(mut self, mut receiver: mpsc::Receiver<ShardMessage>) {
        // An agent that has just started doesn't know enough members to compute the preference
        // order.
        let mut next_check_at = self.context.clock.now() + START_GRACE;
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(ShardMessage::Drain(reply)) => {
                        self.release_all().await;
                        reply.send(()).ok();
                        return;
                    }
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = sleep_until(next_check_at.into()) => {
                    let period = CHECK_PERIOD.mul_f64(rand::rng().random_range(0.8..1.2));
                    next_check_at = self.context.clock.now() + period;
                    if let Err(error) = self.check_shards().await {
                        debug!(self.logger, "shard check failed"; "error" => %error);
                    }
                }
            }
        }
    }

    fn handle(&mut self, message: ShardMessage) {
        match message {
            ShardMessage::Wake(shard) => {
                if let Some(owned) = self.owned.get(&shard) {
                    owned.sender.try_send(OwnerMessage::Wake).ok();
                }
            }
            ShardMessage::Report(batch, reply) => {
                let Some(owned) = self.owned.get(&batch.shard) else {
                    reply.send(Err(ErrorKind::NotFound)).ok();
                    return;
                };
                // A full channel drops the reply, and the reporting agent retries.
                owned.sender.try_send(OwnerMessage::Report(batch, reply)).ok();
            }
            ShardMessage::Drain(reply) => {
                reply.send(()).ok();
            }
        }
    }

    async fn check_shards(&mut self) -> Result<(), StoreError> {
        self.owned.retain(|_, owned| !owned.ended.is_cancelled());
        self.update_candidacies();
        for (shard, rank) in self.candidacies.clone() {
            if !self.owned.contains_key(&shard) {
                self.observe_silence(shard).await?;
                self.check_shard(shard, rank).await?;
            }
        }
        Ok(())
    }

    /// Recomputes which shards this agent may acquire if the set of agents has changed.
    fn update_candidacies(&mut self) {
        let members = self.context.node.members();
        let agents: Vec<InstanceId> = members
            .iter()
            .filter(|member| member.role == Role::Agent)
            .map(|member| member.instance.clone())
            .collect();
        if agents == self.agents {
            return;
        }
        let own = &self.context.owner.instance;
        self.candidacies = (0..SHARD_COUNT)
            .filter_map(|shard| {
                let preferred = preferred_owners(shard, agents.iter());
                let rank = preferred.iter().position(|agent| *agent == own)?;
                (rank < MAX_CANDIDATES).then_some((shard, rank))
            })
            .collect();
        self.agents = agents;
        let candidacies = &self.candidacies;
        self.observed_silences
            .retain(|shard, _| candidacies.iter().any(|(other, _)| other == shard));
    }

    /// Measures along with the shard's owner for how long the leases that it waits for are
    /// unchanged, so that the time of a takeover counts.
    async fn observe_silence(&mut self, shard: ShardNumber) -> Result<(), StoreError> {
        let sent_at = self.context.clock.now();
        let is_known_empty = self.observed_silences.get(&shard).is_some_and(|observed| {
            observed.watches.is_empty() && sent_at.duration_since(observed.read_at) < CACHE_TTL
        });
        if is_known_empty {
            return Ok(());
        }
        let row = self.context.store.read(&keys::silence(shard)).await?;
        let received_at = self.context.clock.now();
        let silence = parse_silence(row.as_ref());
        let observed = self.observed_silences.entry(shard).or_insert_with(|| ObservedSilence {
            watches: LeaseWatches::default(),
            read_at: sent_at,
        });
        observed.read_at = sent_at;
        observed
            .watches
            .retain(|instance| silence.leases.iter().any(|lease| lease.instance == instance));
        observed.watches.adopt(&silence, sent_at, received_at);
        Ok(())
    }

    async fn check_shard(&mut self, shard: ShardNumber, rank: usize) -> Result<(), StoreError> {
        let now = self.context.clock.now();
        let is_known_live = self.cached_owners.get(&shard).is_some_and(|entry| {
            now.duration_since(entry.read_at) < CACHE_TTL && self.is_live(&entry.owner)
        });
        if is_known_live {
            return Ok(());
        }
        let row = self.context.store.read(&keys::head(&stream_of(shard))).await?;
        let head: StreamHead = row.as_ref().map(Row::parse).transpose()?.unwrap_or_default();
        if let Some(owner) = head.owner.filter(|owner| self.is_live(owner)) {
            self.ownerless_since.remove(&shard);
            self.cached_owners.insert(shard, CachedOwner { owner, read_at: now });
            return Ok(());
        }
        let since = *self.ownerless_since.entry(shard).or_insert(now);
        if rank == 0 || now.duration_since(since) >= SECONDARY_TAKEOVER_DELAY {
            self.ownerless_since.remove(&shard);
            self.start_owner(shard);
        }
        Ok(())
    }

    /// Whether an owner may still be active; an earlier process of this instance is not.
    fn is_live(&self, owner: &Owner) -> bool {
        owner.instance != self.context.owner.instance && self.agents.contains(&owner.instance)
    }

    fn start_owner(&mut self, shard: ShardNumber) {
        info!(self.logger, "acquiring shard"; "shard" => shard);
        let (sender, receiver) = mpsc::channel(OWNER_CHANNEL_CAPACITY);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        let context = self.context.clone();
        let observed = self.observed_silences.remove(&shard);
        let lease_watches = observed.map(|observed| observed.watches).unwrap_or_default();
        tokio::spawn(async move {
            run_owner(ShardOwnerTask { shard, context, lease_watches, receiver }).await;
            drop(guard);
        });
        self.owned.insert(shard, OwnerHandle { sender, ended });
    }

    async fn release_all(&mut self) {
        for owned in std::mem::take(&mut self.owned).into_values() {
            owned.sender.send(OwnerMessage::Release).await.ok();
            owned.ended.cancelled().await;
        }
    }
}
