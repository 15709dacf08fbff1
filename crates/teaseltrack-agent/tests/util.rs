//! Simulated fleet for the tests of this crate: a store in memory, and agents without a network.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use slog::{Discard, Logger, o};
use teaseltrack::{
    clock::{Clock, SharedClock},
    ids::ShardNumber,
    journal::{EntryBody, Owner, StreamHead},
    lease::{LeaseRow, LeaseState},
    membership::{Member, MemberState, Role},
    record::JobSpec,
    shard::{shard_of, stream_of},
    task::{Decision, Placement, TaskId, TaskState},
};
use teaseltrack_agent::tasks::{owner::OwnerContext, shard_manager::ShardManager};
use teaseltrack_daemon::{byte_count::ByteCount, metrics::Metrics};
use teaseltrack_node::{
    clients::ControlClients,
    node::{NodeHandle, NodeMessage, spawn_node},
};
use teaseltrack_platform::{
    keys,
    shard_state::load_shard,
    store::{
        CommitOutcome, Row, Store, StoreBudget, StoreCall, StoreError, StoreReply, Transaction,
    },
    stream::{Append, AppendOutcome, Stream},
};
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant as TokioInstant, sleep},
};

/// The instance whose lease the tests watch; it is never a member.
pub const LOST_INSTANCE: &str = "lost";
/// Job with one task, which runs on the lost instance.
pub const JOB: &str = "job";
/// Response time of the store.
const RESPONSE_TIME: Duration = Duration::from_millis(4);

/// Clock of the paused runtime.
#[derive(Clone, Copy, Debug)]
struct RuntimeClock;

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        TokioInstant::now().into_std()
    }

    fn wall_now(&self) -> SystemTime {
        UNIX_EPOCH
    }
}

/// Rows of a simulated store.
#[derive(Debug, Default)]
pub struct Rows {
    values: BTreeMap<String, Row>,
    version: u64,
    /// Whether calls fail without taking effect.
    pub is_unavailable: bool,
    /// Number of responses to commits still to lose.
    pub lost_responses: u32,
}

impl Rows {
    fn commit(&mut self, transaction: Transaction) -> CommitOutcome {
        for condition in transaction.conditions {
            let version = self.values.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                return CommitOutcome::Conflict { key: condition.key };
            }
        }
        self.version += 1;
        for write in transaction.writes {
            let (key, version) = (write.key, self.version);
            match write.value {
                Some(value) => drop(self.values.insert(key.clone(), Row { key, version, value })),
                None => drop(self.values.remove(&key)),
            }
        }
        CommitOutcome::Committed { version: self.version }
    }

    fn call(&mut self, call: StoreCall) -> Result<StoreReply, StoreError> {
        if self.is_unavailable {
            return Err(StoreError::Unavailable { message: "outage".to_owned() });
        }
        Ok(match call {
            StoreCall::Read { key } => {
                StoreReply::Rows(self.values.get(&key).cloned().into_iter().collect())
            }
            StoreCall::List { prefix, after, .. } => {
                let is_listed = |row: &&Row| row.key.starts_with(&prefix) && row.key > after;
                StoreReply::Rows(self.values.values().filter(is_listed).cloned().collect())
            }
            StoreCall::Commit(transaction) => {
                let outcome = self.commit(transaction);
                if self.lost_responses > 0 {
                    self.lost_responses -= 1;
                    return Err(StoreError::Unavailable { message: "response lost".to_owned() });
                }
                StoreReply::Commit(outcome)
            }
            other => panic!("unexpected call: {other:?}"),
        })
    }
}

/// Agent with the manager of its shards.
struct RunningAgent {
    node: NodeHandle,
    manager: JoinHandle<()>,
}

/// Fleet whose lost instance runs the job's task under a lease that isn't renewed.
pub struct Fleet {
    /// Rows of the store.
    pub rows: Arc<Mutex<Rows>>,
    /// Length of the lost instance's lease.
    pub ttl: Duration,
    store: Store,
    clock: SharedClock,
    agents: BTreeMap<String, RunningAgent>,
}

