//! Probes of random peers.

use std::{net::SocketAddr, time::Duration};

use futures::future::join_all;
use rand::RngExt;
use teaseltrack::{
    ids::InstanceId,
    membership::{Member, Role},
};
use teaseltrack_wire::control::Gossip;
use tokio::{sync::mpsc, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    clients::{ControlClients, context_with_timeout},
    configuration::fetch_from_peer,
    node::{NodeHandle, NodeMessage},
};

/// Time for a peer to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a peer to answer a probe through others.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Peers asked to probe one that didn't answer.
const INDIRECT_PROBES: usize = 2;
/// Peers told at once of a configuration change or a departure.
const PUSH_PEERS: usize = 3;
/// Entries told at once of a target that came or went.
const MAX_ENTRIES: usize = 16;
/// Least share of the probe period between two probes.
const MIN_PERIOD_SHARE: f64 = 0.8;
/// Largest share of the probe period between two probes.
const MAX_PERIOD_SHARE: f64 = 1.2;

/// Probes a random peer every period until `closing` is cancelled.
pub async fn run_gossip(
    node: NodeHandle,
    clients: ControlClients,
    period: Duration,
    closing: CancellationToken,
) {
    loop {
        let share = rand::rng().random_range(MIN_PERIOD_SHARE..MAX_PERIOD_SHARE);
        tokio::select! {
            () = sleep(period.mul_f64(share)) => {}
            () = closing.cancelled() => return,
        }
        let peer = node.request(NodeMessage::NextProbe).await.flatten();
        if let Some(peer) = peer {
            tokio::spawn(probe_member(node.clone(), clients.clone(), peer));
        }
    }
}

/// Tells a few random peers of what is new here.
pub async fn push_updates(node: &NodeHandle, clients: &ControlClients) {
    let peers = sample(node, PUSH_PEERS, InstanceId::new()).await;
    join_all(peers.into_iter().map(|peer| probe_member(node.clone(), clients.clone(), peer))).await;
}

/// Tells all entries, and a few random peers, of what became of this instance's target.
pub async fn push_announcement(node: &NodeHandle, clients: &ControlClients) {
    let members = node.members();
    let entries = members.iter().filter(|member| member.role == Role::Entry).take(MAX_ENTRIES);
    let told = entries.map(|entry| probe_member(node.clone(), clients.clone(), entry.clone()));
    join_all(told).await;
    push_updates(node, clients).await;
}

/// Probes an address and follows up on what it knows; true if it answered.
pub async fn probe_address(
    node: &NodeHandle,
    clients: &ControlClients,
    address: SocketAddr,
) -> bool {
    let Some(gossip) = probe_once(node, clients, address).await else { return false };
    let follow_up = node.request(|reply| NodeMessage::ProbeAnswered(gossip, reply)).await;
    let Some(follow_up) = follow_up else { return false };
    if follow_up.is_exchange_due {
        exchange(node, clients, address).await;
    }
    if follow_up.is_peer_ahead {
        fetch_and_push(node, clients, address).await;
    }
    true
}

/// Fetches changes from peers that probed this instance and have a higher revision in force.
pub async fn follow_peers(
    node: NodeHandle,
    clients: ControlClients,
    mut ahead: mpsc::Receiver<SocketAddr>,
) {
    while let Some(address) = ahead.recv().await {
        fetch_and_push(&node, &clients, address).await;
    }
}

/// Fetches what a peer has in force, and tells others if it was new here.
async fn fetch_and_push(node: &NodeHandle, clients: &ControlClients, address: SocketAddr) {
    if fetch_from_peer(node, clients, address).await {
        let (node, clients) = (node.clone(), clients.clone());
        tokio::spawn(async move { Box::pin(push_updates(&node, &clients)).await });
    }
}

/// Whether an address answers a probe.
pub async fn is_reachable(
    node: &NodeHandle,
    clients: &ControlClients,
    address: SocketAddr,
) -> bool {
    probe_once(node, clients, address).await.is_some()
}

fn probe_member(
    node: NodeHandle,
    clients: ControlClients,
    peer: Member,
) -> futures::future::BoxFuture<'static, ()> {
    Box::pin(async move {
        let Ok(address) = peer.control_address.parse() else { return };
        if probe_address(&node, &clients, address).await {
            return;
        }
        if !is_reachable_through_others(&node, &clients, &peer).await {
            node.send(NodeMessage::Unanswered(peer.instance)).await;
        }
    })
}

async fn probe_once(
    node: &NodeHandle,
    clients: &ControlClients,
    address: SocketAddr,
) -> Option<Gossip> {
    let gossip = node.request(NodeMessage::Gossip).await?;
    let client = clients.connect(address).await.ok()?;
    client.probe(context_with_timeout(PROBE_TIMEOUT), gossip).await.ok()
}

async fn exchange(node: &NodeHandle, clients: &ControlClients, address: SocketAddr) {
    let Some(digest) = node.request(NodeMessage::Digest).await else { return };
    let Ok(client) = clients.connect(address).await else { return };
    if let Ok(members) = client.exchange(context_with_timeout(INDIRECT_TIMEOUT), digest).await {
        node.send(NodeMessage::Merge(members)).await;
    }
}

async fn is_reachable_through_others(
    node: &NodeHandle,
    clients: &ControlClients,
    peer: &Member,
) -> bool {
    let helpers = sample(node, INDIRECT_PROBES, peer.instance.clone()).await;
    let answers = helpers.into_iter().map(|helper| async move {
        let address = helper.control_address.parse().ok()?;
        let client = clients.connect(address).await.ok()?;
        let call = client
            .probe_through(context_with_timeout(INDIRECT_TIMEOUT), peer.control_address.clone());
        call.await.ok()
    });
    join_all(answers).await.into_iter().flatten().any(|is_reachable| is_reachable)
}

async fn sample(node: &NodeHandle, count: usize, except: InstanceId) -> Vec<Member> {
    node.request(|reply| NodeMessage::Sample(count, except, reply)).await.unwrap_or_default()
}
