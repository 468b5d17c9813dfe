//! Chooses which replicas are published to a follower that does not know all of them.
//!
//! In a large fleet, a node only needs the replicas that its callers' requests can go
//! to. It names them as interests; its relay, which knows all replicas, chooses some for
//! each interest and from then on sends every change of these.
//!
//! Safety: once a replica has been published to a follower, the relay sends every change of
//! it (listing, placement and removal) until it tells the follower to forget the replica.
//! So, apart from the delay of their link, what a follower knows of a replica is never
//! older than what its relay knows.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{AdapterName, ModelName, ServiceName};
use crate::replica::ReplicaId;
use crate::replica_table::{Placement, ReplicaEntry, ReplicaTable, TableVersion};

/// Maximum number of replicas published for one interest. At about 200 bytes each they take
/// 13 KB, or 5 ms over 20 Mbit/s. All followers get the same replicas of a model, so this
/// also bounds the model's capacity: 64 engines with 64 slots run 4,096 streams at a time.
pub const MAX_REPLICAS_PER_INTEREST: usize = 64;

/// A service, model or adapter that the requests at a node need.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Interest {
    /// The service.
    pub service: ServiceName,
    /// The model, or `None` for a service without models.
    pub model: Option<ModelName>,
    /// An adapter of the model.
    pub adapter: Option<AdapterName>,
}

impl Interest {
    /// Returns the replicas in the table that serve the interest or are about to.
    fn fitting<'a>(&'a self, table: &'a ReplicaTable) -> Box<dyn Iterator<Item = &'a ReplicaEntry> + 'a> {
        match &self.model {
            None => Box::new(table.of_service(&self.service)),
            Some(model) => {
                let with_model = table.with_model(&self.service, model);
                Box::new(with_model.filter(|entry| self.adapter_fits(entry, model)))
            }
        }
    }

    fn adapter_fits(&self, entry: &ReplicaEntry, model: &ModelName) -> bool {
        let adapter = self.adapter.as_deref();
        adapter.is_none() || entry.listing.holdings.serves(model, adapter)
    }

    /// Returns true if a replica serves the interest or is about to.
    fn fits(&self, entry: &ReplicaEntry) -> bool {
        let of_service = entry.listing.service == self.service;
        of_service
            && self.model.as_ref().is_none_or(|model| {
                entry.models().any(|known| known == model) && self.adapter_fits(entry, model)
            })
    }

    /// Returns true if a replica with this new placement serves the interest or is about to.
    fn fits_placement(&self, placement: &Placement) -> bool {
        let Some(model) = &self.model else {
            return false;
        };
        let arrives = || placement.arriving.iter().any(|arrival| arrival.model == *model);
        placement.usable.serves(model, self.adapter.as_deref()) || self.adapter.is_none() && arrives()
    }
}

/// The replicas that were published for one interest.
#[derive(Debug, Default)]
struct PublishedReplicas {
    ids: HashSet<ReplicaId>,
    /// The table version at which the limit was reached. The limit stays reached while the
    /// table is unchanged.
    full_at: Option<TableVersion>,
}

/// One follower's interests, and the replicas that were published to it.
#[derive(Debug)]
pub struct FollowerInterests {
    zone: String,
    /// Differs between followers, so that they spread over the replicas of services
    /// without models.
    salt: u64,
    /// The interests, each with the replicas that were published for it. The limit is
    /// checked against these and not against all matching replicas: a popular model has
    /// thousands, and each of them would cost a scan of all of them for each follower.
    interests: HashMap<Interest, PublishedReplicas>,
    known: HashSet<ReplicaId>,
    /// Number of replicas scanned to check the limit.
    scanned_replicas: u64,
}

/// What a follower must receive about a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerUpdate {
    /// Nothing.
    None,
    /// The change.
    Change,
    /// The full state of the replica, as the follower does not know it yet.
    Full,
}

impl FollowerInterests {
    /// Creates a follower without interests.
    pub fn new(name: &str, zone: &str) -> Self {
        FollowerInterests {
            zone: zone.to_string(),
            salt: xxh3_64(name.as_bytes()),
            interests: HashMap::new(),
            known: HashSet::new(),
            scanned_replicas: 0,
        }
    }

    /// Adds an interest. Returns the replicas to send to the follower now, including those
    /// that it already knows.
    pub fn add_interest(&mut self, table: &ReplicaTable, interest: Interest) -> Vec<ReplicaId> {
        let chosen = self.choose(table, &interest);
        let published = PublishedReplicas {
            ids: chosen.iter().cloned().collect(),
            full_at: None,
        };
        self.interests.insert(interest, published);
        self.known.extend(chosen.iter().cloned());
        chosen
    }

    /// Chooses the replicas for all interests again. Returns all replicas that the follower
    /// must know, assuming that it knows none.
    pub fn resync(&mut self, table: &ReplicaTable) -> Vec<ReplicaId> {
        self.known.clear();
        let interests: Vec<Interest> = self.interests.keys().cloned().collect();
        for interest in interests {
            self.add_interest(table, interest);
        }
        self.known.iter().cloned().collect()
    }

    /// Removes interests that no request has needed for a long time. Returns the replicas
    /// that are no longer published to the follower, which must forget them.
    pub fn remove_interests(&mut self, table: &ReplicaTable, interests: &[Interest]) -> Vec<ReplicaId> {
        interests.iter().for_each(|interest| {
            self.interests.remove(interest);
        });
        let mut needed: HashSet<&ReplicaId> = HashSet::new();
        for interest in self.interests.keys() {
            let fitting = interest.fitting(table).map(|entry| &entry.listing.id);
            needed.extend(fitting.filter(|id| self.known.contains(*id)));
        }
        let removed: Vec<ReplicaId> = self
            .known
            .iter()
            .filter(|id| !needed.contains(id))
            .cloned()
            .collect();
        removed.iter().for_each(|id| {
            self.remove_replica(id);
        });
        removed
    }