impl Fleet {
    /// Creates a fleet without agents.
    pub async fn new(ttl: Duration) -> Self {
        let rows: Arc<Mutex<Rows>> = Arc::default();
        let adapter_rows = rows.clone();
        let adapter = Arc::new(move |call| {
            let rows = adapter_rows.clone();
            let responding: futures::future::BoxFuture<'static, _> = Box::pin(async move {
                sleep(RESPONSE_TIME).await;
                rows.lock().unwrap().call(call)
            });
            responding
        });
        let clock: SharedClock = Arc::new(RuntimeClock);
        let budget = StoreBudget { writes_per_s: 1e6, reads_per_s: 1e6 };
        let store = Store::new(adapter, budget, clock.clone());
        let fleet = Self { rows, ttl, store, clock, agents: BTreeMap::new() };
        fleet.seed().await;
        fleet.renew_lease().await;
        fleet
    }

    /// Shard of the job.
    pub fn shard(&self) -> ShardNumber {
        shard_of(JOB)
    }

    /// Writes the job's task as running on the lost instance.
    async fn seed(&self) {
        let task = TaskId { job: JOB.to_owned(), index: 0 };
        let placement = Placement { instance: LOST_INSTANCE.to_owned(), incarnation: 1 };
        let decisions = vec![
            Decision::JobAdded { job: JOB.to_owned(), revision: 1, spec: spec() },
            Decision::Assigned { task: task.clone(), attempt: 1, placement, reason: String::new() },
            Decision::Started { task, attempt: 1 },
        ];
        self.append(decisions).await;
    }

    /// Adds a job to the shard whose only task is parked; returns its name.
    pub async fn park_task(&self) -> String {
        let is_in_shard = |name: &String| shard_of(name) == self.shard();
        let job = (0..).map(|number| format!("parked-{number}")).find(is_in_shard).unwrap();
        let decisions = vec![
            Decision::JobAdded { job: job.clone(), revision: 2, spec: spec() },
            Decision::Parked { task: TaskId { job: job.clone(), index: 0 }, reason: String::new() },
        ];
        self.append(decisions).await;
        job
    }

    /// Whether the only task of a job is parked.
    pub async fn is_parked(&self, job: &str) -> bool {
        let loaded = load_shard(&self.store, self.shard()).await.unwrap();
        loaded.state.task(&TaskId { job: job.to_owned(), index: 0 }).unwrap().state
            == TaskState::Parked
    }

    async fn append(&self, decisions: Vec<Decision>) {
        let append = Append {
            author: "test".to_owned(),
            body: EntryBody::Decisions(decisions),
            epoch: 0,
            owner: None,
            conditions: Vec::new(),
            writes: Vec::new(),
            retry_deadline: None,
        };
        let mut stream = Stream::open(&self.store, &stream_of(self.shard())).await.unwrap();
        let outcome = stream.append(&self.store, &self.clock, append).await.unwrap();
        assert!(matches!(outcome, AppendOutcome::Committed(_)), "not seeded: {outcome:?}");
    }

    /// Renews the lost instance's lease, as its holder would.
    pub async fn renew_lease(&self) {
        let lease = LeaseRow {
            instance: LOST_INSTANCE.to_owned(),
            incarnation: 1,
            holder: 1,
            ttl_ms: self.ttl.as_millis() as u64,
            state: LeaseState::Held,
            transaction: String::new(),
        };
        let key = keys::lease(LOST_INSTANCE);
        let writes = vec![teaseltrack_platform::store::Write::put(key, &lease)];
        let transaction = Transaction { id: String::new(), conditions: Vec::new(), writes };
        self.store.commit(transaction).await.unwrap();
    }

    /// What an owner of the given instance needs; it is no member of the fleet.
    pub fn owner_context(&self, instance: &str) -> OwnerContext {
        let (peers_ahead, _) = mpsc::channel(1);
        let logger = Logger::root(Discard, o!());
        let node = spawn_node(member(instance), self.clock.clone(), logger.clone(), peers_ahead);
        OwnerContext {
            logger,
            metrics: Metrics::scrape_only(),
            clock: self.clock.clone(),
            store: self.store.clone(),
            node,
            clients: ControlClients::new(Arc::<ByteCount>::default()),
            owner: Owner {
                instance: instance.to_owned(),
                holder: 1,
                control_address: String::new(),
            },
        }
    }

    /// Starts an agent that knows all other agents, and that they know.
    pub async fn start_agent(&mut self, instance: &str) {
        let context = self.owner_context(instance);
        let node = context.node.clone();
        let members = self.agents.keys().map(|other| member(other)).collect();
        node.send(NodeMessage::Merge(members)).await;
        self.tell_all(member(instance)).await;
        let manager = ShardManager::new(context.logger.clone(), Arc::new(context));
        let manager = tokio::spawn(async move {
            let (_sender, receiver) = mpsc::channel(1);
            manager.run(receiver).await;
        });
        self.agents.insert(instance.to_owned(), RunningAgent { node, manager });
    }

    /// Kills an agent; the others notice at once.
    pub async fn kill_agent(&mut self, instance: &str) {
        let agent = self.agents.remove(instance).unwrap();
        agent.manager.abort();
        self.tell_all(Member { state: MemberState::Dead, ..member(instance) }).await;
    }

    async fn tell_all(&self, member: Member) {
        for agent in self.agents.values() {
            agent.node.send(NodeMessage::Merge(vec![member.clone()])).await;
        }
    }

    /// Agent that owns the job's shard, if it is running.
    pub fn owner(&self) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let head = rows.values.get(&keys::head(&stream_of(self.shard())))?;
        let head: StreamHead = head.parse().unwrap();
        head.owner.map(|owner| owner.instance).filter(|owner| self.agents.contains_key(owner))
    }

    /// Whether the task was taken back from the lost instance.
    pub async fn is_reclaimed(&self) -> bool {
        let loaded = load_shard(&self.store, self.shard()).await.unwrap();
        loaded.state.placed_on(LOST_INSTANCE).next().is_none()
    }
}

fn member(instance: &str) -> Member {
    Member {
        instance: instance.to_owned(),
        role: Role::Agent,
        control_address: String::new(),
        request_address: String::new(),
        zone: "zone".to_owned(),
        incarnation: 1,
        state: MemberState::Alive,
        target: None,
    }
}

fn spec() -> JobSpec {
    JobSpec {
        tasks: 1,
        cpu_milli: 1_000,
        memory_mib: 64,
        accelerators: 0,
        run_ms: 3_600_000,
        team: "team".to_owned(),
        urgency: 3,
    }
}
