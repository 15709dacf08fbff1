//! The task that owns the membership and the configuration in force.

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

/// Messages that may wait for the task.
const INBOX_MESSAGES: usize = 1_024;
/// Time between publications of a changed membership.
const PUBLISH_PERIOD: Duration = Duration::from_millis(50);
/// Records of one page of changes.
const PAGE_RECORDS: usize = 200;
/// Probes in a row with a differing digest before members are exchanged.
const MISMATCHES_BEFORE_EXCHANGE: u32 = 3;

/// A message to the node's task.
#[derive(Debug)]
pub enum NodeMessage {
    /// A peer probed this instance.
    Probed(Gossip, oneshot::Sender<Gossip>),
    /// What this instance would say in a probe.
    Gossip(oneshot::Sender<Gossip>),
    /// A peer answered a probe; replies with what to do next.
    ProbeAnswered(Gossip, oneshot::Sender<FollowUp>),
    /// A peer answered neither directly nor through others.
    Unanswered(String),
    /// The next peer to probe.
    NextProbe(oneshot::Sender<Option<Member>>),
    /// Random peers other than the named one.
    Sample(usize, String, oneshot::Sender<Vec<Member>>),
    /// The digest of all members.
    Digest(oneshot::Sender<Digest>),
    /// Members where a peer's digest differs.
    Exchange(Digest, oneshot::Sender<Vec<Member>>),
    /// Members that a peer handed over.
    Merge(Vec<Member>),
    /// Configuration changes after a revision.
    ChangesAfter(Revision, oneshot::Sender<ChangePage>),
    /// Changes from the store or a peer; replies whether the revision went up.
    Apply(ChangePage, oneshot::Sender<bool>),
    /// This instance's target came, changed or went.
    Announce(Option<Announcement>),
    /// This instance stops.
    Leave(oneshot::Sender<()>),
}

/// What to do after a peer answered a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowUp {
    /// Members are to be exchanged.
    pub is_exchange_due: bool,
    /// The peer has a higher revision in force.
    pub is_peer_ahead: bool,
}

/// Sender to the node's task and receiver of what it publishes, cheap to clone.
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

    /// Sends a message and waits for the reply; `None` when the task has ended.
    pub async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> NodeMessage,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(message(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Members that may get work, as last published.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.borrow().clone()
    }

    /// Receiver of members.
    pub fn watch_members(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.clone()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.borrow().clone()
    }

    /// Receiver of the configuration.
    pub fn watch_configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.configuration.clone()
    }
}

struct NodeTask {
    logger: Logger,
    clock: SharedClock,
    membership: Membership,
    configuration: Configuration,
    mismatches: u32,
    ahead: mpsc::Sender<SocketAddr>,
    published_version: u64,
    members: watch::Sender<Arc<Vec<Member>>>,
    in_force: watch::Sender<Arc<Configuration>>,
}

/// Starts the node's task; `ahead` gets the addresses of peers that probed and have a higher revision.
pub fn spawn_node(
    own: Member,
    clock: SharedClock,
    logger: Logger,
    ahead: mpsc::Sender<SocketAddr>,
) -> NodeHandle {
    let (sender, receiver) = mpsc::channel(INBOX_MESSAGES);
    let (members, members_receiver) = watch::channel(Arc::new(vec![own.clone()]));
    let (in_force, configuration) = watch::channel(Arc::default());
    let task = NodeTask {
        logger,
        membership: Membership::new(own, clock.now()),
        clock,
        configuration: Configuration::default(),
        mismatches: 0,
        ahead,
        published_version: 0,
        members,
        in_force,
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
            NodeMessage::Probed(gossip, reply) => {
                self.take_in(&gossip);
                self.note_if_ahead(&gossip);
                drop(reply.send(self.gossip()));
            }
            NodeMessage::Gossip(reply) => drop(reply.send(self.gossip())),
            NodeMessage::ProbeAnswered(gossip, reply) => {
                self.take_in(&gossip);
                reply.send(self.follow_up(&gossip)).ok();
            }
            NodeMessage::Unanswered(instance) => {
                self.membership.suspect(&instance, self.clock.now());
            }
            NodeMessage::NextProbe(reply) => {
                drop(reply.send(self.membership.next_probe(&mut rand::rng())));
            }
            NodeMessage::Sample(count, except, reply) => {
                drop(reply.send(self.membership.sample(count, &except, &mut rand::rng())));
            }
            NodeMessage::Digest(reply) => drop(reply.send(self.membership.digest())),
            NodeMessage::Exchange(digest, reply) => {
                let members =
                    self.membership.members_in_differing_buckets(&digest, EXCHANGE_BUDGET_BYTES);
                drop(reply.send(members));
            }
            NodeMessage::Merge(members) => self.membership.merge(members, self.clock.now()),
            NodeMessage::ChangesAfter(revision, reply) => {
                drop(reply.send(self.configuration.page_after(revision, PAGE_RECORDS)));
            }
            NodeMessage::Apply(page, reply) => drop(reply.send(self.apply(page))),
            NodeMessage::Announce(target) => {
                self.membership.update_local(self.clock.now(), |own| own.target = target);
                self.publish();
            }
            NodeMessage::Leave(reply) => {
                self.membership.update_local(self.clock.now(), |own| {
                    own.target = None;
                    own.state = MemberState::Left;
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

    fn take_in(&mut self, gossip: &Gossip) {
        let now = self.clock.now();
        let mut news = gossip.updates.clone();
        news.push(gossip.sender.clone());
        self.membership.merge(news, now);
    }

    /// Has the prober asked for its changes, if it has a higher revision in force.
    fn note_if_ahead(&self, gossip: &Gossip) {
        let is_ahead = gossip.revision > self.configuration.revision();
        if let Some(address) = gossip.sender.control_address.parse().ok().filter(|_| is_ahead) {
            // A full channel means that changes are being fetched already.
            self.ahead.try_send(address).ok();
        }
    }

    fn follow_up(&mut self, gossip: &Gossip) -> FollowUp {
        let is_same = self.membership.digest_hash() == gossip.digest_hash;
        self.mismatches = if is_same { 0 } else { self.mismatches + 1 };
        let is_newcomer = self.membership.present().nth(2).is_none();
        let is_due = self.mismatches >= MISMATCHES_BEFORE_EXCHANGE || (is_newcomer && !is_same);
        if is_due {
            self.mismatches = 0;
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
        info!(self.logger, "configuration in force"; "revision" => self.configuration.revision());
        self.in_force.send_replace(Arc::new(self.configuration.clone()));
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
