//! Estimates of the work for each model and of what its holders can do on time.
//!
//! Work is measured in requests that run concurrently at a replica of usual speed: the request
//! rate times the service time (Little's law). The number of concurrent requests is assumed to
//! be Poisson distributed; requests beyond the capacity of the holders are late.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::{PlacedReplica, ServicePlacement};
use crate::capacity::SpeedClass;
use crate::catalog::ModelName;
use crate::replica::ReplicaId;

/// Fraction of a replica's slots that its mean work may occupy: requests arrive in bursts of up
/// to twice their mean rate, and each prefill delays the streams that run at the replica.
const USABLE_SLOTS: f64 = 0.5;

/// Requests that are assumed to have been on time besides the counted ones, so that a few
/// requests do not determine the share.
const ASSUMED_IN_TIME: f64 = 20.0;

/// Share of requests that replicas serve late although they have free capacity, by speed class:
/// a slow replica can be too slow for the pauses between events that a route allows.
#[derive(Debug, Clone, Default)]
pub struct LateShares {
    /// Number of requests, and of the late ones among them.
    counted: BTreeMap<SpeedClass, (f64, f64)>,
}

impl LateShares {
    /// Counts requests at replicas of a speed class.
    pub fn count(&mut self, class: SpeedClass, requests: f64, late: f64) {
        let counted = self.counted.entry(class).or_default();
        counted.0 += requests;
        counted.1 += late;
    }

    /// Returns the share of late requests at replicas of a speed class.
    pub fn of(&self, class: SpeedClass) -> f64 {
        let counted = self.counted.get(&class);
        counted.map_or(0.0, |(requests, late)| late / (requests + ASSUMED_IN_TIME))
    }
}

/// Cost of a service's work, measured from the load that its replicas report, with a cache of
/// derived figures. The cache is valid while the current holders of all models are the same.
#[derive(Debug, Default)]
pub struct ServiceWork {
    /// Seconds that each cost token takes at a replica of usual speed.
    pub per_token_s: f64,
    /// Share of requests that replicas of a speed class serve late despite free capacity.
    pub late_shares: LateShares,
    /// Cache of the work and the requests per second of models.
    asked: RefCell<HashMap<ModelName, (f64, f64)>>,
    /// Cache of the sum of the capacities of each model's holders.
    rooms: RefCell<HashMap<ModelName, f64>>,
    /// Cache of the holders of models.
    holders: RefCell<HashMap<ModelName, Rc<Vec<Holder>>>>,
}

impl ServiceWork {
    /// Creates the work of a service in which each cost token takes `per_token_s` at a replica
    /// of usual speed.
    pub fn new(per_token_s: f64, late_shares: LateShares) -> Self {
        ServiceWork {
            per_token_s,
            late_shares,
            ..ServiceWork::default()
        }
    }
}

/// The work for a model, and what its holders can do.
#[derive(Debug, Clone)]
pub struct ModelWork {
    /// The model.
    pub model: ModelName,
    /// Requests that run concurrently, at replicas of usual speed.
    pub work: f64,
    /// Such requests that its holders can serve on time.
    pub room: f64,
    /// Number of its holders.
    pub holders: usize,
    /// Number of other replicas with a copy of its weights.
    pub copies: usize,
}

/// A holder of a model.
#[derive(Debug, Clone)]
struct Holder {
    id: ReplicaId,
    room: HolderRoom,
    /// Requests per second that depend on it, given the holders ranked before it.
    value: f64,
}

/// Work of a model that a holder can do, and the share of it that is late even so.
#[derive(Debug, Clone, Copy)]
struct HolderRoom {
    work: f64,
    late_share: f64,
}

/// Returns the work that is late with holders of the given capacities: what exceeds their sum,
/// and of the rest the late share of the holder that does it. Holders with the lowest late
/// share are filled first.
fn late_work(work: f64, mut rooms: Vec<HolderRoom>) -> f64 {
    rooms.sort_by(|left, right| left.late_share.total_cmp(&right.late_share));
    let beyond = beyond(work, rooms.iter().map(|room| room.work).sum());
    let mut left = work - beyond;
    let mut late = beyond;
    for room in rooms {
        let here = left.min(room.work);
        late += here * room.late_share;
        left -= here;
    }
    late
}