    /// Handles a new or changed listing of a replica. The table may already hold the
    /// replica's placement, so the replica is matched by its entry in the table.
    pub fn update_for_listing(&mut self, table: &ReplicaTable, id: &ReplicaId) -> FollowerUpdate {
        if self.known.contains(id) {
            return FollowerUpdate::Change;
        }
        let Some(entry) = table.get(id) else {
            return FollowerUpdate::None;
        };
        self.publish_for(table, id, |interest| interest.fits(entry))
    }

    /// Handles a changed placement of a replica.
    pub fn update_for_placement(&mut self, table: &ReplicaTable, placement: &Placement) -> FollowerUpdate {
        if self.known.contains(&placement.replica) {
            return FollowerUpdate::Change;
        }
        if table.get(&placement.replica).is_none() {
            // It is published once its listing arrives.
            return FollowerUpdate::None;
        }
        self.publish_for(table, &placement.replica, |interest| {
            interest.fits_placement(placement)
        })
    }

    /// Publishes a replica that the follower does not know if at least one of the
    /// interests that it fits is below the limit.
    fn publish_for(
        &mut self,
        table: &ReplicaTable,
        id: &ReplicaId,
        fits: impl Fn(&Interest) -> bool,
    ) -> FollowerUpdate {
        let (known, scanned_replicas) = (&self.known, &mut self.scanned_replicas);
        let mut fitting = self.interests.iter_mut().filter(|(interest, _)| fits(interest));
        if !fitting
            .any(|(interest, published)| published.is_below_limit(table, interest, known, scanned_replicas))
        {
            return FollowerUpdate::None;
        }
        self.known.insert(id.clone());
        // It counts towards the limit of every interest that it fits.
        let fitting = self.interests.iter_mut().filter(|(interest, _)| fits(interest));
        fitting.for_each(|(_, published)| {
            published.ids.insert(id.clone());
        });
        FollowerUpdate::Full
    }

    /// Returns true if a replica is published to the follower.
    pub fn knows(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// Removes a replica. Returns true if the follower knew it.
    pub fn remove_replica(&mut self, id: &str) -> bool {
        let was_known = self.known.remove(id);
        if was_known {
            self.interests
                .values_mut()
                .for_each(|published| published.full_at = None);
        }
        was_known
    }

    /// Returns all interests.
    pub fn iter(&self) -> impl Iterator<Item = &Interest> {
        self.interests.keys()
    }

    /// Returns the interests in one of these models.
    pub fn of_models<'a>(&'a self, models: &'a [ModelName]) -> impl Iterator<Item = &'a Interest> + 'a {
        let is_of = |interest: &&Interest| {
            interest
                .model
                .as_ref()
                .is_some_and(|model| models.contains(model))
        };
        self.interests.keys().filter(is_of)
    }

    /// Returns the number of replicas scanned so far to check limits, which shows how the
    /// work grows with the fleet.
    pub fn scanned_replicas(&self) -> u64 {
        self.scanned_replicas
    }

    /// Chooses the replicas for an interest. For a model, all followers get the same ones,
    /// as nodes must agree without coordination on the replica that caches a shared prompt
    /// prefix. For a service without models, replicas in the follower's zone come first, in
    /// an order that differs between followers.
    fn choose(&self, table: &ReplicaTable, interest: &Interest) -> Vec<ReplicaId> {
        let seed = match &interest.model {
            Some(model) => xxh3_64(model.as_bytes()),
            None => self.salt,
        };
        let rank = |entry: &ReplicaEntry| {
            let is_elsewhere = interest.model.is_none() && *entry.listing.zone != *self.zone;
            let hash = xxh3_64_with_seed(entry.listing.id.as_bytes(), seed);
            (!entry.is_ready(), is_elsewhere, hash)
        };
        let mut ranked: Vec<_> = interest
            .fitting(table)
            .map(|entry| (rank(entry), entry.listing.id.clone()))
            .collect();
        if ranked.len() > MAX_REPLICAS_PER_INTEREST {
            ranked.select_nth_unstable(MAX_REPLICAS_PER_INTEREST - 1);
            ranked.truncate(MAX_REPLICAS_PER_INTEREST);
        }
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}

impl PublishedReplicas {
    /// Returns true if one more replica may be published. Replicas that do not fit the
    /// interest at present do not count towards the limit, but stay recorded: after the
    /// loss of an orderer they fit again with its next message.
    fn is_below_limit(
        &mut self,
        table: &ReplicaTable,
        interest: &Interest,
        known: &HashSet<ReplicaId>,
        scanned_replicas: &mut u64,
    ) -> bool {
        if self.ids.len() < MAX_REPLICAS_PER_INTEREST {
            return true;
        }
        if self.full_at == Some(table.version()) {
            return false;
        }
        self.ids.retain(|id| known.contains(id));
        *scanned_replicas += self.ids.len() as u64;
        let fits = |id: &&ReplicaId| table.get(id).is_some_and(|entry| interest.fits(entry));
        let is_full = self.ids.iter().filter(fits).count() >= MAX_REPLICAS_PER_INTEREST;
        self.full_at = is_full.then(|| table.version());
        !is_full
    }
}
