//! Membership by random probes.
//!
//! Every period an instance probes one peer. Probe and answer carry a few members whose state changed
//! lately, least often sent first, within a fixed byte budget. Peers whose digests differ exchange the
//! members of the differing buckets. A peer that answers neither directly nor through others is
//! suspected; a suspect that doesn't refute in time is dead. Correctness never depends on any of it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, InstanceId, ServiceName, ZoneName};

/// Buckets of the digest.
pub const DIGEST_BUCKETS: usize = 32;
/// Bytes of members that one message may carry.
pub const MESSAGE_BUDGET_BYTES: usize = 1_000;
/// Bytes of members that one exchange after a differing digest may carry.
pub const EXCHANGE_BUDGET_BYTES: usize = 64_000;
/// Time for which a suspect may refute.
const SUSPICION: Duration = Duration::from_secs(2);
/// Time for which a dead or departed member is remembered, so that old news can't revive it.
const RETENTION: Duration = Duration::from_secs(120);
/// Times that a change is sent, as a multiple of the logarithm of the fleet's size.
const SENDS_PER_LOG: f64 = 3.0;
/// Bytes of a member beyond its strings.
const MEMBER_FIXED_BYTES: usize = 32;

/// What an instance does in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Stands beside a target.
    Agent,
}

/// What is believed of a member, weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Didn't answer a probe.
    Suspect,
    /// Said that it stops.
    Left,
    /// Didn't refute a suspicion.
    Dead,
}

/// A target as its agent announces it to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the target answers for.
    pub service: ServiceName,
    /// Requests that the target takes at once.
    pub slots: u32,
}

/// A member as it travels between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// What it does.
    pub role: Role,
    /// Address of its control port, `IP:port`.
    pub control_address: String,
    /// Address of its request port, `IP:port`.
    pub request_address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Only raised by the member itself; news with a higher one wins.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub state: MemberState,
    /// Its target, if it has one that takes new work.
    pub target: Option<Announcement>,
}

impl Member {
    fn precedence(&self) -> (Incarnation, MemberState) {
        (self.incarnation, self.state)
    }

    /// Whether the member may get work.
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }

    fn size_bytes(&self) -> usize {
        let target_bytes = self.target.as_ref().map_or(0, |target| target.service.len() + 8);
        MEMBER_FIXED_BYTES
            + self.instance.len()
            + self.control_address.len()
            + self.request_address.len()
            + self.zone.len()
            + target_bytes
    }

    fn digest(&self) -> u64 {
        let state = self.state as u8;
        xxh3_64(format!("{}/{}/{state}", self.instance, self.incarnation).as_bytes())
    }

    fn bucket(&self) -> usize {
        xxh3_64(self.instance.as_bytes()) as usize % DIGEST_BUCKETS
    }
}

/// Digest of all members, one sum for each bucket.
pub type Digest = Vec<u64>;

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    sends: u32,
    changed_at: Instant,
}

/// The members that one instance knows, itself included.
#[derive(Debug)]
pub struct Membership {
    own: InstanceId,
    known: BTreeMap<InstanceId, Known>,
    probe_order: Vec<InstanceId>,
    version: u64,
}

impl Membership {
    /// Knows only itself.
    pub fn new(own: Member, now: Instant) -> Self {
        let instance = own.instance.clone();
        let known = Known { member: own, sends: 0, changed_at: now };
        Self {
            own: instance.clone(),
            known: BTreeMap::from([(instance, known)]),
            probe_order: Vec::new(),
            version: 1,
        }
    }

    /// The instance's own member.
    pub fn local_member(&self) -> &Member {
        &self.known[&self.own].member
    }

