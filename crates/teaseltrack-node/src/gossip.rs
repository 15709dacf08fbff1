//! Gossip between instances: periodic probes of random peers, and immediate pushes of updates.

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

/// Timeout of a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of an indirect probe and of an anti-entropy exchange.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of peers that are requested to probe a peer that failed a direct probe.
const INDIRECT_PROBES: usize = 2;
/// Number of random peers to which an update is pushed.
const PUSH_PEERS: usize = 3;
/// Maximum number of entries to which a change of this instance's target is pushed.
const MAX_PUSH_ENTRIES: usize = 16;
/// Minimum factor applied to the probe period.
const MIN_JITTER_FACTOR: f64 = 0.8;
/// Maximum factor applied to the probe period.
const MAX_JITTER_FACTOR: f64 = 1.2;

/// Probes a random peer per jittered period until `closing` is cancelled.
pub async fn run_gossip(
    node: NodeHandle,
    clients: ControlClients,
    period: Duration,
    closing: CancellationToken,
) {
    loop {
        let jitter = rand::rng().random_range(MIN_JITTER_FACTOR..MAX_JITTER_FACTOR);
        tokio::select! {
            () = sleep(period.mul_f64(jitter)) => {}
            () = closing.cancelled() => return,
        }
        let peer = node.request(NodeMessage::NextProbe).await.flatten();
        if let Some(peer) = peer {
            tokio::spawn(probe_member(node.clone(), clients.clone(), peer));
        }
    }
}

/// Pushes pending updates to a few random peers, by probing them.
pub async fn push_updates(node: &NodeHandle, clients: &ControlClients) {
    let peers = sample(node, PUSH_PEERS, InstanceId::new()).await;
    join_all(peers.into_iter().map(|peer| probe_member(node.clone(), clients.clone(), peer))).await;
}

/// Pushes a change of this instance's target to the entries and a few random peers.
pub async fn push_announcement(node: &NodeHandle, clients: &ControlClients) {
    let members = node.members();
    let entries = members.iter().filter(|member| member.role == Role::Entry).take(MAX_PUSH_ENTRIES);
    let probes = entries.map(|entry| probe_member(node.clone(), clients.clone(), entry.clone()));
    join_all(probes).await;
    push_updates(node, clients).await;
}

/// Probes an address, then exchanges members or fetches changes where the response shows a
/// difference; true if the peer responded.
pub async fn probe_address(
    node: &NodeHandle,
    clients: &ControlClients,
    address: SocketAddr,
) -> bool {
    let Some(gossip) = probe_once(node, clients, address).await else { return false };
    let follow_up = node.request(|reply| NodeMessage::ProbeAcknowledged(gossip, reply)).await;
    let Some(follow_up) = follow_up else { return false };
    if follow_up.is_exchange_due {
        exchange(node, clients, address).await;
    }
    if follow_up.is_peer_ahead {
        fetch_and_push(node, clients, address).await;
    }
    true
}

/// Fetches changes from peers whose probes showed a higher active revision.
pub async fn fetch_from_ahead_peers(
    node: NodeHandle,
    clients: ControlClients,
    mut peers_ahead: mpsc::Receiver<SocketAddr>,
) {
    while let Some(address) = peers_ahead.recv().await {
        fetch_and_push(&node, &clients, address).await;
    }
}

/// Fetches a peer's changes, and pushes them on if the active revision increased.
async fn fetch_and_push(node: &NodeHandle, clients: &ControlClients, address: SocketAddr) {
    if fetch_from_peer(node, clients, address).await {
        let (node, clients) = (node.clone(), clients.clone());
        tokio::spawn(async move { Box::pin(push_updates(&node, &clients)).await });
    }
}

/// Whether an address responds to a direct probe.
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
            node.send(NodeMessage::ProbeFailed(peer.instance)).await;
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
    let responses = helpers.into_iter().map(|helper| async move {
        let address = helper.control_address.parse().ok()?;
        let client = clients.connect(address).await.ok()?;
        let call = client
            .probe_through(context_with_timeout(INDIRECT_TIMEOUT), peer.control_address.clone());
        call.await.ok()
    });
    join_all(responses).await.into_iter().flatten().any(|is_reachable| is_reachable)
}

async fn sample(node: &NodeHandle, count: usize, excluded: InstanceId) -> Vec<Member> {
    node.request(|reply| NodeMessage::Sample(count, excluded, reply)).await.unwrap_or_default()
}
