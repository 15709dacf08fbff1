//! Sending start and stop orders to agents after their decisions are committed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

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

/// Timeout for an agent to accept orders.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before orders are sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which stop orders to an unreachable agent are abandoned, and the attempts are left to
/// end with the instance's lease.
const STOP_RETRY_TIMEOUT: Duration = Duration::from_secs(600);

/// Orders to one agent.
pub(super) enum Orders {
    /// Start attempts of committed assignments.
    Start(Vec<StartOrder>),
    /// Stop attempts.
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

    /// Resends the starts of all placed attempts.
    ///
    /// An earlier owner may have failed to send them, and an agent process that was replaced may
    /// have accepted them without starting them on its worker. An agent ignores the start of an
    /// attempt that it has already accepted.
    pub(super) fn resend_starts(&self) {
        let instances: Vec<InstanceId> = self.state.instances().cloned().collect();
        for instance in instances {
            let orders: Vec<StartOrder> =
                self.state.placed_on(&instance).filter_map(|id| self.start_order(id)).collect();
            if !orders.is_empty() {
                self.send_orders(instance, Orders::Start(orders));
            }
        }
    }

    /// The start order of a task that is assigned or running.
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

    /// Sends orders repeatedly until the agent accepts them or the shard is lost or released; stop
    /// orders also expire.
    pub(super) fn send_orders(&self, instance: InstanceId, orders: Orders) {
        let owner = ShardOwner {
            shard: self.shard,
            epoch: self.stream.head().epoch,
            control_address: self.context.owner.control_address.clone(),
        };
        let (context, cancellation) = (self.context.clone(), self.orders_cancellation.clone());
        let retry_deadline = match &orders {
            Orders::Start(_) => None,
            Orders::Stop(_) => Some(self.context.clock.now() + STOP_RETRY_TIMEOUT),
        };
        tokio::spawn(async move {
            while retry_deadline.is_none_or(|at| context.clock.now() < at) {
                let address = resolve_address(&context.node, &instance);
                if let Some(address) = address
                    && try_send(&context.clients, address, &owner, &orders).await.is_ok()
                {
                    return;
                }
                tokio::select! {
                    () = sleep(ORDER_RETRY_DELAY) => {}
                    () = cancellation.cancelled() => return,
                }
            }
        });
    }
}

fn resolve_address(node: &NodeHandle, instance: &str) -> Option<SocketAddr> {
    let members = node.members();
    let member = members.iter().find(|member| member.instance == instance)?;
    member.control_address.parse().ok()
}

async fn try_send(
    clients: &ControlClients,
    address: SocketAddr,
    owner: &ShardOwner,
    orders: &Orders,
) -> Result<(), ErrorKind> {
    let client = clients.client(address).await?;
    let context = context_with_timeout(ORDER_TIMEOUT);
    let response = match orders {
        Orders::Start(orders) => client.start_tasks(context, owner.clone(), orders.clone()).await,
        Orders::Stop(orders) => client.stop_tasks(context, owner.clone(), orders.clone()).await,
    };
    match response {
        Ok(result) => result,
        Err(_) => {
            clients.remove(address);
            Err(ErrorKind::AnswerLost)
        }
    }
}
