//! Task execution on the instance's worker and scheduling by the owners of job shards.
//!
//! [`lease_keeper`] renews the instance's lease, [`attempts`] manages the instance's resources and
//! the attempts that run on it, and [`reporter`] reports their events to the owners of the shards.
//! [`shard_manager`] decides which shards this agent owns, [`owner`] runs one owned shard, and
//! [`placer`] assigns its tasks to instances.

pub mod attempts;
pub mod lease_keeper;
pub mod owner;
pub mod placer;
pub mod reporter;
pub mod shard_manager;

use teaseltrack_node::control_server::TaskCall;
use tokio::sync::mpsc;

use crate::tasks::{attempts::AttemptMessage, shard_manager::ShardMessage};

/// Dispatches control calls about tasks to the async tasks that own the state.
pub async fn route_calls(
    mut calls: mpsc::Receiver<TaskCall>,
    attempts: Option<mpsc::Sender<AttemptMessage>>,
    shards: mpsc::Sender<ShardMessage>,
) {
    while let Some(call) = calls.recv().await {
        let message = match call {
            TaskCall::WakeShard(shard) => {
                shards.send(ShardMessage::Wake(shard)).await.ok();
                continue;
            }
            TaskCall::ReportTasks(batch, reply) => {
                shards.send(ShardMessage::Report(batch, reply)).await.ok();
                continue;
            }
            TaskCall::ReserveCapacity(requests, reply) => AttemptMessage::Reserve(requests, reply),
            TaskCall::StartTasks(owner, orders, reply) => {
                AttemptMessage::Start(owner, orders, reply)
            }
            TaskCall::StopTasks(owner, orders, reply) => AttemptMessage::Stop(owner, orders, reply),
        };
        if let Some(attempts) = &attempts {
            attempts.send(message).await.ok();
        }
    }
}
