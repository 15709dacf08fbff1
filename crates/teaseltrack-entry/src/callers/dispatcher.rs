//! The task that owns the entry's hints: targets and their load, quotas and retry budgets.

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

/// Messages that may wait for the task.
const INBOX_MESSAGES: usize = 8_192;

/// A chosen target and the address of its agent.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// The target.
    pub key: TargetKey,
    /// Where its agent takes requests.
    pub agent: SocketAddr,
    /// Time that the target is expected to take.
    pub expected_latency: Duration,
}

/// How an attempt ended, for the hints.
#[derive(Clone, Copy, Debug)]
pub enum AttemptEnd {
    /// The target answered whole.
    Answered(Duration, Option<LoadReport>),
    /// The agent refused.
    Refused(Option<LoadReport>),
    /// No answer, or not a whole one.
    Failed(Duration),
    /// The caller went away, or another attempt was faster.
    Abandoned,
}

/// A target that is wanted.
#[derive(Debug)]
pub struct TargetRequest {
    /// The service.
    pub service: ServiceName,
    /// Targets that were tried.
    pub tried: Vec<TargetKey>,
    /// Takes the end of the attempt.
    pub ends: mpsc::Sender<DispatchMessage>,
    /// Gets the target; the guard counts the attempt even if nobody waits for it any more.
    pub reply: oneshot::Sender<Option<(ChosenTarget, AttemptGuard)>>,
}

/// A message to the task.
#[derive(Debug)]
pub enum DispatchMessage {
    /// A request of the team comes in; replies with the wait if its quota is used up.
    Admit(TeamName, Class, oneshot::Sender<Result<(), Duration>>),
    /// A target is wanted, none of those tried if another is left.
    Choose(TargetRequest),
    /// An attempt ended.
    End(TargetKey, AttemptEnd),
    /// A failed attempt may be made again after the wait that is replied.
    Retry(Class, FailedAttempt, oneshot::Sender<Option<Duration>>),
    /// A second attempt may be sent beside the first.
    Hedge(Class, oneshot::Sender<bool>),
}

/// Sender to the task, cheap to clone.
#[derive(Clone, Debug)]
pub struct DispatchHandle {
    sender: mpsc::Sender<DispatchMessage>,
}

impl DispatchHandle {
    /// Sends a message and waits for the reply; `None` when the task has ended.
    pub async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> DispatchMessage,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Chooses a target; the attempt counts until the guard ends.
    pub async fn choose(
        &self,
        service: &str,
        tried: &[TargetKey],
    ) -> Option<(ChosenTarget, AttemptGuard)> {
        let (service, tried) = (service.to_owned(), tried.to_vec());
        let ends = self.sender.clone();
        let wanted = |reply| DispatchMessage::Choose(TargetRequest { service, tried, ends, reply });
        self.ask(wanted).await.flatten()
    }
}

/// Counts an attempt until it ends; dropped without an end, the attempt counts as abandoned.
#[derive(Debug)]
pub struct AttemptGuard {
    key: Option<TargetKey>,
    sender: mpsc::Sender<DispatchMessage>,
}

impl AttemptGuard {
    /// Ends the attempt.
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
    agents: BTreeMap<TargetKey, SocketAddr>,
    quotas: Quotas,
    entries: u32,
    budgets: BTreeMap<Class, RetryBudget>,
    configuration: Arc<Configuration>,
}

/// Starts the task.
pub fn spawn_dispatcher(node: NodeHandle, zone: ZoneName, clock: SharedClock) -> DispatchHandle {
    let (sender, receiver) = mpsc::channel(INBOX_MESSAGES);
    let task = DispatchTask {
        clock,
        zone,
        router: Router::default(),
        agents: BTreeMap::new(),
        quotas: Quotas::default(),
        entries: 1,
        budgets: CLASSES.into_iter().map(|class| (class, RetryBudget::default())).collect(),
        configuration: node.configuration(),
    };
    tokio::spawn(task.run(receiver, node));
    DispatchHandle { sender }
}

impl DispatchTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<DispatchMessage>, node: NodeHandle) {
        let mut members = node.watch_members();
        let mut configuration = node.watch_configuration();
        self.take_in_members(&node.members());
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
                    self.take_in_members(&members);
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
            DispatchMessage::Choose(TargetRequest { service, tried, ends, reply }) => {
                let chosen = self.choose(&service, &tried).map(|chosen| {
                    let guard = AttemptGuard { key: Some(chosen.key), sender: ends };
                    (chosen, guard)
                });
                reply.send(chosen).ok();
            }
            DispatchMessage::End(key, end) => self.end(key, end),
            DispatchMessage::Retry(class, failed, reply) => {
                let budget = self.budgets.entry(class).or_default();
                reply.send(backoff_before_retry(&failed, budget, &mut rand::rng())).ok();
            }
            DispatchMessage::Hedge(class, reply) => {
                reply.send(self.budgets.entry(class).or_default().withdraw()).ok();
            }
        }
    }

    fn admit(&mut self, team: &str, class: Class) -> Result<(), Duration> {
        if let Some(quota) = self.configuration.quota(team) {
            self.quotas.take(team, quota, self.entries, self.clock.now())?;
        }
        self.budgets.entry(class).or_default().deposit();
        Ok(())
    }

    fn choose(&mut self, service: &str, tried: &[TargetKey]) -> Option<ChosenTarget> {
        let now = self.clock.now();
        let key = self.router.choose(service, &self.zone, tried, now, &mut rand::rng())?;
        let agent = *self.agents.get(&key)?;
        let expected_latency = self.router.expected_latency(key, now);
        self.router.begin_attempt(key);
        Some(ChosenTarget { key, agent, expected_latency })
    }

    fn end(&mut self, key: TargetKey, end: AttemptEnd) {
        let now: Instant = self.clock.now();
        match end {
            AttemptEnd::Answered(latency, load) => {
                self.router.record_response(key, latency, load, now);
            }
            AttemptEnd::Refused(load) => self.router.end_unmeasured_attempt(key, load),
            AttemptEnd::Failed(elapsed) => self.router.record_failure(key, elapsed, now),
            AttemptEnd::Abandoned => self.router.end_unmeasured_attempt(key, None),
        }
    }

    fn take_in_members(&mut self, members: &[Member]) {
        let now = self.clock.now();
        self.entries = members.iter().filter(|member| member.role == Role::Entry).count() as u32;
        let with_target: BTreeMap<&str, &Member> = members
            .iter()
            .filter(|member| member.target.is_some())
            .map(|member| (member.instance.as_str(), member))
            .collect();
        self.router.retain(|instance| with_target.contains_key(instance));
        self.agents.retain(|key, _| self.router.info(*key).is_some());
        for member in with_target.values() {
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
            self.agents.insert(key, agent);
        }
        self.agents.retain(|key, _| self.router.info(*key).is_some());
    }
}
