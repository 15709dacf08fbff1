//! Task that owns the membership and the active configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use slog::{Logger, info};
use teaseltrack::{
    clock::SharedClock,
    configuration::{ChangePage, Configuration},
    ids::Revision,
    membership::{
        Announcement, Digest, EXCHANGE_BUDGET_BYTES, MESSAGE_BUDGET_BYTES, Member, MemberState,
        Membership,
    },
};
use teaseltrack_wire::control::Gossip;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

/// Capacity of the task's message channel.
const INBOX_CAPACITY: usize = 1_024;
/// Interval at which a changed membership is published.
const PUBLISH_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of records in one page of changes.
const MAX_PAGE_RECORDS: usize = 200;
/// Number of consecutive acknowledged probes with a differing digest that triggers an exchange of
/// members.
const EXCHANGE_THRESHOLD: u32 = 3;

/// Message to the node's task.
#[derive(Debug)]
pub enum NodeMessage {
    /// Processes a peer's probe; replies with its acknowledgement.
    ProbeReceived(Gossip, oneshot::Sender<Gossip>),
    /// Returns the message for a probe of a peer.
    Gossip(oneshot::Sender<Gossip>),
    /// Processes a peer's acknowledgement of a probe; replies with the actions to take.
    ProbeAcknowledged(Gossip, oneshot::Sender<FollowUp>),
    /// The named peer responded to neither direct nor indirect probes.
    ProbeFailed(String),
    /// Returns the next peer to probe.
    NextProbe(oneshot::Sender<Option<Member>>),
    /// Returns up to the given number of random peers, without the named one.
    Sample(usize, String, oneshot::Sender<Vec<Member>>),
    /// Returns the digest of all members.
    Digest(oneshot::Sender<Digest>),
    /// Returns the members in the buckets where a peer's digest differs.
    Exchange(Digest, oneshot::Sender<Vec<Member>>),
    /// Merges members received from a peer.
    Merge(Vec<Member>),
    /// Returns a page of the configuration changes after a revision.
    ChangesAfter(Revision, oneshot::Sender<ChangePage>),
    /// Applies changes from the store or a peer; replies whether the active revision increased.
    Apply(ChangePage, oneshot::Sender<bool>),
    /// Sets or removes the target that this instance advertises.
    Announce(Option<Announcement>),
    /// Marks this instance as departed, for a graceful shutdown.
    Leave(oneshot::Sender<()>),
}

/// Actions to take after a peer acknowledged a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowUp {
    /// Members must be exchanged with the peer.
    pub is_exchange_due: bool,
    /// The peer has a higher active revision.
    pub is_peer_ahead: bool,
}

/// Handle to the node's task and to the state that it publishes; cheap to clone.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    sender: mpsc::Sender<NodeMessage>,
    members: watch::Receiver<Arc<Vec<Member>>>,
    configuration: watch::Receiver<Arc<Configuration>>,
}

impl NodeHandle {
    /// Sends a message.
    pub async fn send(&self, message: NodeMessage) {
        drop(self.sender.send(message).await);
    }

    /// Sends a message and waits for the reply; `None` if the task has ended.
    pub async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> NodeMessage,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        response.await.ok()
    }

    /// Last published members that are alive or suspect.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.borrow().clone()
    }

    /// Subscribes to the published members.
    pub fn watch_members(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.clone()
    }

    /// Last published active configuration.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.borrow().clone()
    }

    /// Subscribes to the published configuration.
    pub fn watch_configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.clone()
    }
}

struct NodeTask {
    logger: Logger,
    clock: SharedClock,
    membership: Membership,
    configuration: Configuration,
    digest_mismatches: u32,
    peers_ahead: mpsc::Sender<SocketAddr>,
    published_version: u64,
    members: watch::Sender<Arc<Vec<Member>>>,
    published_configuration: watch::Sender<Arc<Configuration>>,
}

/// Starts the node's task; `peers_ahead` receives the addresses of peers whose probes showed a
/// higher active revision.
pub fn spawn_node(
    local: Member,
    clock: SharedClock,
    logger: Logger,
    peers_ahead: mpsc::Sender<SocketAddr>,
) -> NodeHandle {
    let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
    let (members, members_receiver) = watch::channel(Arc::new(vec![local.clone()]));
    let (published_configuration, configuration) = watch::channel(Arc::default());
    let task = NodeTask {
        logger,
        membership: Membership::new(local, clock.now()),
        clock,
        configuration: Configuration::default(),
        digest_mismatches: 0,
        peers_ahead,
        published_version: 0,
        members,
        published_configuration,
    };
    tokio::spawn(task.run(receiver));
    NodeHandle { sender, members: members_receiver, configuration }
}

