//! Tenants: lookup by key, and ranks.

use croftrill_scheduler::tenants::{KeyDigest, QuotaUnit, Tenant, Tenants};
use proptest::prelude::*;

fn tenant(name: &str, key: &str, priority: Option<u8>) -> Tenant {
    Tenant {
        name: name.into(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority,
        quota: None,
    }
}

#[test]
fn find_by_key_known_and_unknown() {
    let tenants = Tenants::new(
        vec![tenant("a", "k1", None), tenant("b", "k2", None)],
        [0].into_iter(),
    );
    let find = |key: &[u8]| tenants.find_by_key(key).map(|tenant| &*tenant.name);
    assert_eq!(find(b"k1"), Some("a"));
    assert_eq!(find(b"k2"), Some("b"));
    assert_eq!(find(b"k"), None);
    assert_eq!(find(b""), None);
}

#[test]
fn digest_debug_hides_key() {
    let shown = format!("{:?}", tenant("a", "secret", None));
    let hex: String = format!("{:x?}", KeyDigest::of(b"secret"));
    assert_eq!(hex, "KeyDigest(..)");
    assert!(!shown.contains("secret"));
}

#[test]
fn cost_of_requests_by_unit() {
    let tokens = QuotaUnit::Tokens { default_tokens: 200 };
    assert_eq!(tokens.cost(Some(9000)), 9000);
    assert_eq!(tokens.cost(None), 200);
    assert_eq!(QuotaUnit::Requests.cost(Some(9000)), 1);
}

proptest! {
    #[test]
    fn rank_orders_by_tenant_then_route(
        priorities in prop::collection::vec(prop::option::of(0u8..12), 1..6),
        routes in prop::collection::vec(0u8..10, 1..5),
    ) {
        let named = priorities.iter().enumerate();
        let tenants: Vec<Tenant> = named.map(|(index, priority)| tenant(&index.to_string(), "k", *priority)).collect();
        let table = Tenants::new(tenants.clone(), routes.iter().copied());
        for one in &tenants {
            for other in &tenants {
                for route in &routes {
                    for second in &routes {
                        let pair = (one.priority.unwrap_or(*route), *route);
                        let other_pair = (other.priority.unwrap_or(*second), *second);
                        let (rank, other_rank) = (table.rank(one, *route), table.rank(other, *second));
                        prop_assert!(rank <= 9);
                        // Neighbours may share a rank, but are never reversed.
                        prop_assert!(pair >= other_pair || rank <= other_rank);
                        prop_assert!(pair != other_pair || rank == other_rank);
                    }
                }
            }
        }
    }
}
