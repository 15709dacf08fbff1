//! Membership: news spreads, lies are refuted, the dead stay dead, budgets hold.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use teaseltrack::membership::{
    Announcement, MESSAGE_BUDGET_BYTES, Member, MemberState, Membership, Role,
};

const FLEET: usize = 60;

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

/// Members that all know each other, their news sent already.
fn fleet(now: Instant) -> Vec<Membership> {
    let mut fleet: Vec<Membership> =
        (0..FLEET).map(|index| Membership::new(member(index), now)).collect();
    for one in &mut fleet {
        one.merge((0..FLEET).map(member).collect(), now);
        while !one.take_pending_updates(MESSAGE_BUDGET_BYTES).is_empty() {}
    }
    fleet
}

/// Every member probes one peer, as the daemons do.
fn gossip_round(fleet: &mut [Membership], now: Instant, rng: &mut ChaCha8Rng) {
    for index in 0..fleet.len() {
        let Some(peer) = fleet[index].next_probe(rng) else { continue };
        let peer =
            fleet.iter().position(|other| other.local_member().instance == peer.instance).unwrap();
        for (from, to) in [(index, peer), (peer, index)] {
            let mut news = fleet[from].take_pending_updates(MESSAGE_BUDGET_BYTES);
            news.push(fleet[from].local_member().clone());
            fleet[to].merge(news, now);
        }
    }
}

#[test]
fn news_spread_to_all() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = fleet(now);
    let target = Announcement { service: "tickets".to_owned(), slots: 8 };
    fleet[0].update_local(now, |own| own.target = Some(target.clone()));
    for _ in 0..10 {
        gossip_round(&mut fleet, now, &mut rng);
    }
    for one in &fleet {
        assert_eq!(one.member("agent-0").unwrap().target.as_ref(), Some(&target));
        assert_eq!(one.digest_hash(), fleet[0].digest_hash());
    }
}

#[test]
fn news_within_budget() {
    let now = Instant::now();
    let mut one = Membership::new(member(0), now);
    one.merge((1..FLEET).map(member).collect(), now);
    let news = one.take_pending_updates(MESSAGE_BUDGET_BYTES);
    assert!(!news.is_empty());
    let strings: usize = news
        .iter()
        .map(|member| {
            member.instance.len() + member.control_address.len() + member.request_address.len()
        })
        .sum();
    assert!(strings <= MESSAGE_BUDGET_BYTES);
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
    for one in &mut fleet {
        one.expire(now + Duration::from_secs(10));
        assert_eq!(one.member("agent-0").unwrap().state, MemberState::Alive);
    }
}

#[test]
fn suspicion_unrefuted_is_death() {
    let now = Instant::now();
    let mut one = Membership::new(member(0), now);
    one.merge(vec![member(1)], now);
    one.suspect("agent-1", now);
    assert_eq!(one.present().count(), 2);
    one.expire(now + Duration::from_secs(10));
    assert_eq!(one.present().count(), 1);
}

#[test]
fn death_not_undone_by_old_news() {
    let now = Instant::now();
    let mut one = Membership::new(member(0), now);
    one.merge(vec![Member { state: MemberState::Dead, ..member(1) }], now);
    one.merge(vec![member(1)], now);
    one.merge(vec![Member { state: MemberState::Dead, ..member(1) }], now);
    one.merge(vec![member(1)], now);
    assert_eq!(one.member("agent-1").unwrap().state, MemberState::Dead);
    one.merge(vec![Member { incarnation: 2, ..member(1) }], now);
    assert_eq!(one.member("agent-1").unwrap().state, MemberState::Alive);
}

#[test]
fn exchange_brings_missing_members() {
    let now = Instant::now();
    let fleet = fleet(now);
    let mut newcomer = Membership::new(member(FLEET), now);
    let missing = fleet[0].members_in_differing_buckets(&newcomer.digest(), usize::MAX);
    newcomer.merge(missing, now);
    assert_eq!(newcomer.present().count(), FLEET + 1);
}
