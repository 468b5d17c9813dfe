//! Requests whose replicas are in cooldown: they wait, or are refused with a retry delay.

use std::time::Duration;

use croftrill_scheduler::admission::{decide_in_cooldown, retry_after_cooldown, Admission};
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;
use xxhash_rust::xxh3::xxh3_64;

use super::{RequestRun, DEFAULT_RETRY_AFTER, OTHER_NODE_RETRY_AFTER, SAME_REPLICA_PAUSE};
use crate::ports::Platform;

/// Time between the first sends of two adjacent ranks after a cooldown: a round trip over two links
/// of 5 ms each. A replica that is still too busy has then said so in its answer to the most urgent
/// request.
const RANK_STEP: Duration = Duration::from_millis(20);

impl<P: Platform> RequestRun<P> {
    /// Decides what to do while all replicas that could take the request are in cooldown. Returns
    /// `None` if one of them is not, or if another replica will have loaded the model sooner.
    pub(super) fn cooldown_decision(&self) -> Option<Admission> {
        let cooldown_end = self.cooldown_end()?;
        let work = self.remaining_work(cooldown_end.since(self.now()));
        let sample = self.uniform_sample();
        Some(decide_in_cooldown(
            &self.caller_time(),
            &work,
            self.rank(),
            sample,
        ))
    }

    /// Returns the earliest end of the replicas' cooldowns, if those are what blocks the request.
    fn cooldown_end(&self) -> Option<Moment> {
        let now = self.now();
        let state = self.node.state.borrow();
        let replicas = &state.replicas;
        let Some(key) = self.model_key() else {
            let others = replicas.of_service(&self.service);
            let any_takes = others
                .filter(|entry| entry.takes_requests(now) && entry.is_in_reach(now))
                .count()
                > 0;
            return replicas
                .earliest_service_cooldown_end(&self.service, now)
                .filter(|_| !any_takes);
        };
        if replicas.reachable_holders(&self.service, &key.model, now) > 0 {
            return None;
        }
        let arrival = replicas.arrival(&self.service, &key.model, now);
        let cooldown_end = replicas.earliest_holder_cooldown_end(&self.service, &key.model, now)?;
        arrival
            .is_none_or(|arrival| cooldown_end <= arrival)
            .then_some(cooldown_end)
    }

    /// Waits before the request is resent to the replica that refused it. Returns false, without
    /// waiting, if it would then be too late or the replica takes no more requests. Returns false
    /// after the wait if the replica rejects requests by then.
    pub(super) async fn pause_before_resend(&self, replica: &ReplicaId) -> bool {
        let now = self.now();
        let pause = match self.resend_delay(replica) {
            Some(pause) if self.caller_time().allows(&self.remaining_work(pause)) => pause,
            _ => return false,
        };
        self.node.clock.sleep_until(now + pause).await;
        // The replica may have signalled more in its answer to another request, or in its entry.
        !self.is_rejected_by(replica) && !self.is_listed_as_leaving(replica)
    }

    fn is_listed_as_leaving(&self, replica: &ReplicaId) -> bool {
        let state = self.node.state.borrow();
        state.replicas.get(replica).is_some_and(|entry| !entry.is_ready())
    }

    /// Returns the time until the request may be resent to the replica, or `None` if it is leaving.
    fn resend_delay(&self, replica: &ReplicaId) -> Option<Duration> {
        let now = self.now();
        let state = self.node.state.borrow();
        let Some(entry) = state.replicas.get(replica) else {
            return (!state.replicas.rejects_requests(replica, now)).then_some(SAME_REPLICA_PAUSE);
        };
        if !entry.is_ready() {
            return None;
        }
        let cooldown = entry
            .cooldown_until(now)
            .map(|until| until.since(now) + RANK_STEP * u32::from(self.rank()));
        Some(cooldown.unwrap_or(SAME_REPLICA_PAUSE))
    }

    /// Returns the retry delay for a caller whose request the replica refused.
    pub(super) fn retry_after_refusal(&self, replica: &ReplicaId) -> Duration {
        if !self.is_rejected_by(replica) {
            return DEFAULT_RETRY_AFTER;
        }
        match self.cooldown_end() {
            Some(cooldown_end) => {
                let cooldown_left = cooldown_end.since(self.now());
                retry_after_cooldown(cooldown_left, self.rank(), self.uniform_sample())
            }
            // Another replica may take the request on the caller's next attempt.
            None => OTHER_NODE_RETRY_AFTER,
        }
    }

    /// Returns a sample from 0 to 1 that is fixed for the request and uniform over requests.
    pub(super) fn uniform_sample(&self) -> f64 {
        xxh3_64(self.facts.id.as_bytes()) as f64 / u64::MAX as f64
    }
}
