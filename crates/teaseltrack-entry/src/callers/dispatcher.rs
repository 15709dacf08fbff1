//! Dispatcher task, which owns the entry's routing state: targets and their load, quotas and retry
//! budgets.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use teaseltrack::{
    admission::{CLASSES, Class},
    clock::SharedClock,
    configuration::Configuration,
    ids::{ServiceName, TeamName, ZoneName},
    membership::{Member, MemberState, Role},
    quota::Quotas,
    retry::{FailedAttempt, RetryBudget, backoff_before_retry},
    routing::{LoadReport, Router, TargetInfo, TargetKey},
};
use teaseltrack_node::node::NodeHandle;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of queued messages to the dispatcher task.
const CHANNEL_CAPACITY: usize = 8_192;

/// Target chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// Key of the target.
    pub key: TargetKey,
    /// Request address of its agent.
    pub agent: SocketAddr,
    /// Expected latency of the target.
    pub expected_latency: Duration,
}

/// Result of an attempt, used to update the routing state.
#[derive(Clone, Copy, Debug)]
pub enum AttemptEnd {
    /// The complete response was received.
    Completed(Duration, Option<LoadReport>),
    /// The agent refused the request.
    Refused(Option<LoadReport>),
    /// No response was received, or an incomplete one.
    Failed(Duration),
    /// The caller disconnected, or another attempt was faster.
    Abandoned,
}

/// Request for a target.
#[derive(Debug)]
pub struct TargetRequest {
    /// Requested service.
    pub service: ServiceName,
    /// Targets of earlier attempts, which are excluded.
    pub tried: Vec<TargetKey>,
    /// Sender for the end of the attempt.
    pub end_sender: mpsc::Sender<DispatchMessage>,
    /// Receives the target; if the receiver was dropped, the guard ends the attempt as abandoned.
    pub reply: oneshot::Sender<Option<(ChosenTarget, AttemptGuard)>>,
}

/// Message to the dispatcher task.
#[derive(Debug)]
pub enum DispatchMessage {
    /// Admits a request of a team, or replies with the time until its quota has recovered.
    Admit(TeamName, Class, oneshot::Sender<Result<(), Duration>>),
    /// Chooses a target for an attempt.
    Choose(TargetRequest),
    /// Records the end of an attempt.
    End(TargetKey, AttemptEnd),
    /// Charges a retry to the retry budget and replies with the backoff before it; `None` if the
    /// failed attempt isn't retried.
    Retry(Class, FailedAttempt, oneshot::Sender<Option<Duration>>),
    /// Charges a hedge to the retry budget; replies whether the budget allowed it.
    Hedge(Class, oneshot::Sender<bool>),
}

/// Handle to the dispatcher task; cheap to clone.
#[derive(Clone, Debug)]
pub struct DispatchHandle {
    sender: mpsc::Sender<DispatchMessage>,
}

impl DispatchHandle {
    /// Sends a message and waits for the reply; `None` if the dispatcher task has ended.
    pub async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> DispatchMessage,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        response.await.ok()
    }

    /// Chooses a target other than those in `tried`; the guard ends the attempt.
    pub async fn choose(
        &self,
        service: &str,
        tried: &[TargetKey],
    ) -> Option<(ChosenTarget, AttemptGuard)> {
        let (service, tried) = (service.to_owned(), tried.to_vec());
        let end_sender = self.sender.clone();
        let message =
            |reply| DispatchMessage::Choose(TargetRequest { service, tried, end_sender, reply });
        self.request(message).await.flatten()
    }
}

/// Outstanding attempt; recorded as abandoned if dropped without a result.
#[derive(Debug)]
pub struct AttemptGuard {
    key: Option<TargetKey>,
    sender: mpsc::Sender<DispatchMessage>,
}

impl AttemptGuard {
    /// Ends the attempt with its result.
    pub fn end(mut self, end: AttemptEnd) {
        self.send(end);
    }

