//! Reports events of attempts to the owners of their shards, with retries until acknowledged.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use slog::{Logger, debug};
use teaseltrack::{
    ids::{Incarnation, InstanceId, ShardNumber},
    journal::StreamHead,
    outcome::ErrorKind,
    placement::Resources,
    shard::stream_of,
};
use teaseltrack_node::clients::{ControlClients, context_with_timeout};
use teaseltrack_platform::{
    keys,
    store::{Row, Store},
    worker::AttemptKey,
};
use teaseltrack_wire::control::{AttemptReport, ReportBatch};
use tokio::{sync::mpsc, time::sleep};

use crate::tasks::attempts::AttemptMessage;

/// Capacity of the task's message channel.
pub const CHANNEL_CAPACITY: usize = 4_096;
/// Timeout for the owner to commit a batch.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a batch is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of reports per batch.
const MAX_BATCH_REPORTS: usize = 500;

/// A report, with the state of the instance at that time.
#[derive(Debug)]
pub struct ReportMessage {
    /// Shard of the task.
    pub shard: ShardNumber,
    /// The report.
    pub report: AttemptReport,
    /// Capacity of the instance for tasks.
    pub capacity: Resources,
    /// Free capacity of the instance.
    pub available: Resources,
    /// Incarnation of the lease.
    pub incarnation: Incarnation,
}

/// Sends reports to the owners of shards.
#[derive(Clone, Debug)]
pub struct Reporter {
    /// Logger.
    pub logger: Logger,
    /// This instance.
    pub instance: InstanceId,
    /// The store, from which the shards' owners are read.
    pub store: Store,
    /// Clients of control calls.
    pub clients: ControlClients,
    /// Receives the attempts whose end was acknowledged.
    pub attempts: mpsc::Sender<AttemptMessage>,
}

impl Reporter {
    /// Dispatches reports to one async task per shard.
    pub async fn run(self, mut receiver: mpsc::Receiver<ReportMessage>) {
        let mut shards: BTreeMap<ShardNumber, mpsc::UnboundedSender<ReportMessage>> =
            BTreeMap::new();
        while let Some(message) = receiver.recv().await {
            let sender = shards.entry(message.shard).or_insert_with(|| {
                let (sender, receiver) = mpsc::unbounded_channel();
                tokio::spawn(self.clone().report_shard(message.shard, receiver));
                sender
            });
            sender.send(message).ok();
        }
    }

    async fn report_shard(
        self,
        shard: ShardNumber,
        mut receiver: mpsc::UnboundedReceiver<ReportMessage>,
    ) {
        let mut owner: Option<SocketAddr> = None;
        while let Some(first) = receiver.recv().await {
            let batch = self.batch(shard, first, &mut receiver);
            self.deliver(&batch, &mut owner).await;
            let ended: Vec<AttemptKey> = batch
                .reports
                .into_iter()
                .filter(|report| report.event.is_terminal())
                .map(|report| AttemptKey { task: report.task, attempt: report.attempt })
                .collect();
            if !ended.is_empty() {
                self.attempts.send(AttemptMessage::Acknowledged(ended)).await.ok();
            }
        }
    }

    fn batch(
        &self,
        shard: ShardNumber,
        first: ReportMessage,
        receiver: &mut mpsc::UnboundedReceiver<ReportMessage>,
    ) -> ReportBatch {
        let mut batch = ReportBatch {
            instance: self.instance.clone(),
            incarnation: first.incarnation,
            capacity: first.capacity,
            available: first.available,
            shard,
            reports: vec![first.report],
        };
        while batch.reports.len() < MAX_BATCH_REPORTS
            && let Ok(next) = receiver.try_recv()
        {
            batch.incarnation = next.incarnation;
            batch.available = next.available;
            batch.reports.push(next.report);
        }
        batch
    }

    /// Sends a batch repeatedly until the shard's owner has committed it.
    async fn deliver(&self, batch: &ReportBatch, owner: &mut Option<SocketAddr>) {
        loop {
            if owner.is_none() {
                *owner = self.find_owner(batch.shard).await;
            }
            if let Some(address) = *owner {
                match self.send(address, batch.clone()).await {
                    Ok(()) => return,
                    Err(kind) => {
                        debug!(self.logger, "report not accepted; retrying"; "shard" => batch.shard,
                            "owner" => %address, "kind" => %kind);
                        self.clients.remove(address);
                        *owner = None;
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn send(&self, address: SocketAddr, batch: ReportBatch) -> Result<(), ErrorKind> {
        let client = self.clients.client(address).await?;
        let call = client.report_tasks(context_with_timeout(REPORT_TIMEOUT), batch);
        call.await.map_err(|_| ErrorKind::AnswerLost)?
    }

    async fn find_owner(&self, shard: ShardNumber) -> Option<SocketAddr> {
        let row = self.store.read(&keys::head(&stream_of(shard))).await.ok()??;
        let head: StreamHead = Row::parse(&row).ok()?;
        head.owner?.control_address.parse().ok()
    }
}
