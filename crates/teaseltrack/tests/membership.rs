//! Membership: dissemination of updates, refutation, precedence of states and the byte budget.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use teaseltrack::membership::{
    Announcement, MESSAGE_BUDGET_BYTES, Member, MemberState, Membership, Role,
};

const FLEET_SIZE: usize = 60;

fn member(index: usize) -> Member {
    Member {
        instance: format!("agent-{index}"),
        role: Role::Agent,
        control_address: format!("127.0.0.{index}:7103"),
        request_address: format!("127.0.0.{index}:7101"),
        zone: "zilina-a".to_owned(),
        incarnation: 1,
        state: MemberState::Alive,
        target: None,
    }
}

/// Memberships with complete lists and no pending updates.
fn fleet(now: Instant) -> Vec<Membership> {
    let mut fleet: Vec<Membership> =
        (0..FLEET_SIZE).map(|index| Membership::new(member(index), now)).collect();
    for membership in &mut fleet {
        membership.merge((0..FLEET_SIZE).map(member).collect(), now);
        while !membership.take_pending_updates(MESSAGE_BUDGET_BYTES).is_empty() {}
    }
    fleet
}

/// Every member probes one peer and both exchange updates, as the daemons do.
fn gossip_round(fleet: &mut [Membership], now: Instant, rng: &mut ChaCha8Rng) {
    for index in 0..fleet.len() {
        let Some(peer) = fleet[index].next_probe(rng) else { continue };
        let peer =
            fleet.iter().position(|other| other.local_member().instance == peer.instance).unwrap();
        for (from, to) in [(index, peer), (peer, index)] {
            let mut updates = fleet[from].take_pending_updates(MESSAGE_BUDGET_BYTES);
            updates.push(fleet[from].local_member().clone());
            fleet[to].merge(updates, now);
        }
    }
}

#[test]
fn updates_reach_all_members() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = fleet(now);
    let target = Announcement { service: "tickets".to_owned(), slots: 8 };
    fleet[0].update_local(now, |own| own.target = Some(target.clone()));
    for _ in 0..10 {
        gossip_round(&mut fleet, now, &mut rng);
    }
    for membership in &fleet {
        assert_eq!(membership.member("agent-0").unwrap().target.as_ref(), Some(&target));
        assert_eq!(membership.digest_hash(), fleet[0].digest_hash());
    }
}

#[test]
fn updates_within_budget() {
    let now = Instant::now();
    let mut membership = Membership::new(member(0), now);
    membership.merge((1..FLEET_SIZE).map(member).collect(), now);
    let updates = membership.take_pending_updates(MESSAGE_BUDGET_BYTES);
    assert!(!updates.is_empty());
    let string_bytes: usize = updates
        .iter()
        .map(|member| {
            member.instance.len() + member.control_address.len() + member.request_address.len()
        })
        .sum();
    assert!(string_bytes <= MESSAGE_BUDGET_BYTES);
}

#[test]
fn suspicion_refuted() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut fleet = fleet(now);
    fleet[1].suspect("agent-0", now);
    for _ in 0..10 {
        gossip_round(&mut fleet, now, &mut rng);
    }
    for membership in &mut fleet {
        membership.expire(now + Duration::from_secs(10));
        assert_eq!(membership.member("agent-0").unwrap().state, MemberState::Alive);
    }
}

#[test]
fn suspicion_not_refuted_declares_dead() {
    let now = Instant::now();
    let mut membership = Membership::new(member(0), now);
    membership.merge(vec![member(1)], now);
    membership.suspect("agent-1", now);
    assert_eq!(membership.present().count(), 2);
    membership.expire(now + Duration::from_secs(10));
    assert_eq!(membership.present().count(), 1);
}

#[test]
fn dead_member_not_revived_by_stale_update() {
    let now = Instant::now();
    let mut membership = Membership::new(member(0), now);
    membership.merge(vec![Member { state: MemberState::Dead, ..member(1) }], now);
    membership.merge(vec![member(1)], now);
    membership.merge(vec![Member { state: MemberState::Dead, ..member(1) }], now);
    membership.merge(vec![member(1)], now);
    assert_eq!(membership.member("agent-1").unwrap().state, MemberState::Dead);
    membership.merge(vec![Member { incarnation: 2, ..member(1) }], now);
    assert_eq!(membership.member("agent-1").unwrap().state, MemberState::Alive);
}

#[test]
fn exchange_sends_missing_members() {
    let now = Instant::now();
    let fleet = fleet(now);
    let mut newcomer = Membership::new(member(FLEET_SIZE), now);
    let missing = fleet[0].members_in_differing_buckets(&newcomer.digest(), usize::MAX);
    newcomer.merge(missing, now);
    assert_eq!(newcomer.present().count(), FLEET_SIZE + 1);
}
