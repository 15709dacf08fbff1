//! Finds places for a shard's waiting tasks: asks agents for room, before anything is committed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::future::join_all;
use rand::seq::IndexedRandom;
use teaseltrack::{
    admission::Class,
    ids::{Incarnation, InstanceId},
    membership::{Member, Role},
    placement::{CapacityHints, Probation, Resources},
    shard::ShardState,
    task::{Decision, Placement, TaskId},
};
use teaseltrack_node::{
    clients::{ControlClients, context_with_timeout},
    node::NodeHandle,
};
use teaseltrack_wire::control::{ReservationRequest, ReservationResponse};

/// Time for an agent to answer.
const ROOM_TIMEOUT: Duration = Duration::from_millis(300);
/// Tasks placed in one round.
const ROUND_TASKS: usize = 500;
/// Agents asked for their room in one look around.
const LOOK_AROUND: usize = 8;
/// Agents asked for their room while none is known.
const FIRST_LOOK_AROUND: usize = 32;
/// Time for which an agent that didn't answer is left out.
const AVOIDANCE: Duration = Duration::from_secs(2);

/// Finds places for the tasks of one shard.
pub struct Placer {
    node: NodeHandle,
    clients: ControlClients,
    hints: CapacityHints,
    probation: Probation,
    avoided_until: BTreeMap<InstanceId, Instant>,
    incarnations: BTreeMap<InstanceId, Incarnation>,
}

/// What a round of placing found.
#[derive(Debug, Default)]
pub struct Placed {
    /// Assignments that got room.
    pub decisions: Vec<Decision>,
    /// Urgent tasks for which no instance has room.
    pub without_room: Vec<TaskId>,
}

struct Candidate {
    request: ReservationRequest,
    reason: String,
}

