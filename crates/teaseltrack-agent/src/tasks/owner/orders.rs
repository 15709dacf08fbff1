//! Sending starts and stops to agents, after they are committed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use teaseltrack::{
    ids::InstanceId,
    outcome::ErrorKind,
    task::{Decision, TaskId},
};
use teaseltrack_node::{
    clients::{ControlClients, context_with_timeout},
    node::NodeHandle,
};
use teaseltrack_wire::control::{ShardOwner, StartOrder, StopOrder};
use tokio::time::sleep;

use crate::tasks::owner::OwnedShard;

/// Time for an agent to take orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before orders are sent again.
const ORDER_RETRY: Duration = Duration::from_millis(300);
/// Time after which attempts that an unreachable agent should stop are left to their lease.
const STOP_GIVE_UP: Duration = Duration::from_secs(600);

/// Orders to one agent.
pub(super) enum Orders {
    /// Committed assignments are to start.
    Start(Vec<StartOrder>),
    /// Attempts are to stop.
    Stop(Vec<StopOrder>),
}

impl OwnedShard {
    pub(super) fn send_starts(&self, decisions: &[Decision]) {
        let mut by_instance: BTreeMap<InstanceId, Vec<StartOrder>> = BTreeMap::new();
        for decision in decisions {
            let Decision::Assigned { task, placement, .. } = decision else { continue };
            if let Some(order) = self.start_order(task) {
                by_instance.entry(placement.instance.clone()).or_default().push(order);
            }
        }
        for (instance, orders) in by_instance {
            self.send_orders(instance, Orders::Start(orders));
        }
    }

    /// Sends the starts of all placed attempts again.
    ///
    /// An earlier owner may not have sent them, and an agent whose process was replaced may have taken
    /// them without its worker ever hearing of them. An agent that knows an attempt ignores its start.
    pub(super) fn repeat_starts(&self) {
        let instances: Vec<InstanceId> = self.state.instances().cloned().collect();
        for instance in instances {
            let orders: Vec<StartOrder> =
                self.state.placed_on(&instance).filter_map(|id| self.start_order(id)).collect();
            if !orders.is_empty() {
                self.send_orders(instance, Orders::Start(orders));
            }
        }
    }

    /// The order for a task that is assigned or running.
    fn start_order(&self, id: &TaskId) -> Option<StartOrder> {
        let job = self.state.jobs().get(&id.job)?;
        let task = self.state.task(id)?;
        let placement = task.state.placement()?;
        Some(StartOrder {
            task: id.clone(),
            attempt: task.attempt,
            incarnation: placement.incarnation,
            spec: job.spec.clone(),
            checkpoint: task.checkpoint.clone(),
        })
    }

    /// Sends orders until the agent has taken them, the instance is gone or the shard is lost.
    pub(super) fn send_orders(&self, instance: InstanceId, orders: Orders) {
        let owner = ShardOwner {
            shard: self.shard,
            epoch: self.stream.head().epoch,
            control_address: self.context.owner.control_address.clone(),
        };
        let (context, ended) = (self.context.clone(), self.orders.clone());
        let give_up_at = match &orders {
            Orders::Start(_) => None,
            Orders::Stop(_) => Some(Instant::now() + STOP_GIVE_UP),
        };
        tokio::spawn(async move {
            while give_up_at.is_none_or(|at| Instant::now() < at) {
                let address = address_of(&context.node, &instance);
                if let Some(address) = address
                    && send_once(&context.clients, address, &owner, &orders).await.is_ok()
                {
                    return;
                }
                tokio::select! {
                    () = sleep(ORDER_RETRY) => {}
                    () = ended.cancelled() => return,
                }
            }
        });
    }
}

fn address_of(node: &NodeHandle, instance: &str) -> Option<SocketAddr> {
    let members = node.members();
    let member = members.iter().find(|member| member.instance == instance)?;
    member.control_address.parse().ok()
}

async fn send_once(
    clients: &ControlClients,
    address: SocketAddr,
    owner: &ShardOwner,
    orders: &Orders,
) -> Result<(), ErrorKind> {
    let client = clients.client(address).await?;
    let context = context_with_timeout(ORDER_TIMEOUT);
    let answer = match orders {
        Orders::Start(orders) => client.start_tasks(context, owner.clone(), orders.clone()).await,
        Orders::Stop(orders) => client.stop_tasks(context, owner.clone(), orders.clone()).await,
    };
    match answer {
        Ok(result) => result,
        Err(_) => {
            clients.remove(address);
            Err(ErrorKind::AnswerLost)
        }
    }
}
