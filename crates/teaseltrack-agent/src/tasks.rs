//! Tasks: run on the instance's worker under its lease, and decided on by the owners of job shards.
//!
//! [`lease_keeper`] holds the instance's lease, [`attempts`] owns the room and the attempts that run
//! here, [`reporter`] tells the shards' owners what happened. [`shard_manager`] decides which shards
//! this agent owns, [`owner`] is the task of one owned shard and [`placer`] finds places for its tasks.

pub mod attempts;
pub mod lease_keeper;
pub mod owner;
pub mod placer;
pub mod reporter;
pub mod shard_manager;

use teaseltrack_node::control_server::TaskCall;
use tokio::sync::mpsc;

use crate::tasks::{attempts::AttemptMessage, shard_manager::ShardMessage};

/// Hands calls about tasks to the tasks that own the state.
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
