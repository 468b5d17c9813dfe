//! What a node that does not know all replicas is told of them.
//!
//! In a large fleet a node needs to know the replicas that its callers' requests can go
//! to, and no others. It names them as interests; whoever knows all replicas chooses
//! some for each, and from then on tells every change of these.
//!
//! Safety: a replica that was told stays told of, listing, placement and end, until the
//! follower hears that it is not any more. So what a follower knows of a replica is never
//! older than what its relay knows, but for the link between them.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::catalog::{AdapterName, ModelName, ServiceName};
use crate::replica::ReplicaId;
use crate::replica_table::{Placement, ReplicaEntry, ReplicaTable, TableVersion};

/// Replicas that are told for one interest at most, some 200 bytes each: 13 KB, 5 ms over
/// 20 Mbit/s. All followers get the same of a model, so they bound what its requests can
/// use: 64 engines of 64 places run 4,096 streams of one model at a time.
pub const MOST_TOLD: usize = 64;

/// Something that requests of a node ask for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Interest {
    /// The service.
    pub service: ServiceName,
    /// The model; `None` for a service without models.
    pub model: Option<ModelName>,
    /// An adapter of it.
    pub adapter: Option<AdapterName>,
}

impl Interest {
    /// The replicas of the table that serve it, or await what it asks for.
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

    /// True if a replica serves it, or awaits what it asks for.
    fn fits(&self, entry: &ReplicaEntry) -> bool {
        let of_service = entry.listing.service == self.service;
        of_service
            && self.model.as_ref().is_none_or(|model| {
                entry.models().any(|known| known == model) && self.adapter_fits(entry, model)
            })
    }

    /// True if a replica's new placement serves it.
    fn fits_placement(&self, placement: &Placement) -> bool {
        let Some(model) = &self.model else {
            return false;
        };
        let arrives = || placement.arriving.iter().any(|arrival| arrival.model == *model);
        placement.usable.serves(model, self.adapter.as_deref()) || self.adapter.is_none() && arrives()
    }
}

/// The replicas that were told for one interest.
#[derive(Debug, Default)]
struct ToldReplicas {
    ids: HashSet<ReplicaId>,
    /// The table at which there was no room for one more: nor is there while it is the same.
    full_at: Option<TableVersion>,
}

/// One follower's interests, and the replicas that it was told of.
#[derive(Debug)]
pub struct FollowerInterests {
    zone: String,
    /// Differs between followers, so that they share the replicas of services without
    /// models.
    salt: u64,
    /// What it wants to know of, each with the replicas that were told for it. Whether
    /// there is room for one more goes by these and not by all replicas that fit: of a busy
    /// model thousands do, and each of them would be a walk through all for each follower.
    wanted: HashMap<Interest, ToldReplicas>,
    known: HashSet<ReplicaId>,
    /// Replicas looked at to see whether there is room for one more.
    looked_at: u64,
}

/// What a follower must hear of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MustHear {
    /// Nothing.
    Nothing,
    /// The news.
    News,
    /// All that is known of it, as the follower does not know the replica yet.
    Everything,
}

impl FollowerInterests {
    /// A follower of a name and zone without interests.
    pub fn new(name: &str, zone: &str) -> Self {
        FollowerInterests {
            zone: zone.to_string(),
            salt: xxh3_64(name.as_bytes()),
            wanted: HashMap::new(),
            known: HashSet::new(),
            looked_at: 0,
        }
    }

    /// The follower wants to know what serves an interest: the replicas that it must be
    /// told of now, once more if it knows them already.
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

    /// Everything that it must know, from nothing.
    pub fn begin_anew(&mut self, table: &ReplicaTable) -> Vec<ReplicaId> {
        self.known.clear();
        let wanted: Vec<Interest> = self.wanted.keys().cloned().collect();
        for interest in wanted {
            self.want(table, interest);
        }
        self.known.iter().cloned().collect()
    }

    /// Interests of which nothing was asked for long: the replicas that it is not told of
    /// any more, and must forget.
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

    /// A replica was listed, or its listing changed. What it holds may have been told
    /// before, so its entry in the table is what counts.
    pub fn hears_listing(&mut self, table: &ReplicaTable, id: &ReplicaId) -> MustHear {
        if self.known.contains(id) {
            return MustHear::News;
        }
        let Some(entry) = table.get(id) else {
            return MustHear::Nothing;
        };
        self.tell_for(table, id, |interest| interest.fits(entry))
    }

    /// What a replica holds changed.
    pub fn hears_placement(&mut self, table: &ReplicaTable, placement: &Placement) -> MustHear {
        if self.known.contains(&placement.replica) {
            return MustHear::News;
        }
        if table.get(&placement.replica).is_none() {
            // It is told with its listing.
            return MustHear::Nothing;
        }
        self.tell_for(table, &placement.replica, |interest| {
            interest.fits_placement(placement)
        })
    }

    /// A replica that the follower does not know fits some interests: it is told for the
    /// first of them that has room.
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
        // It serves the others, too: they need as many fewer.
        let fitting = self.wanted.iter_mut().filter(|(interest, _)| fits(interest));
        fitting.for_each(|(_, told)| {
            told.ids.insert(id.clone());
        });
        MustHear::Everything
    }

    /// True if the follower is told of a replica.
    pub fn knows(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// A replica is gone; true if the follower knew it.
    pub fn hears_removal(&mut self, id: &str) -> bool {
        let was_known = self.known.remove(id);
        if was_known {
            self.wanted.values_mut().for_each(|told| told.full_at = None);
        }
        was_known
    }

    /// All that it wants to know of.
    pub fn wanted(&self) -> impl Iterator<Item = &Interest> {
        self.wanted.keys()
    }

    /// What of that is about one of these models.
    pub fn wanted_of<'a>(&'a self, models: &'a [ModelName]) -> impl Iterator<Item = &'a Interest> + 'a {
        let is_of = |interest: &&Interest| {
            interest
                .model
                .as_ref()
                .is_some_and(|model| models.contains(model))
        };
        self.wanted.keys().filter(is_of)
    }

    /// Replicas looked at so far to see whether there is room for one more: how the work
    /// grows with the fleet.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// The replicas for an interest: of a model the same for all followers, as they agree
    /// without talking where a prompt's shared part is kept; of a service without models
    /// those of the follower's zone, each follower beginning elsewhere.
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
    /// True if one more replica may be told. Those that do not fit the interest now leave
    /// their places for as long: after an orderer was lost they fit again with its next word.
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