    /// Number that goes up with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All members that may get work.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member).filter(|member| member.is_present())
    }

    /// A member by name, in whatever state.
    pub fn member(&self, instance: &str) -> Option<&Member> {
        self.known.get(instance).map(|known| &known.member)
    }

    /// Changes the instance's own member and raises its incarnation.
    pub fn update_local(&mut self, now: Instant, change: impl FnOnce(&mut Member)) {
        let Some(known) = self.known.get_mut(&self.own) else { return };
        change(&mut known.member);
        known.member.incarnation += 1;
        known.sends = 0;
        known.changed_at = now;
        self.version += 1;
    }

    /// The next peer to probe: each once, in random order, then anew.
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

    /// Up to `count` random peers, `except` left out.
    pub fn sample(&self, count: usize, except: &str, rng: &mut impl Rng) -> Vec<Member> {
        let mut peers: Vec<&Member> =
            self.peers().filter(|member| member.instance != except).collect();
        let mut sample = Vec::with_capacity(count);
        while sample.len() < count && !peers.is_empty() {
            let index = rng.random_range(0..peers.len());
            sample.push(peers.swap_remove(index).clone());
        }
        sample
    }

    /// Members whose state changed lately, least often sent first, within the byte budget.
    pub fn take_pending_updates(&mut self, budget_bytes: usize) -> Vec<Member> {
        let max_sends = (SENDS_PER_LOG * (self.known.len() as f64 + 1.0).ln()).ceil() as u32;
        let mut fresh: Vec<&mut Known> =
            self.known.values_mut().filter(|known| known.sends < max_sends).collect();
        fresh.sort_by_key(|known| known.sends);
        let mut left_bytes = budget_bytes;
        let mut news = Vec::new();
        for known in fresh {
            let size_bytes = known.member.size_bytes();
            if size_bytes > left_bytes {
                break;
            }
            left_bytes -= size_bytes;
            known.sends += 1;
            news.push(known.member.clone());
        }
        news
    }

    /// Digest of all members.
    pub fn digest(&self) -> Digest {
        let mut digest = vec![0_u64; DIGEST_BUCKETS];
        for known in self.known.values() {
            digest[known.member.bucket()] ^= known.member.digest();
        }
        digest
    }

    /// Hash over the digest, equal where the members are equal.
    pub fn digest_hash(&self) -> u64 {
        let bytes: Vec<u8> = self.digest().into_iter().flat_map(u64::to_le_bytes).collect();
        xxh3_64(&bytes)
    }

    /// Members of the buckets in which the digests differ, within the byte budget.
    pub fn members_in_differing_buckets(&self, other: &Digest, budget_bytes: usize) -> Vec<Member> {
        let own = self.digest();
        let mut left_bytes = budget_bytes;
        let differing = self.known.values().map(|known| &known.member).filter(|member| {
            let bucket = member.bucket();
            other.get(bucket) != Some(&own[bucket])
        });
        differing
            .take_while(|member| {
                let size_bytes = member.size_bytes();
                let fits = size_bytes <= left_bytes;
                left_bytes = left_bytes.saturating_sub(size_bytes);
                fits
            })
            .cloned()
            .collect()
    }

    /// Takes in news from a peer.
    pub fn merge(&mut self, news: Vec<Member>, now: Instant) {
        for member in news {
            self.merge_one(member, now);
        }
    }

    /// Suspects a member that didn't answer.
    pub fn suspect(&mut self, instance: &str, now: Instant) {
        let Some(known) = self.known.get(instance) else { return };
        if known.member.state != MemberState::Alive || instance == self.own {
            return;
        }
        let member = Member { state: MemberState::Suspect, ..known.member.clone() };
        self.store(member, now);
    }

    /// Declares suspects dead that didn't refute, and forgets members that are long gone.
    pub fn expire(&mut self, now: Instant) {
        let overdue: Vec<Member> = self
            .known
            .values()
            .filter(|known| known.member.state == MemberState::Suspect)
            .filter(|known| now.saturating_duration_since(known.changed_at) >= SUSPICION)
            .map(|known| Member { state: MemberState::Dead, ..known.member.clone() })
            .collect();
        for member in overdue {
            self.store(member, now);
        }
        self.known.retain(|_, known| {
            let age = now.saturating_duration_since(known.changed_at);
            known.member.is_present() || age < RETENTION
        });
    }

    fn peers(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.instance != self.own)
    }

    fn merge_one(&mut self, member: Member, now: Instant) {
        if member.instance == self.own {
            self.refute(&member, now);
            return;
        }
        let known = self.known.get(&member.instance);
        if known.is_none() && !member.is_present() {
            return;
        }
        if known.is_none_or(|known| member.precedence() > known.member.precedence()) {
            self.store(member, now);
        }
    }

    /// Answers news about the instance itself that isn't its own with a higher incarnation.
    fn refute(&mut self, claim: &Member, now: Instant) {
        let own = self.local_member().clone();
        if claim.precedence() <= own.precedence() {
            return;
        }
        self.update_local(now, |own| own.incarnation = own.incarnation.max(claim.incarnation));
    }

    fn store(&mut self, member: Member, now: Instant) {
        let known = Known { member, sends: 0, changed_at: now };
        self.known.insert(known.member.instance.clone(), known);
        self.version += 1;
    }
}
