//! Gossip membership with SWIM-style failure detection.
//!
//! Each instance probes one random peer per probe period. Probes and acknowledgements piggyback
//! recently changed members, least often sent first, within a fixed byte budget. Peers whose
//! digests differ run an anti-entropy exchange of the members in the differing buckets. A peer
//! that responds to neither direct nor indirect probes becomes suspect; a suspect that does not
//! refute before the suspicion timeout is declared dead. Membership is eventually consistent, and
//! no safety property depends on it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, InstanceId, ServiceName, ZoneName};

/// Number of buckets in the membership digest.
pub const DIGEST_BUCKETS: usize = 32;
/// Maximum size of the member updates piggybacked on one message.
pub const MESSAGE_BUDGET_BYTES: usize = 1_000;
/// Maximum size of the members sent in one anti-entropy exchange.
pub const EXCHANGE_BUDGET_BYTES: usize = 64_000;
/// Time that a suspect has to refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which members in state [`MemberState::Left`] or [`MemberState::Dead`] are kept as
/// tombstones, so that stale updates cannot revive them.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);
/// Number of times that an update is sent, as a multiple of ln(number of members + 1).
const RETRANSMIT_MULTIPLIER: f64 = 3.0;
/// Estimated encoded size of a member, excluding its strings.
const MEMBER_OVERHEAD_BYTES: usize = 32;

/// Role of an instance in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs colocated with a target.
    Agent,
}

/// Observed state of a member. At equal incarnations the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Failed a probe and has not refuted the suspicion yet.
    Suspect,
    /// Shut down gracefully.
    Left,
    /// Did not refute a suspicion in time.
    Dead,
}

/// Target announced to the fleet by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// Service provided by the target.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Member of the fleet, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Address of its control port, `IP:port`.
    pub control_address: String,
    /// Address of its request port, `IP:port`.
    pub request_address: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Raised only by the member itself; the update with the highest incarnation takes precedence.
    pub incarnation: Incarnation,
    /// Observed state.
    pub state: MemberState,
    /// Announced target; `None` while the instance has no target that accepts new requests.
    pub target: Option<Announcement>,
}

impl Member {
    fn precedence(&self) -> (Incarnation, MemberState) {
        (self.incarnation, self.state)
    }

    /// Whether work may be assigned to the member: it is alive or suspect.
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }

    fn size_bytes(&self) -> usize {
        let target_bytes = self.target.as_ref().map_or(0, |target| target.service.len() + 8);
        MEMBER_OVERHEAD_BYTES
            + self.instance.len()
            + self.control_address.len()
            + self.request_address.len()
            + self.zone.len()
            + target_bytes
    }

    /// Hash of the name, incarnation and state; the other fields change only together with the
    /// incarnation.
    fn hash(&self) -> u64 {
        let state = self.state as u8;
        xxh3_64(format!("{}/{}/{state}", self.instance, self.incarnation).as_bytes())
    }

    fn bucket(&self) -> usize {
        xxh3_64(self.instance.as_bytes()) as usize % DIGEST_BUCKETS
    }
}

/// Digest of a membership list: for each bucket, the XOR of the hashes of its members.
pub type Digest = Vec<u64>;

#[derive(Clone, Debug)]
struct TrackedMember {
    member: Member,
    send_count: u32,
    changed_at: Instant,
}

/// Membership list of one instance, including itself.
#[derive(Debug)]
pub struct Membership {
    local: InstanceId,
    members: BTreeMap<InstanceId, TrackedMember>,
    probe_order: Vec<InstanceId>,
    version: u64,
}

impl Membership {
    /// Creates a list that contains only the local member.
    pub fn new(local: Member, now: Instant) -> Self {
        let instance = local.instance.clone();
        let tracked = TrackedMember { member: local, send_count: 0, changed_at: now };
        Self {
            local: instance.clone(),
            members: BTreeMap::from([(instance, tracked)]),
            probe_order: Vec::new(),
            version: 1,
        }
    }

    /// Member entry of the local instance.
    pub fn local_member(&self) -> &Member {
        &self.members[&self.local].member
    }