    fn send(&mut self, end: AttemptEnd) {
        let Some(key) = self.key.take() else { return };
        let message = DispatchMessage::End(key, end);
        if let Err(mpsc::error::TrySendError::Full(message)) = self.sender.try_send(message) {
            let sender = self.sender.clone();
            tokio::spawn(async move { sender.send(message).await.ok() });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.send(AttemptEnd::Abandoned);
    }
}

struct DispatchTask {
    clock: SharedClock,
    zone: ZoneName,
    router: Router,
    agent_addresses: BTreeMap<TargetKey, SocketAddr>,
    quotas: Quotas,
    entry_count: u32,
    retry_budgets: BTreeMap<Class, RetryBudget>,
    configuration: Arc<Configuration>,
}

/// Starts the dispatcher task.
pub fn spawn_dispatcher(node: NodeHandle, zone: ZoneName, clock: SharedClock) -> DispatchHandle {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let task = DispatchTask {
        clock,
        zone,
        router: Router::default(),
        agent_addresses: BTreeMap::new(),
        quotas: Quotas::default(),
        entry_count: 1,
        retry_budgets: CLASSES.into_iter().map(|class| (class, RetryBudget::default())).collect(),
        configuration: node.configuration(),
    };
    tokio::spawn(task.run(receiver, node));
    DispatchHandle { sender }
}

impl DispatchTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<DispatchMessage>, node: NodeHandle) {
        let mut members = node.watch_members();
        let mut configuration = node.watch_configuration();
        self.update_members(&node.members());
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                changed = members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let members = members.borrow_and_update().clone();
                    self.update_members(&members);
                }
                changed = configuration.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.configuration = configuration.borrow_and_update().clone();
                }
            }
        }
    }

    fn handle(&mut self, message: DispatchMessage) {
        match message {
            DispatchMessage::Admit(team, class, reply) => {
                reply.send(self.admit(&team, class)).ok();
            }
            DispatchMessage::Choose(TargetRequest { service, tried, end_sender, reply }) => {
                let chosen = self.choose(&service, &tried).map(|chosen| {
                    let guard = AttemptGuard { key: Some(chosen.key), sender: end_sender };
                    (chosen, guard)
                });
                reply.send(chosen).ok();
            }
            DispatchMessage::End(key, end) => self.end(key, end),
            DispatchMessage::Retry(class, failed, reply) => {
                let budget = self.retry_budgets.entry(class).or_default();
                reply.send(backoff_before_retry(&failed, budget, &mut rand::rng())).ok();
            }
            DispatchMessage::Hedge(class, reply) => {
                reply.send(self.retry_budgets.entry(class).or_default().withdraw()).ok();
            }
        }
    }

    fn admit(&mut self, team: &str, class: Class) -> Result<(), Duration> {
        if let Some(quota) = self.configuration.quota(team) {
            self.quotas.take(team, quota, self.entry_count, self.clock.now())?;
        }
        self.retry_budgets.entry(class).or_default().deposit();
        Ok(())
    }

    fn choose(&mut self, service: &str, tried: &[TargetKey]) -> Option<ChosenTarget> {
        let now = self.clock.now();
        let key = self.router.choose(service, &self.zone, tried, now, &mut rand::rng())?;
        let agent = *self.agent_addresses.get(&key)?;
        let expected_latency = self.router.expected_latency(key, now);
        self.router.begin_attempt(key);
        Some(ChosenTarget { key, agent, expected_latency })
    }

    fn end(&mut self, key: TargetKey, end: AttemptEnd) {
        let now: Instant = self.clock.now();
        match end {
            AttemptEnd::Completed(latency, load) => {
                self.router.record_response(key, latency, load, now);
            }
            AttemptEnd::Refused(load) => self.router.end_unmeasured_attempt(key, load),
            AttemptEnd::Failed(elapsed) => self.router.record_failure(key, elapsed, now),
            AttemptEnd::Abandoned => self.router.end_unmeasured_attempt(key, None),
        }
    }

    fn update_members(&mut self, members: &[Member]) {
        let now = self.clock.now();
        self.entry_count =
            members.iter().filter(|member| member.role == Role::Entry).count() as u32;
        let target_members: BTreeMap<&str, &Member> = members
            .iter()
            .filter(|member| member.target.is_some())
            .map(|member| (member.instance.as_str(), member))
            .collect();
        self.router.retain(|instance| target_members.contains_key(instance));
        self.agent_addresses.retain(|key, _| self.router.info(*key).is_some());
        for member in target_members.values() {
            let (Some(target), Ok(agent)) = (&member.target, member.request_address.parse()) else {
                continue;
            };
            let info = TargetInfo {
                instance: member.instance.clone(),
                zone: member.zone.clone(),
                service: target.service.clone(),
                slots: target.slots,
                incarnation: member.incarnation,
            };
            let key = self.router.upsert(info, now);
            self.router.set_suspected(key, member.state == MemberState::Suspect);
            self.agent_addresses.insert(key, agent);
        }
        self.agent_addresses.retain(|key, _| self.router.info(*key).is_some());
    }
}
