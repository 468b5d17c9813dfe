//! Rings, views and tables of claims, driven by hand.
#![allow(dead_code)]

use croftrill_state::claims::{ClaimConfig, ClaimHolder, ClaimOutcome, ClaimRequest, ClaimRing, ClaimTable};
use croftrill_state::membership::{Health, MemberView, MembershipView};
use croftrill_state::{IdempotencyKey, Instant, NodeId, RequestId, Revision};

pub const START: Instant = Instant(1_000_000);
pub const FIRST: RequestId = RequestId(1);
pub const SECOND: RequestId = RequestId(2);

pub fn config() -> ClaimConfig {
    ClaimConfig::default()
}

pub fn ring(version: u64, nodes: &[&str]) -> ClaimRing {
    ClaimRing {
        revision: Revision(version * 10),
        version,
        nodes: nodes.iter().map(|node| NodeId::from(*node)).collect(),
        former: Vec::new(),
    }
}

pub fn following(ring_before: &ClaimRing, nodes: &[&str]) -> ClaimRing {
    ClaimRing {
        former: vec![ring_before.to_former()],
        ..ring(ring_before.version + 1, nodes)
    }
}

/// What `local` knows if it heard from all others now, with their heads.
pub fn view(local: &str, head: u64, now: Instant, others: &[(&str, u64)]) -> MembershipView {
    let members = others.iter().map(|(node, head)| {
        let member = MemberView {
            address: String::new(),
            health: Health::Alive,
            heard_at: Some(now),
            head: Revision(*head),
            caught_up: true,
        };
        (NodeId::from(*node), member)
    });
    MembershipView {
        local: NodeId::from(local),
        taken_at: now,
        members: members.collect(),
        head: Revision(head),
    }
}

pub fn table_of(node: &str, instance: u64, witnessed_no_ring: bool, first: &ClaimRing) -> ClaimTable {
    let holder = ClaimHolder {
        node: NodeId::from(node),
        instance,
        witnessed_no_ring,
    };
    let mut table = ClaimTable::new(config(), holder);
    table.observe_ring(first.clone(), &MembershipView::default(), START);
    table
}

/// A key that `ring` gives to `node`.
pub fn key_of(ring: &ClaimRing, node: &str) -> IdempotencyKey {
    key_where(|key| ring.holder(key) == Some(&NodeId::from(node)))
}

pub fn key_where(accepts: impl Fn(&IdempotencyKey) -> bool) -> IdempotencyKey {
    (0..10_000)
        .map(|number| IdempotencyKey(format!("key-{number}")))
        .find(accepts)
        .expect("some key is accepted")
}

/// A key that gives way from `former` to `successor` with the change of ring.
pub fn moving_key(first: &ClaimRing, second: &ClaimRing, former: &str, successor: &str) -> IdempotencyKey {
    key_where(|key| {
        first.holder(key) == Some(&NodeId::from(former))
            && second.holder(key) == Some(&NodeId::from(successor))
    })
}

pub fn request(key: &IdempotencyKey, request: RequestId, ring: &ClaimRing) -> ClaimRequest {
    ClaimRequest {
        key: key.clone(),
        request,
        revision: ring.revision,
    }
}

pub fn unknown_for(retry_after_millis: u64) -> ClaimOutcome {
    ClaimOutcome::HistoryUnknown { retry_after_millis }
}

pub fn is_unknown(outcome: &ClaimOutcome) -> bool {
    matches!(outcome, ClaimOutcome::HistoryUnknown { .. })
}
