//! Whether a model can be had from replicas in reach.

use super::{ReplicaEntry, ReplicaTable};
use crate::software_versions::RequiredVersion;
use crate::time::Moment;

/// Whether replicas have a model. One that is out of reach has none, whatever its listing says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// A replica that takes requests has it.
    Held,
    /// None that takes requests has it. One will at this time: it loads the model, or its cooldown
    /// ends then.
    ExpectedAt(Moment),
    /// None has it or is about to.
    Absent,
}

impl ReplicaTable {
    /// Returns whether a model can be had from a service's ready replicas, or from those of one
    /// software version if that is required.
    pub fn availability(
        &self,
        service: &str,
        model: &str,
        required: Option<RequiredVersion<'_>>,
        now: Moment,
    ) -> Availability {
        let runs_version = |entry: &&ReplicaEntry| {
            let listing = &entry.listing;
            required.is_none_or(|required| required.is_run_by(&listing.id, listing.started_ms))
        };
        let in_reach = self.with_model(service, model).filter(runs_version);
        let in_reach = in_reach.filter(|entry| entry.is_ready() && entry.is_in_reach(now));
        let mut expected_at = None;
        for entry in in_reach {
            let ready_at = match entry.serves(model, None) {
                true => match entry.cooldown_until(now) {
                    None => return Availability::Held,
                    until => until,
                },
                false => entry.arrival(model),
            };
            expected_at = expected_at.into_iter().chain(ready_at).min();
        }
        expected_at.map_or(Availability::Absent, Availability::ExpectedAt)
    }
}
