//! Tests what a follower receives for its interests against what its relay knows.

use std::collections::BTreeMap;

use croftrill_scheduler::interest::{FollowerInterests, Interest, MustHear, MOST_TOLD};
use croftrill_scheduler::replica::{HeldModel, Holdings, ReplicaId, ReplicaListing, ReplicaState};
use croftrill_scheduler::replica_table::{Placement, ReplicaTable};
use proptest::prelude::*;

const ZONES: [&str; 2] = ["a", "b"];

fn listing(index: usize, is_ready: bool) -> ReplicaListing {
    ReplicaListing {
        id: format!("r{index}").into(),
        service: if index % 5 == 0 { "app" } else { "llm" }.into(),
        address: "127.0.0.1:1".into(),
        zone: ZONES[index % 2].into(),
        slots: 8,
        state: if is_ready {
            ReplicaState::Ready
        } else {
            ReplicaState::Draining
        },
        leaves_in: None,
        born_ms: None,
        holdings: Holdings::default(),
    }
}

fn placement(index: usize, models: &[usize]) -> Placement {
    let held = models.iter().map(|model| HeldModel {
        model: format!("m{model}").into(),
        adapters: vec![format!("a{model}").into()],
    });
    Placement {
        replica: format!("r{index}").into(),
        born_ms: None,
        usable: Holdings {
            models: held.collect(),
            ..Holdings::default()
        },
        arriving: Vec::new(),
        tells_copies: false,
    }
}

fn interest(number: usize) -> Interest {
    let model = |model: usize, adapter: Option<usize>| Interest {
        service: "llm".into(),
        model: Some(format!("m{model}").into()),
        adapter: adapter.map(|adapter| format!("a{adapter}").into()),
    };
    match number {
        0 => Interest {
            service: "app".into(),
            model: None,
            adapter: None,
        },
        1 => model(1, None),
        2 => model(2, None),
        _ => model(1, Some(1)),
    }
}

/// What is published of a replica: whether it is ready, and the models it holds.
type Told = (bool, Vec<String>);

fn told(table: &ReplicaTable, id: &str) -> Option<Told> {
    let entry = table.get(id)?;
    let held = &entry.listing.holdings.models;
    Some((
        entry.is_ready(),
        held.iter().map(|held| held.model.to_string()).collect(),
    ))
}

/// A relay, one follower, and what the follower has received.
struct Pair {
    table: ReplicaTable,
    relay: FollowerInterests,
    follower: BTreeMap<ReplicaId, Told>,
}

impl Pair {
    fn new() -> Self {
        Pair {
            table: ReplicaTable::new(),
            relay: FollowerInterests::new("n1", "a"),
            follower: BTreeMap::new(),
        }
    }

    fn tell(&mut self, id: &ReplicaId) {
        if let Some(told) = told(&self.table, id) {
            self.follower.insert(id.clone(), told);
        }
    }

    fn listed(&mut self, listing: ReplicaListing) {
        let id = listing.id.clone();
        self.table.apply_relayed_listing(listing);
        if self.relay.hears_listing(&self.table, &id) != MustHear::Nothing {
            self.tell(&id);
        }
    }

    fn placed(&mut self, placement: Placement) {
        self.table.apply_placement(placement.clone());
        if self.relay.hears_placement(&self.table, &placement) != MustHear::Nothing {
            self.tell(&placement.replica);
        }
    }

    fn removed(&mut self, id: &str) {
        self.table.remove(id);
        if self.relay.hears_removal(id) {
            self.follower.remove(id);
        }
    }

    fn wants(&mut self, interest: Interest) {
        for id in self.relay.want(&self.table, interest) {
            self.tell(&id);
        }
    }

    fn forgets(&mut self, interest: Interest) {
        for id in self.relay.forget(&self.table, &[interest]) {
            self.follower.remove(&id);
        }
    }
}

#[test]
fn want_of_a_model_names_the_same_replicas_to_all_followers() {
    let mut table = ReplicaTable::new();
    for index in 1..400 {
        table.apply_listing(listing(index, true));
        table.apply_placement(placement(index, &[1]));
    }
    let chosen = |name: &str, zone: &str| FollowerInterests::new(name, zone).want(&table, interest(1));
    let (mut first, mut second) = (chosen("n1", "a"), chosen("n2", "b"));
    first.sort();
    second.sort();
    assert_eq!(first.len(), MOST_TOLD);
    assert_eq!(first, second);
}

