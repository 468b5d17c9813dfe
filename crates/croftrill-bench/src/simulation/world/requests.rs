//! Requests of a run from dispatch to their end, and callers that come back.

use super::{Event, Outcome, World, SHARE_WINDOW_SECONDS};
use crate::identifiers::{EngineIndex, GroupIndex, Micros, RequestIndex, MILLISECOND, SECOND};
use crate::simulation::engine::SequenceProgress;
use croftrill_state::outcome::{Refusal, RefusalCause};
use rand::Rng;

impl<M> World<'_, M> {
    /// Starts a request on an engine that has its model loaded and a free slot.
    pub fn dispatch(&mut self, request: RequestIndex, engine: EngineIndex) {
        let spec = self.request(request);
        assert_eq!(self.outcomes[request.0], Outcome::Open, "a request runs once");
        assert!(!self.dispatched[request.0].started, "a request runs once");
        let state = &mut self.engines[engine.0];
        assert!(state.is_loaded(spec.model), "the model is loaded");
        assert!(state.free_slots() > 0, "the engine has a free slot");
        let adapter_load = self.scenario.adapters.load_millis * MILLISECOND;
        state.add_sequence(self.now, request, &spec, adapter_load);
        let arrived = spec.sent + self.scenario.places.client_delay_micros;
        let loaded = self.loaded_at.get(&(engine, spec.model)).copied().unwrap_or(0);
        self.dispatched[request.0].started = true;
        self.dispatched[request.0].cold = loaded > arrived;
        self.begin_step(engine);
    }

    fn begin_step(&mut self, engine: EngineIndex) {
        let step = self.engines[engine.0].begin_step(self.now, &self.scenario.engine);
        let Some(step) = step else {
            return;
        };
        for (group, micros) in step.used {
            self.count_group(group, micros);
        }
        self.events.push(step.ends, Event::EngineStep(engine));
    }

    fn count_group(&mut self, group: GroupIndex, micros: Micros) {
        let window = (self.now / (SHARE_WINDOW_SECONDS * SECOND)) as usize;
        let groups = self.scenario.groups.len();
        if self.group_micros.len() <= window {
            self.group_micros.resize(window + 1, vec![0; groups]);
        }
        self.group_micros[window][group.0] += micros;
    }

    pub(in crate::simulation) fn engine_step(
        &mut self,
        engine: EngineIndex,
    ) -> Vec<(RequestIndex, SequenceProgress)> {
        let progress = self.engines[engine.0].end_step(self.now, &self.scenario.engine);
        for (request, step) in &progress {
            let router = self.request(*request).router;
            let at_client = self.now + self.delay(router, engine) + self.scenario.places.client_delay_micros;
            self.record_progress(*request, *step, at_client);
        }
        self.begin_step(engine);
        progress
    }

    fn record_progress(&mut self, request: RequestIndex, step: SequenceProgress, at_client: Micros) {
        let dispatched = &mut self.dispatched[request.0];
        match step {
            SequenceProgress::FirstToken => dispatched.first_token = Some(at_client),
            SequenceProgress::Finished => {
                self.outcomes[request.0] = Outcome::Served {
                    first_token: dispatched.first_token.unwrap_or(at_client),
                    last_token: at_client,
                    cold: dispatched.cold,
                };
            }
        }
    }

    /// Refuses a request that never ran; the refusal travels from its router to
    /// the caller, who may come back at the named time.
    pub fn refuse(&mut self, request: RequestIndex, refusal: &Refusal) {
        assert_eq!(self.outcomes[request.0], Outcome::Open, "a request ends once");
        assert!(
            !self.dispatched[request.0].started,
            "a started request is not refused"
        );
        let at = self.now + self.scenario.places.client_delay_micros;
        if self.comes_back(request, refusal) {
            self.come_back(request, at + refusal.retry_after_millis * MILLISECOND);
            return;
        }
        self.outcomes[request.0] = Outcome::Refused {
            cause: refusal.cause,
            at,
        };
    }

    fn comes_back(&mut self, request: RequestIndex, refusal: &Refusal) -> bool {
        let callers = &self.scenario.callers;
        let would = self.callers.random::<f64>() < callers.return_part;
        would
            && refusal.cause != RefusalCause::DeadlineExpired
            && refusal.retry_after_millis <= callers.most_wait_millis
            && self.returns[request.0] < callers.most_returns
    }

    /// The caller sends its request again with new deadlines.
    fn come_back(&mut self, request: RequestIndex, sent: Micros) {
        self.returns[request.0] += 1;
        self.counters.returns += 1;
        let spec = &mut self.requests[request.0];
        let later = sent - spec.sent;
        spec.sent += later;
        spec.first_token_deadline += later;
        spec.total_deadline += later;
        let arrives = sent + self.scenario.places.client_delay_micros;
        self.events.push(arrives, Event::Arrival(request));
    }
}