impl NodeTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<NodeMessage>) {
        let mut ticks = interval(PUBLISH_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = ticks.tick() => {
                    self.membership.expire(self.clock.now());
                    self.publish();
                }
            }
        }
    }

    fn handle(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::ProbeReceived(gossip, reply) => {
                self.merge_gossip(&gossip);
                self.enqueue_if_ahead(&gossip);
                drop(reply.send(self.gossip()));
            }
            NodeMessage::Gossip(reply) => drop(reply.send(self.gossip())),
            NodeMessage::ProbeAcknowledged(gossip, reply) => {
                self.merge_gossip(&gossip);
                reply.send(self.follow_up(&gossip)).ok();
            }
            NodeMessage::ProbeFailed(instance) => {
                self.membership.suspect(&instance, self.clock.now());
            }
            NodeMessage::NextProbe(reply) => {
                drop(reply.send(self.membership.next_probe(&mut rand::rng())));
            }
            NodeMessage::Sample(count, excluded, reply) => {
                drop(reply.send(self.membership.sample(count, &excluded, &mut rand::rng())));
            }
            NodeMessage::Digest(reply) => drop(reply.send(self.membership.digest())),
            NodeMessage::Exchange(digest, reply) => {
                let members =
                    self.membership.members_in_differing_buckets(&digest, EXCHANGE_BUDGET_BYTES);
                drop(reply.send(members));
            }
            NodeMessage::Merge(members) => self.membership.merge(members, self.clock.now()),
            NodeMessage::ChangesAfter(revision, reply) => {
                drop(reply.send(self.configuration.page_after(revision, MAX_PAGE_RECORDS)));
            }
            NodeMessage::Apply(page, reply) => drop(reply.send(self.apply(page))),
            NodeMessage::Announce(target) => {
                self.membership.update_local(self.clock.now(), |local| local.target = target);
                self.publish();
            }
            NodeMessage::Leave(reply) => {
                self.membership.update_local(self.clock.now(), |local| {
                    local.target = None;
                    local.state = MemberState::Left;
                });
                reply.send(()).ok();
            }
        }
    }

    fn gossip(&mut self) -> Gossip {
        Gossip {
            sender: self.membership.local_member().clone(),
            updates: self.membership.take_pending_updates(MESSAGE_BUDGET_BYTES),
            digest_hash: self.membership.digest_hash(),
            revision: self.configuration.revision(),
        }
    }

    fn merge_gossip(&mut self, gossip: &Gossip) {
        let now = self.clock.now();
        let mut updates = gossip.updates.clone();
        updates.push(gossip.sender.clone());
        self.membership.merge(updates, now);
    }

    /// Queues a fetch of the sender's changes if its active revision is higher.
    fn enqueue_if_ahead(&self, gossip: &Gossip) {
        let is_ahead = gossip.revision > self.configuration.revision();
        if let Some(address) = gossip.sender.control_address.parse().ok().filter(|_| is_ahead) {
            // If the channel is full, fetches from other peers are already queued.
            self.peers_ahead.try_send(address).ok();
        }
    }

    fn follow_up(&mut self, gossip: &Gossip) -> FollowUp {
        let is_same = self.membership.digest_hash() == gossip.digest_hash;
        self.digest_mismatches = if is_same { 0 } else { self.digest_mismatches + 1 };
        let is_joining = self.membership.present().nth(2).is_none();
        let is_due = self.digest_mismatches >= EXCHANGE_THRESHOLD || (is_joining && !is_same);
        if is_due {
            self.digest_mismatches = 0;
        }
        FollowUp {
            is_exchange_due: is_due,
            is_peer_ahead: gossip.revision > self.configuration.revision(),
        }
    }

    fn apply(&mut self, page: ChangePage) -> bool {
        if !self.configuration.apply(page) {
            return false;
        }
        info!(self.logger, "configuration active"; "revision" => self.configuration.revision());
        self.published_configuration.send_replace(Arc::new(self.configuration.clone()));
        true
    }

    fn publish(&mut self) {
        let version = self.membership.version();
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        self.members.send_replace(Arc::new(self.membership.present().cloned().collect()));
    }
}
