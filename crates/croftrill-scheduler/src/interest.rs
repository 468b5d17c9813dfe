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
pub const MOST_TOLD: usize = 64;

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
struct ToldReplicas {
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
    wanted: HashMap<Interest, ToldReplicas>,
    known: HashSet<ReplicaId>,
    /// Number of replicas scanned to check the limit.
    looked_at: u64,
}

/// What a follower must receive about a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MustHear {
    /// Nothing.
    Nothing,
    /// The change.
    News,
    /// The full state of the replica, as the follower does not know it yet.
    Everything,
}

impl FollowerInterests {
    /// Creates a follower without interests.
    pub fn new(name: &str, zone: &str) -> Self {
        FollowerInterests {
            zone: zone.to_string(),
            salt: xxh3_64(name.as_bytes()),
            wanted: HashMap::new(),
            known: HashSet::new(),
            looked_at: 0,
        }
    }

    /// Adds an interest. Returns the replicas to send to the follower now, including those
    /// that it already knows.
    pub fn want(&mut self, table: &ReplicaTable, interest: Interest) -> Vec<ReplicaId> {
        let chosen = self.choose(table, &interest);
        let told = ToldReplicas {
            ids: chosen.iter().cloned().collect(),
            full_at: None,
        };
        self.wanted.insert(interest, told);
        self.known.extend(chosen.iter().cloned());
        chosen
    }

    /// Chooses the replicas for all interests again. Returns all replicas that the follower
    /// must know, assuming that it knows none.
    pub fn begin_anew(&mut self, table: &ReplicaTable) -> Vec<ReplicaId> {
        self.known.clear();
        let wanted: Vec<Interest> = self.wanted.keys().cloned().collect();
        for interest in wanted {
            self.want(table, interest);
        }
        self.known.iter().cloned().collect()
    }

    /// Removes interests that no request has needed for a long time. Returns the replicas
    /// that are no longer published to the follower, which must forget them.
    pub fn forget(&mut self, table: &ReplicaTable, interests: &[Interest]) -> Vec<ReplicaId> {
        interests.iter().for_each(|interest| {
            self.wanted.remove(interest);
        });
        let mut needed: HashSet<&ReplicaId> = HashSet::new();
        for interest in self.wanted.keys() {
            let fitting = interest.fitting(table).map(|entry| &entry.listing.id);
            needed.extend(fitting.filter(|id| self.known.contains(*id)));
        }
        let gone: Vec<ReplicaId> = self
            .known
            .iter()
            .filter(|id| !needed.contains(id))
            .cloned()
            .collect();
        gone.iter().for_each(|id| {
            self.hears_removal(id);
        });
        gone
    }

    /// Handles a new or changed listing of a replica. The table may already hold the
    /// replica's placement, so the replica is matched by its entry in the table.
    pub fn hears_listing(&mut self, table: &ReplicaTable, id: &ReplicaId) -> MustHear {
        if self.known.contains(id) {
            return MustHear::News;
        }
        let Some(entry) = table.get(id) else {
            return MustHear::Nothing;
        };
        self.tell_for(table, id, |interest| interest.fits(entry))
    }

    /// Handles a changed placement of a replica.
    pub fn hears_placement(&mut self, table: &ReplicaTable, placement: &Placement) -> MustHear {
        if self.known.contains(&placement.replica) {
            return MustHear::News;
        }
        if table.get(&placement.replica).is_none() {
            // It is published once its listing arrives.
            return MustHear::Nothing;
        }
        self.tell_for(table, &placement.replica, |interest| {
            interest.fits_placement(placement)
        })
    }

    /// Publishes a replica that the follower does not know if at least one of the
    /// interests that it fits is below the limit.
    fn tell_for(
        &mut self,
        table: &ReplicaTable,
        id: &ReplicaId,
        fits: impl Fn(&Interest) -> bool,
    ) -> MustHear {
        let (known, looked_at) = (&self.known, &mut self.looked_at);
        let mut fitting = self.wanted.iter_mut().filter(|(interest, _)| fits(interest));
        if !fitting.any(|(interest, told)| told.has_room(table, interest, known, looked_at)) {
            return MustHear::Nothing;
        }
        self.known.insert(id.clone());
        // It counts towards the limit of every interest that it fits.
        let fitting = self.wanted.iter_mut().filter(|(interest, _)| fits(interest));
        fitting.for_each(|(_, told)| {
            told.ids.insert(id.clone());
        });
        MustHear::Everything
    }

    /// Returns true if a replica is published to the follower.
    pub fn knows(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// Removes a replica. Returns true if the follower knew it.
    pub fn hears_removal(&mut self, id: &str) -> bool {
        let was_known = self.known.remove(id);
        if was_known {
            self.wanted.values_mut().for_each(|told| told.full_at = None);
        }
        was_known
    }

    /// Returns all interests.
    pub fn wanted(&self) -> impl Iterator<Item = &Interest> {
        self.wanted.keys()
    }

    /// Returns the interests in one of these models.
    pub fn wanted_of<'a>(&'a self, models: &'a [ModelName]) -> impl Iterator<Item = &'a Interest> + 'a {
        let is_of = |interest: &&Interest| {
            interest
                .model
                .as_ref()
                .is_some_and(|model| models.contains(model))
        };
        self.wanted.keys().filter(is_of)
    }

    /// Returns the number of replicas scanned so far to check limits, which shows how the
    /// work grows with the fleet.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
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
        if ranked.len() > MOST_TOLD {
            ranked.select_nth_unstable(MOST_TOLD - 1);
            ranked.truncate(MOST_TOLD);
        }
        ranked.into_iter().map(|(_, id)| id).collect()
    }
}

impl ToldReplicas {
    /// Returns true if one more replica may be published. Replicas that do not fit the
    /// interest at present do not count towards the limit, but stay recorded: after the
    /// loss of an orderer they fit again with its next message.
    fn has_room(
        &mut self,
        table: &ReplicaTable,
        interest: &Interest,
        known: &HashSet<ReplicaId>,
        looked_at: &mut u64,
    ) -> bool {
        if self.ids.len() < MOST_TOLD {
            return true;
        }
        if self.full_at == Some(table.version()) {
            return false;
        }
        self.ids.retain(|id| known.contains(id));
        *looked_at += self.ids.len() as u64;
        let fits = |id: &&ReplicaId| table.get(id).is_some_and(|entry| interest.fits(entry));
        let is_full = self.ids.iter().filter(fits).count() >= MOST_TOLD;
        self.full_at = is_full.then(|| table.version());
        !is_full
    }
}