#[test]
fn want_of_a_plain_service_names_replicas_of_the_zone_first() {
    let mut table = ReplicaTable::new();
    for index in 0..1000 {
        table.apply_listing(listing(index, true));
    }
    let chosen = FollowerInterests::new("n1", "b").want(&table, interest(0));
    let of_zone = |id: &ReplicaId| table.get(id).is_some_and(|entry| &*entry.listing.zone == "b");
    assert_eq!(chosen.len(), MOST_TOLD);
    assert!(chosen.iter().all(of_zone));
}

/// A replica with an adapter is not always among those that are published for its model.
#[test]
fn want_of_an_adapter_names_its_holder_among_hundreds() {
    let mut table = ReplicaTable::new();
    for index in 1..1000 {
        let mut held = placement(index, &[1]);
        if index != 501 {
            held.usable.models[0].adapters.clear();
        }
        table.apply_listing(listing(index, true));
        table.apply_placement(held);
    }
    let chosen = FollowerInterests::new("n1", "a").want(&table, interest(3));
    assert_eq!(chosen, vec![ReplicaId::from("r501")]);
}

proptest! {
    /// For any sequence of changes, a follower knows the same as its relay about each replica
    /// that it knows, and it knows the holders of the models of its interests.
    #[test]
    fn follower_knows_what_the_relay_knows(steps in prop::collection::vec((0u8..8, 0usize..12, prop::collection::vec(1usize..4, 0..3), any::<bool>()), 1..120)) {
        let mut pair = Pair::new();
        let mut wanted: Vec<usize> = Vec::new();
        for (step, index, models, is_ready) in steps {
            let number = index % 4;
            match step {
                0 | 1 => pair.listed(listing(index, is_ready)),
                2 | 3 => pair.placed(placement(index, &models)),
                4 => pair.removed(&format!("r{index}")),
                5 | 6 => {
                    pair.wants(interest(number));
                    wanted.push(number);
                }
                _ => {
                    pair.forgets(interest(number));
                    wanted.retain(|other| *other != number);
                }
            }
            for (id, known) in &pair.follower {
                prop_assert_eq!(Some(known.clone()), told(&pair.table, id));
            }
            for model in [1usize, 2] {
                let name = format!("m{model}");
                let holders = |entry: &&croftrill_scheduler::replica_table::ReplicaEntry| {
                    &*entry.listing.service == "llm" && entry.listing.holdings.serves(&name, None)
                };
                if wanted.contains(&model) {
                    let there = pair.table.iter().filter(holders).count();
                    let known = pair.follower.values().filter(|told| told.1.contains(&name)).count();
                    prop_assert!(known >= there, "{known} of {there} holders of {name}");
                }
            }
        }
    }
}

/// Creates a relay's table of a large fleet and a follower whose requests need one popular
/// model that half of all replicas hold.
fn busy_model(replicas: usize) -> (ReplicaTable, FollowerInterests) {
    let mut table = ReplicaTable::new();
    for index in 0..replicas {
        table.apply_listing(listing(index, true));
        table.apply_placement(placement(index, &[1 + index % 2]));
    }
    let mut follower = FollowerInterests::new("f1", "a");
    follower.want(&table, interest(1));
    (table, follower)
}

/// Guards against quadratic work at relays. For each follower and each replica of a requested
/// model, a relay scanned all replicas of the model to check the follower's limit. In a fleet
/// of 985 nodes and 10,000 replicas this blocked relays for up to 2.3 s whenever one
/// reconnected to an orderer and relayed the state of all replicas: links ended, each new
/// link sent all replicas again, and requests waited for models that were loaded. With that
/// scan, the test visits four times as many entries for twice the replicas.
#[test]
fn hears_placement_of_all_replicas_looks_at_no_more_than_grows_with_them() {
    let looked_at = [2_000, 4_000].map(|replicas| {
        let (table, mut follower) = busy_model(replicas);
        let before = follower.looked_at();
        for index in 0..replicas {
            follower.hears_placement(&table, &placement(index, &[1 + index % 2]));
        }
        follower.looked_at() - before
    });
    assert!(looked_at[1] <= 3 * looked_at[0], "{looked_at:?}");
    assert!(looked_at[1] <= 4_000 * MOST_TOLD as u64, "{looked_at:?}");
}

#[test]
fn hears_listing_of_all_replicas_looks_at_no_more_than_grows_with_them() {
    let looked_at = [2_000, 4_000].map(|replicas| {
        let (table, mut follower) = busy_model(replicas);
        let before = follower.looked_at();
        for index in 0..replicas {
            follower.hears_listing(&table, &format!("r{index}").into());
        }
        follower.looked_at() - before
    });
    assert!(looked_at[1] <= 3 * looked_at[0], "{looked_at:?}");
    assert!(looked_at[1] <= 4_000 * MOST_TOLD as u64, "{looked_at:?}");
}