impl Placer {
    /// Knows no room yet.
    pub fn new(node: NodeHandle, clients: ControlClients) -> Self {
        Self {
            node,
            clients,
            hints: CapacityHints::default(),
            probation: Probation::default(),
            avoided_until: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// Takes in what an agent reported.
    pub fn report(
        &mut self,
        instance: &str,
        incarnation: Incarnation,
        capacity: Resources,
        room: Resources,
    ) {
        self.hints.update(instance, capacity, room);
        self.incarnations.insert(instance.to_owned(), incarnation);
    }

    /// The incarnation of an instance's lease, as last heard.
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        self.incarnations.get(instance).copied()
    }

    /// Counts a task that ended on an instance.
    pub fn record_end(&mut self, instance: &str, job: &str, is_success: bool, now: Instant) {
        if is_success {
            self.probation.record_success(instance, job);
        } else {
            self.probation.record_failure(instance, job, now);
        }
    }

    /// Whether an instance is on probation.
    pub fn is_on_probation(&self, instance: &str, now: Instant) -> bool {
        self.probation.is_on_probation(instance, now)
    }

    /// Whether any known instance could hold the task when empty; true while none is known.
    pub fn is_possible(&self, resources: &Resources) -> bool {
        self.hints.is_empty() || self.hints.is_feasible(resources)
    }

    /// Asks a few random agents for their room, so that the hints stay fresh.
    pub async fn look_around(&mut self) {
        let members = self.node.members();
        let agents: Vec<&Member> =
            members.iter().filter(|member| member.role == Role::Agent).collect();
        self.hints.retain(|instance| agents.iter().any(|agent| agent.instance == instance));
        let count = if self.hints.is_empty() { FIRST_LOOK_AROUND } else { LOOK_AROUND };
        let chosen: Vec<(InstanceId, Vec<Candidate>)> = agents
            .sample(&mut rand::rng(), count)
            .map(|agent| (agent.instance.clone(), Vec::new()))
            .collect();
        let now = Instant::now();
        self.ask_all(chosen, now).await;
    }

    /// Finds places for waiting tasks, most urgent first.
    pub async fn place(&mut self, state: &ShardState, now: Instant) -> Placed {
        let mut placed = Placed::default();
        let by_instance = self.choose(state, now, &mut placed);
        placed.decisions = self.ask_all(by_instance.into_iter().collect(), now).await;
        placed
    }

    fn choose(
        &mut self,
        state: &ShardState,
        now: Instant,
        placed: &mut Placed,
    ) -> BTreeMap<InstanceId, Vec<Candidate>> {
        let mut chosen: BTreeMap<InstanceId, Vec<Candidate>> = BTreeMap::new();
        let mut full: Vec<Resources> = Vec::new();
        for id in state.waiting().take(ROUND_TASKS) {
            let Some(job) = state.jobs().get(&id.job) else { continue };
            let Some(task) = state.task(id) else { continue };
            let resources = Resources::declared(&job.spec);
            if full.iter().any(|without_room| resources.can_fit(without_room)) {
                continue;
            }
            let is_avoided = |instance: &str| {
                self.avoided_until.get(instance).is_some_and(|until| *until > now)
                    || self.probation.is_on_probation(instance, now)
            };
            let Some(instance) = self.hints.choose(&resources, is_avoided, &mut rand::rng()) else {
                if Class::from_urgency(job.spec.urgency) == Class::Urgent {
                    placed.without_room.push(id.clone());
                }
                full.push(resources);
                continue;
            };
            self.hints.deduct(&instance, &resources);
            let request =
                ReservationRequest { task: id.clone(), attempt: task.attempt + 1, resources };
            let reason = format!("roomier of two among {} known instances", self.hints.len());
            chosen.entry(instance).or_default().push(Candidate { request, reason });
        }
        chosen
    }

    /// Asks each instance for room; the assignments that were granted.
    async fn ask_all(
        &mut self,
        chosen: Vec<(InstanceId, Vec<Candidate>)>,
        now: Instant,
    ) -> Vec<Decision> {
        let members = self.node.members();
        let asks = chosen.into_iter().map(|(instance, candidates)| {
            let address = members
                .iter()
                .find(|member| member.instance == instance)
                .and_then(|member| member.control_address.parse().ok());
            let clients = self.clients.clone();
            async move {
                let requests =
                    candidates.iter().map(|candidate| candidate.request.clone()).collect();
                let answer = match address {
                    Some(address) => ask_room(&clients, address, requests).await,
                    None => None,
                };
                (instance, candidates, answer)
            }
        });
        let answers = join_all(asks).await;
        let mut decisions = Vec::new();
        for (instance, candidates, answer) in answers {
            match answer {
                Some(answer) => decisions.extend(self.granted(&instance, candidates, answer)),
                None => {
                    self.avoided_until.insert(instance, now + AVOIDANCE);
                }
            }
        }
        decisions
    }

    fn granted(
        &mut self,
        instance: &str,
        candidates: Vec<Candidate>,
        answer: ReservationResponse,
    ) -> Vec<Decision> {
        self.hints.update(instance, answer.capacity, answer.available);
        let Some(incarnation) = answer.incarnation else { return Vec::new() };
        self.incarnations.insert(instance.to_owned(), incarnation);
        let placement = Placement { instance: instance.to_owned(), incarnation };
        candidates
            .into_iter()
            .zip(answer.granted)
            .filter(|(_, is_granted)| *is_granted)
            .map(|(candidate, _)| Decision::Assigned {
                task: candidate.request.task,
                attempt: candidate.request.attempt,
                placement: placement.clone(),
                reason: candidate.reason,
            })
            .collect()
    }
}

async fn ask_room(
    clients: &ControlClients,
    address: SocketAddr,
    requests: Vec<ReservationRequest>,
) -> Option<ReservationResponse> {
    let client = clients.client(address).await.ok()?;
    match client.reserve_room(context_with_timeout(ROOM_TIMEOUT), requests).await {
        Ok(answer) => answer.ok(),
        Err(_) => {
            clients.remove(address);
            None
        }
    }
}
