//! Assigns a shard's waiting tasks to instances by reserving capacity at their agents.
//!
//! A reservation is made before the assignment is committed.

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

/// Timeout of a reservation call.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of tasks placed per round.
const MAX_ROUND_TASKS: usize = 500;
/// Number of agents queried by one refresh of the capacity hints.
const REFRESH_AGENTS: usize = 8;
/// Number of agents queried while there are no capacity hints.
const INITIAL_REFRESH_AGENTS: usize = 32;
/// Time for which an agent that didn't respond is excluded from placement.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(2);

/// Assigns the tasks of one shard to instances.
pub struct Placer {
    node: NodeHandle,
    clients: ControlClients,
    hints: CapacityHints,
    probation: Probation,
    excluded_until: BTreeMap<InstanceId, Instant>,
    incarnations: BTreeMap<InstanceId, Incarnation>,
}

/// Result of a placement round.
#[derive(Debug, Default)]
pub struct PlacementResult {
    /// Assignments with reserved capacity.
    pub decisions: Vec<Decision>,
    /// Urgent tasks for which no known instance has enough free capacity.
    pub urgent_unplaced: Vec<TaskId>,
}

struct Candidate {
    request: ReservationRequest,
    reason: String,
}

impl Placer {
    /// Creates a placer without capacity hints.
    pub fn new(node: NodeHandle, clients: ControlClients) -> Self {
        Self {
            node,
            clients,
            hints: CapacityHints::default(),
            probation: Probation::default(),
            excluded_until: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        }
    }

    /// Records the capacity and the lease incarnation that an agent reported.
    pub fn record_report(
        &mut self,
        instance: &str,
        incarnation: Incarnation,
        capacity: Resources,
        available: Resources,
    ) {
        self.hints.update(instance, capacity, available);
        self.incarnations.insert(instance.to_owned(), incarnation);
    }

    /// Last reported incarnation of an instance's lease.
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        self.incarnations.get(instance).copied()
    }

    /// Records the end of an attempt on an instance, for its probation.
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

    /// Whether an idle known instance could run the task; true while no instance is known.
    pub fn is_feasible(&self, resources: &Resources) -> bool {
        self.hints.is_empty() || self.hints.is_feasible(resources)
    }

    /// Queries the free capacity of a few random agents to keep the hints up to date.
    pub async fn refresh_hints(&mut self, now: Instant) {
        let members = self.node.members();
        let agents: Vec<&Member> =
            members.iter().filter(|member| member.role == Role::Agent).collect();
        self.hints.retain(|instance| agents.iter().any(|agent| agent.instance == instance));
        let count = if self.hints.is_empty() { INITIAL_REFRESH_AGENTS } else { REFRESH_AGENTS };
        let chosen: Vec<(InstanceId, Vec<Candidate>)> = agents
            .sample(&mut rand::rng(), count)
            .map(|agent| (agent.instance.clone(), Vec::new()))
            .collect();
        self.reserve_all(chosen, now).await;
    }

    /// Assigns waiting tasks to instances, most urgent first.
    pub async fn place(&mut self, state: &ShardState, now: Instant) -> PlacementResult {
        let mut result = PlacementResult::default();
        let by_instance = self.choose(state, now, &mut result);
        result.decisions = self.reserve_all(by_instance.into_iter().collect(), now).await;
        result
    }

    fn choose(
        &mut self,
        state: &ShardState,
        now: Instant,
        result: &mut PlacementResult,
    ) -> BTreeMap<InstanceId, Vec<Candidate>> {
        let mut chosen: BTreeMap<InstanceId, Vec<Candidate>> = BTreeMap::new();
        let mut unplaceable: Vec<Resources> = Vec::new();
        for id in state.waiting().take(MAX_ROUND_TASKS) {
            let Some(job) = state.jobs().get(&id.job) else { continue };
            let Some(task) = state.task(id) else { continue };
            let resources = Resources::declared(&job.spec);
            if unplaceable.iter().any(|smaller| resources.can_fit(smaller)) {
                continue;
            }
            let is_excluded = |instance: &str| {
                self.excluded_until.get(instance).is_some_and(|until| *until > now)
                    || self.probation.is_on_probation(instance, now)
            };
            let Some(instance) = self.hints.choose(&resources, is_excluded, &mut rand::rng())
            else {
                if Class::from_urgency(job.spec.urgency) == Class::Urgent {
                    result.urgent_unplaced.push(id.clone());
                }
                unplaceable.push(resources);
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

    /// Reserves capacity on each instance; returns the granted assignments.
    async fn reserve_all(
        &mut self,
        chosen: Vec<(InstanceId, Vec<Candidate>)>,
        now: Instant,
    ) -> Vec<Decision> {
        let members = self.node.members();
        let calls = chosen.into_iter().map(|(instance, candidates)| {
            let address = members
                .iter()
                .find(|member| member.instance == instance)
                .and_then(|member| member.control_address.parse().ok());
            let clients = self.clients.clone();
            async move {
                let requests =
                    candidates.iter().map(|candidate| candidate.request.clone()).collect();
                let response = match address {
                    Some(address) => reserve(&clients, address, requests).await,
                    None => None,
                };
                (instance, candidates, response)
            }
        });
        let responses = join_all(calls).await;
        let mut decisions = Vec::new();
        for (instance, candidates, response) in responses {
            match response {
                Some(response) => decisions.extend(self.assigned(&instance, candidates, response)),
                None => {
                    self.excluded_until.insert(instance, now + UNRESPONSIVE_COOLDOWN);
                }
            }
        }
        decisions
    }

    /// Records the capacity in a response; returns the granted assignments.
    fn assigned(
        &mut self,
        instance: &str,
        candidates: Vec<Candidate>,
        response: ReservationResponse,
    ) -> Vec<Decision> {
        self.hints.update(instance, response.capacity, response.available);
        let Some(incarnation) = response.incarnation else { return Vec::new() };
        self.incarnations.insert(instance.to_owned(), incarnation);
        let placement = Placement { instance: instance.to_owned(), incarnation };
        candidates
            .into_iter()
            .zip(response.granted)
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

async fn reserve(
    clients: &ControlClients,
    address: SocketAddr,
    requests: Vec<ReservationRequest>,
) -> Option<ReservationResponse> {
    let client = clients.client(address).await.ok()?;
    match client.reserve_room(context_with_timeout(RESERVATION_TIMEOUT), requests).await {
        Ok(response) => response.ok(),
        Err(_) => {
            clients.remove(address);
            None
        }
    }
}