/// Returns the expected excess over `room` of a Poisson distributed number of requests of mean
/// `work`. It is approximated by a normal distribution of the same mean and variance: the
/// standard deviation times the normal loss function. The tail probability is the usual logistic
/// approximation, 1 / (1 + e^(1.5976 z + 0.07056 z^3)), accurate to 0.0002.
fn beyond(work: f64, room: f64) -> f64 {
    let deviation = work.sqrt().max(f64::EPSILON);
    let distance = (room - work) / deviation;
    let density = (-0.5 * distance * distance).exp() / (2.0 * std::f64::consts::PI).sqrt();
    let tail = 1.0 / (1.0 + (1.5976 * distance + 0.070_56 * distance.powi(3)).exp());
    (deviation * (density - distance * tail)).clamp(0.0, work)
}

impl ServicePlacement<'_> {
    /// Returns the number of a model's requests that run concurrently, at replicas of usual
    /// speed.
    fn work(&self, model: &ModelName, work: &ServiceWork) -> f64 {
        self.work_and_rate(model, work).0
    }

    /// Returns the work for a model, and its requests per second.
    fn work_and_rate(&self, model: &ModelName, work: &ServiceWork) -> (f64, f64) {
        if let Some(known) = work.asked.borrow().get(model) {
            return *known;
        }
        let key = self.key(model);
        let tokens = self.demand.present_tokens_per_second(&key, self.now);
        let rate = self.demand.present_requests_per_second(&key, self.now);
        let asked = (tokens * work.per_token_s, rate);
        work.asked.borrow_mut().insert(model.clone(), asked);
        asked
    }

    /// Returns the number of requests that a replica runs concurrently.
    fn slots(&self, replica: &PlacedReplica) -> u32 {
        let told = replica.capacity.newest().and_then(|(load, _)| load.slots);
        told.unwrap_or(replica.listed_slots).max(1)
    }

    /// Returns the work that a replica can do while first events and pauses meet their
    /// objectives. The speed counts twice: at half of the usual speed a replica does half the
    /// work, and each prefill and step takes twice as much of the allowed pause.
    pub(super) fn room(&self, replica: &PlacedReplica) -> f64 {
        let slots = f64::from(self.slots(replica));
        let speed = replica.capacity.lasting_speed();
        (slots * USABLE_SLOTS * speed * speed).min(slots * speed)
    }

    /// Returns the sum of the capacities of a model's current holders, whatever else they hold.
    fn keepers_room(&self, model: &ModelName, work: &ServiceWork) -> f64 {
        if let Some(room) = work.rooms.borrow().get(model) {
            return *room;
        }
        let fleet = self.fleet();
        let keepers = fleet.keepers(model).filter_map(|id| self.replicas.get(id));
        let room = keepers.map(|replica| self.room(replica)).sum();
        work.rooms.borrow_mut().insert(model.clone(), room);
        room
    }

    /// Returns the part of a replica's capacity that a model has there or would have: what the
    /// work of the other models leaves, and at least its share in proportion to work.
    fn room_for(&self, model: &ModelName, replica: &PlacedReplica, work: &ServiceWork) -> f64 {
        let room = self.room(replica);
        // Work of a model that goes to this replica if it is distributed by capacity.
        let part = |name: &ModelName, is_new: bool| {
            let whole = self.keepers_room(name, work) + if is_new { room } else { 0.0 };
            self.work(name, work) * room / whole.max(room)
        };
        let own = part(model, !replica.keeps(model));
        let held = replica.ledger.holdings().models.iter().map(|held| &held.model);
        let beside: f64 = held
            .filter(|held| *held != model && replica.keeps(held))
            .map(|held| part(held, false))
            .sum();
        let fair = if own + beside > 0.0 {
            room * own / (own + beside)
        } else {
            room
        };
        (room - beside).max(fair)
    }

    /// Returns the requests per second of a model that are late with holders of the given
    /// capacities.
    fn late_with(&self, model: &ModelName, rooms: Vec<HolderRoom>, work: &ServiceWork) -> f64 {
        let (needed, rate) = self.work_and_rate(model, work);
        if needed <= 0.0 {
            return 0.0;
        }
        rate * late_work(needed, rooms) / needed
    }

    /// Returns the capacity that a model has or would have at a replica, with the share that is
    /// late even so.
    fn room_at(&self, model: &ModelName, replica: &PlacedReplica, work: &ServiceWork) -> HolderRoom {
        HolderRoom {
            work: self.room_for(model, replica, work),
            late_share: work.late_shares.of(replica.capacity.speed_class()),
        }
    }

    /// Returns the current holders of a model, those of the largest capacity first. The first
    /// ones are evicted last.
    fn model_holders(&self, model: &ModelName, work: &ServiceWork) -> Rc<Vec<Holder>> {
        if let Some(known) = work.holders.borrow().get(model) {
            return Rc::clone(known);
        }
        let fleet = self.fleet();
        let keepers = fleet
            .keepers(model)
            .filter_map(|id| self.replicas.get_key_value(id));
        let mut keepers: Vec<(i64, &ReplicaId, &PlacedReplica)> = keepers
            .map(|(id, replica)| (self.room(replica).round() as i64, id, replica))
            .collect();
        // The sort is stable, so that ties stay in hash order, which all orderers share.
        keepers.sort_by_key(|(room, ..)| Reverse(*room));
        let mut rooms = Vec::with_capacity(keepers.len());
        let mut holders = Vec::with_capacity(keepers.len());
        let mut late = self.late_with(model, Vec::new(), work);
        for (index, (_, id, replica)) in keepers.into_iter().enumerate() {
            let room = self.room_at(model, replica, work);
            rooms.push(room);
            let late_before = std::mem::replace(&mut late, self.late_with(model, rooms.clone(), work));
            let kept = (late_before - late).max(0.0);
            let value = match index {
                0 => self.value_of_model(model) * (1.0 - room.late_share),
                1 => kept.max(self.spare_value(model)),
                _ => kept,
            };
            holders.push(Holder {
                id: id.clone(),
                room,
                value,
            });
        }
        let holders = Rc::new(holders);
        work.holders
            .borrow_mut()
            .insert(model.clone(), Rc::clone(&holders));
        holders
    }

    /// Returns the requests per second that depend on a model's holder at a replica.
    pub(super) fn value_by_work(&self, model: &ModelName, id: &ReplicaId, work: &ServiceWork) -> f64 {
        let holders = self.model_holders(model, work);
        let held = holders.iter().find(|holder| holder.id == *id);
        held.map_or_else(|| self.value_of_model(model), |holder| holder.value)
    }

    /// Returns the capacities of a model's current holders and of the replicas that are to load
    /// it.
    fn rooms_of(&self, model: &ModelName, work: &ServiceWork) -> Vec<HolderRoom> {
        let mut rooms = self.present_rooms(model, work);
        let fleet = self.fleet();
        if fleet.holders(model) == fleet.keeper_count(model) {
            return rooms;
        }
        let awaited = fleet.with_goal().filter_map(|id| self.replicas.get(id));
        let awaited = awaited.filter(|replica| replica.goal.as_ref() == Some(model) && !replica.keeps(model));
        rooms.extend(awaited.map(|replica| self.room_at(model, replica, work)));
        rooms
    }

    /// Returns the capacities of a model's current holders.
    fn present_rooms(&self, model: &ModelName, work: &ServiceWork) -> Vec<HolderRoom> {
        let holders = self.model_holders(model, work);
        holders.iter().map(|holder| holder.room).collect()
    }

    /// Returns the additional requests per second that are on time with one more holder besides
    /// those of the given capacities.
    fn kept_by(
        &self,
        model: &ModelName,
        mut rooms: Vec<HolderRoom>,
        more: HolderRoom,
        work: &ServiceWork,
    ) -> f64 {
        let late = self.late_with(model, rooms.clone(), work);
        rooms.push(more);
        late - self.late_with(model, rooms, work)
    }

    /// Returns a model's work and the capacity of its holders; `None` where holders do not
    /// follow the work.
    pub fn model_work(&self, model: &ModelName) -> Option<ModelWork> {
        let work = self.work.as_ref()?;
        let holders = self.model_holders(model, work);
        Some(ModelWork {
            model: model.clone(),
            work: self.work(model, work),
            room: holders.iter().map(|holder| holder.room.work).sum(),
            holders: holders.len(),
            copies: self.free_copies(model),
        })
    }

    /// Returns true if more than one request of the model runs at a time on average.
    pub fn is_busy(&self, model: &ModelName) -> bool {
        let work = self.work.as_ref();
        work.is_some_and(|work| self.work(model, work) > 1.0)
    }

    /// Returns the sole holder of a model if it has enough capacity for the model's work.
    pub fn only_holder_with_room(&self, model: &ModelName) -> Option<&PlacedReplica> {
        let work = self.work.as_ref()?;
        let fleet = self.fleet();
        let mut keepers = fleet.keepers(model);
        let only = keepers.next().filter(|_| keepers.next().is_none())?;
        let replica = self.replicas.get(only)?;
        (self.work(model, work) < self.room_for(model, replica, work)).then_some(replica)
    }

    /// Returns the number of replicas with a copy of a model's weights that do not hold it.
    fn free_copies(&self, model: &ModelName) -> usize {
        let fleet = self.fleet();
        let with_copy = fleet.with_copy(model).filter_map(|id| self.replicas.get(id));
        with_copy.filter(|replica| !replica.keeps(model)).count()
    }

    /// Returns the additional requests per second that are on time with one more holder at a
    /// replica.
    pub(super) fn kept_by_work_at(
        &self,
        model: &ModelName,
        replica: &PlacedReplica,
        work: &ServiceWork,
    ) -> f64 {
        let more = self.room_at(model, replica, work);
        let kept = self.kept_by(model, self.rooms_of(model, work), more, work);
        kept.max(self.spare_of_next(model))
    }

    /// Returns the value of the next holder as a spare: zero unless it would be the second one.
    fn spare_of_next(&self, model: &ModelName) -> f64 {
        if self.holders(model) == 1 {
            self.spare_value(model)
        } else {
            0.0
        }
    }

    /// Returns the additional requests per second that are on time with one more holder: a
    /// replica of usual speed with `slots` slots that holds nothing else. `None` where holders
    /// do not follow the work.
    pub fn kept_by_next(&self, model: &ModelName, slots: u32) -> Option<f64> {
        let work = self.work.as_ref()?;
        let more = HolderRoom {
            work: f64::from(slots) * USABLE_SLOTS,
            late_share: 0.0,
        };
        let kept = self.kept_by(model, self.rooms_of(model, work), more, work);
        Some(kept.max(self.spare_of_next(model)))
    }

    /// Returns true if some model that is held or about to be loaded, and has no unused copy of
    /// its weights, gains more than `saved` requests on time by a load from the weight store of
    /// the same duration.
    pub fn store_keeps_more(&self, saved: f64, load: Duration, slots: u32) -> bool {
        if self.work.is_none() {
            return false;
        }
        let kept = |model: &ModelName| {
            if self.holders(model) == 0 || self.free_copies(model) > 0 {
                return 0.0;
            }
            self.kept_by_next(model, slots).unwrap_or(0.0)
        };
        let most = self.engine.model_order.iter().map(kept).fold(0.0, f64::max);
        most * self.stay_s(load) > saved
    }

    /// Returns true if a holder of a model at a replica saves more requests than the eviction of
    /// a holder worth `displaced` requests per second loses.
    pub fn is_worth_at(
        &self,
        model: &ModelName,
        replica: &PlacedReplica,
        load: Duration,
        displaced: f64,
    ) -> bool {
        self.is_next_worth(model, replica, load, displaced)
            .unwrap_or_else(|| self.is_worth(model, load, displaced))
    }

    /// Returns the same by the requests that are on time with one more holder; `None` where
    /// holders do not follow the work, or the model has no holder yet.
    fn is_next_worth(
        &self,
        model: &ModelName,
        replica: &PlacedReplica,
        load: Duration,
        displaced: f64,
    ) -> Option<bool> {
        let work = self.work.as_ref()?;
        let keepers = self.fleet().keeper_count(model);
        if keepers == 0 {
            return None;
        }
        let more = self.room_at(model, replica, work);
        let kept = self.kept_by(model, self.present_rooms(model, work), more, work);
        let spare = if keepers == 1 {
            self.spare_value(model)
        } else {
            0.0
        };
        let horizon_s = self.config.horizon.as_secs_f64();
        Some(kept.max(spare) * self.stay_s(load) > displaced * horizon_s)
    }

    /// Returns the requests per second that become late for the models that stay on a replica
    /// if another model shares it.
    pub(super) fn late_beside(
        &self,
        model: &ModelName,
        replica: &PlacedReplica,
        stays: &[&ModelName],
        work: &ServiceWork,
    ) -> f64 {
        let room = self.room(replica);
        let taken = self.work(model, work) * room / (self.keepers_room(model, work) + room).max(f64::EPSILON);
        let late = |held: &&ModelName| {
            let present = self.present_rooms(held, work);
            let whole: f64 = present.iter().map(|room| room.work).sum();
            let left = 1.0 - (taken.min(room) / whole.max(f64::EPSILON)).min(1.0);
            let shared = present.iter().map(|room| HolderRoom {
                work: room.work * left,
                ..*room
            });
            self.late_with(held, shared.collect(), work) - self.late_with(held, present, work)
        };
        stays.iter().map(late).sum()
    }
}