    /// Change counter, incremented whenever a member is added or changed. The purge of a tombstone
    /// doesn't increment it, since it leaves the members that are present unchanged.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Members that are alive or suspect, including the local one.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|tracked| &tracked.member).filter(|member| member.is_present())
    }

    /// Looks up a member by instance name, in any state.
    pub fn member(&self, instance: &str) -> Option<&Member> {
        self.members.get(instance).map(|tracked| &tracked.member)
    }

    /// Changes the local member and increments its incarnation.
    pub fn update_local(&mut self, now: Instant, change: impl FnOnce(&mut Member)) {
        let Some(tracked) = self.members.get_mut(&self.local) else { return };
        change(&mut tracked.member);
        tracked.member.incarnation += 1;
        tracked.send_count = 0;
        tracked.changed_at = now;
        self.version += 1;
    }

    /// Next peer to probe. Visits all peers in random order, then reshuffles.
    pub fn next_probe(&mut self, rng: &mut impl Rng) -> Option<Member> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.peers().map(|member| member.instance.clone()).collect();
                self.probe_order.shuffle(rng);
            }
            let instance = self.probe_order.pop()?;
            let member = self.member(&instance).filter(|member| member.is_present());
            if let Some(member) = member {
                return Some(member.clone());
            }
        }
    }

    /// Up to `count` random peers other than `excluded`.
    pub fn sample(&self, count: usize, excluded: &str, rng: &mut impl Rng) -> Vec<Member> {
        let mut peers: Vec<&Member> =
            self.peers().filter(|member| member.instance != excluded).collect();
        let mut sample = Vec::with_capacity(count);
        while sample.len() < count && !peers.is_empty() {
            let index = rng.random_range(0..peers.len());
            sample.push(peers.swap_remove(index).clone());
        }
        sample
    }

    /// Takes the pending updates that fit into the byte budget, least often sent first.
    pub fn take_pending_updates(&mut self, budget_bytes: usize) -> Vec<Member> {
        let max_send_count =
            (RETRANSMIT_MULTIPLIER * (self.members.len() as f64 + 1.0).ln()).ceil() as u32;
        let mut pending: Vec<&mut TrackedMember> = self
            .members
            .values_mut()
            .filter(|tracked| tracked.send_count < max_send_count)
            .collect();
        pending.sort_by_key(|tracked| tracked.send_count);
        let mut remaining_bytes = budget_bytes;
        let mut updates = Vec::new();
        for tracked in pending {
            let size_bytes = tracked.member.size_bytes();
            if size_bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= size_bytes;
            tracked.send_count += 1;
            updates.push(tracked.member.clone());
        }
        updates
    }

    /// Digest of all members, for comparison with a peer's.
    pub fn digest(&self) -> Digest {
        let mut digest = vec![0_u64; DIGEST_BUCKETS];
        for tracked in self.members.values() {
            digest[tracked.member.bucket()] ^= tracked.member.hash();
        }
        digest
    }

    /// Hash of the digest; equal membership lists have equal hashes.
    pub fn digest_hash(&self) -> u64 {
        let bytes: Vec<u8> = self.digest().into_iter().flat_map(u64::to_le_bytes).collect();
        xxh3_64(&bytes)
    }

    /// Members of the buckets that differ from the peer's digest, within the byte budget.
    pub fn members_in_differing_buckets(
        &self,
        peer_digest: &Digest,
        budget_bytes: usize,
    ) -> Vec<Member> {
        let local_digest = self.digest();
        let mut remaining_bytes = budget_bytes;
        let differing = self.members.values().map(|tracked| &tracked.member).filter(|member| {
            let bucket = member.bucket();
            peer_digest.get(bucket) != Some(&local_digest[bucket])
        });
        differing
            .take_while(|member| {
                let size_bytes = member.size_bytes();
                let fits = size_bytes <= remaining_bytes;
                remaining_bytes = remaining_bytes.saturating_sub(size_bytes);
                fits
            })
            .cloned()
            .collect()
    }

    /// Merges member updates from a peer.
    pub fn merge(&mut self, updates: Vec<Member>, now: Instant) {
        for member in updates {
            self.merge_member(member, now);
        }
    }

    /// Marks an alive member as suspect after failed probes.
    pub fn suspect(&mut self, instance: &str, now: Instant) {
        let Some(tracked) = self.members.get(instance) else { return };
        if tracked.member.state != MemberState::Alive || instance == self.local {
            return;
        }
        let member = Member { state: MemberState::Suspect, ..tracked.member.clone() };
        self.upsert(member, now);
    }

    /// Declares suspects dead after the suspicion timeout and purges expired tombstones.
    pub fn expire(&mut self, now: Instant) {
        let overdue: Vec<Member> = self
            .members
            .values()
            .filter(|tracked| tracked.member.state == MemberState::Suspect)
            .filter(|tracked| {
                now.saturating_duration_since(tracked.changed_at) >= SUSPICION_TIMEOUT
            })
            .map(|tracked| Member { state: MemberState::Dead, ..tracked.member.clone() })
            .collect();
        for member in overdue {
            self.upsert(member, now);
        }
        self.members.retain(|_, tracked| {
            let age = now.saturating_duration_since(tracked.changed_at);
            tracked.member.is_present() || age < TOMBSTONE_RETENTION
        });
    }

    fn peers(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.instance != self.local)
    }

    fn merge_member(&mut self, member: Member, now: Instant) {
        if member.instance == self.local {
            self.refute(&member, now);
            return;
        }
        let tracked = self.members.get(&member.instance);
        // An unknown tombstone is not added; otherwise a purged one would return from a peer that
        // still keeps it, with a new retention period.
        if tracked.is_none() && !member.is_present() {
            return;
        }
        if tracked.is_none_or(|tracked| member.precedence() > tracked.member.precedence()) {
            self.upsert(member, now);
        }
    }

    /// Refutes an update about the local member that takes precedence over its current state, by
    /// raising the incarnation.
    fn refute(&mut self, claim: &Member, now: Instant) {
        let local = self.local_member().clone();
        if claim.precedence() <= local.precedence() {
            return;
        }
        // `update_local` increments the incarnation beyond the adopted one.
        self.update_local(now, |own| own.incarnation = own.incarnation.max(claim.incarnation));
    }

    fn upsert(&mut self, member: Member, now: Instant) {
        let tracked = TrackedMember { member, send_count: 0, changed_at: now };
        self.members.insert(tracked.member.instance.clone(), tracked);
        self.version += 1;
    }
}
