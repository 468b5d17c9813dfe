//! Models and requests of a run, generated from a scenario and a seed. Every
//! policy of a comparison gets the same ones.

use crate::identifiers::{
    AdapterIndex, ClassIndex, GroupIndex, Micros, ModelIndex, NodeIndex, MILLISECOND, SECOND,
};
use crate::scenario::{ClassProfile, Scenario};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, LogNormal};

const SECONDS_IN_MINUTE: f64 = 60.0;
/// Longest prompt or answer, in tokens.
const MOST_TOKENS: f64 = 16_000.0;

/// A model.
#[derive(Clone, Debug)]
pub struct ModelSpec {
    /// Its name.
    pub name: String,
    /// The class that it serves.
    pub class: ClassIndex,
    /// Accelerators of a replica.
    pub accelerators: u32,
    /// Memory on each of them, in MiB.
    pub memory_mib: u64,
    /// Size of its checkpoint, in MiB.
    pub checkpoint_mib: u64,
    /// Replicas that it may have.
    pub max_replicas: u32,
    /// Its part of the requests of its class.
    pub popularity: f64,
    /// Its adapters.
    pub adapters: Vec<AdapterIndex>,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec {
    /// When the client sends it.
    pub sent: Micros,
    /// The node whose router gets it.
    pub router: NodeIndex,
    /// Its class.
    pub class: ClassIndex,
    /// Its group.
    pub group: GroupIndex,
    /// Its model.
    pub model: ModelIndex,
    /// Its adapter.
    pub adapter: Option<AdapterIndex>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// When the first token should be with the client.
    pub first_token_deadline: Micros,
    /// When the whole answer should be with the client.
    pub total_deadline: Micros,
}

/// The models and requests of a run.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The seed that it was generated from.
    pub seed: u64,
    /// Time over which requests arrive.
    pub duration: Micros,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Requests in the order of their sending.
    pub requests: Vec<RequestSpec>,
}

impl Workload {
    /// Generates the workload of a run.
    pub fn generate(scenario: &Scenario, seed: u64, duration: Micros) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let models = generate_models(scenario, &mut random);
        let mut generator = Generator {
            scenario,
            models: &models,
            random,
            duration,
            requests: Vec::new(),
        };
        generator.steady();
        generator.bursts();
        generator.flood();
        let mut requests = generator.requests;
        requests.sort_by_key(|request| request.sent);
        Self {
            seed,
            duration,
            models,
            requests,
        }
    }
}

fn generate_models(scenario: &Scenario, random: &mut SmallRng) -> Vec<ModelSpec> {
    let mut models = Vec::new();
    for (class, profile) in scenario.classes.iter().enumerate() {
        let weights: Vec<f64> = (1..=profile.models)
            .map(|rank| (rank as f64).powf(-profile.popularity_exponent))
            .collect();
        let sum: f64 = weights.iter().sum();
        for (rank, weight) in weights.iter().enumerate() {
            let memory_mib = random.random_range(profile.memory_mib[0]..=profile.memory_mib[1]);
            let whole_mib = memory_mib * u64::from(profile.accelerators);
            models.push(ModelSpec {
                name: format!("{}-{}", profile.name, rank + 1),
                class: ClassIndex(class),
                accelerators: profile.accelerators,
                memory_mib,
                checkpoint_mib: (whole_mib as f64 * profile.checkpoint_part) as u64,
                max_replicas: profile.max_replicas,
                popularity: weight / sum,
                adapters: Vec::new(),
            });
        }
    }
    for adapter in 0..scenario.adapters.count {
        let base = random.random_range(0..models.len());
        models[base].adapters.push(AdapterIndex(adapter));
    }
    models
}

struct Generator<'a> {
    scenario: &'a Scenario,
    models: &'a [ModelSpec],
    random: SmallRng,
    duration: Micros,
    requests: Vec<RequestSpec>,
}

impl Generator<'_> {
    fn steady(&mut self) {
        let scenario = self.scenario;
        let groups = WeightedIndex::new(scenario.groups.iter().map(|group| group.demand))
            .expect("demands are positive");
        for (class, profile) in scenario.classes.iter().enumerate() {
            for sent in self.arrivals(profile.requests_per_second, 0, self.duration) {
                let group = GroupIndex(groups.sample(&mut self.random));
                let model = self.draw_model(ClassIndex(class));
                self.push(sent, group, model);
            }
        }
    }

    fn bursts(&mut self) {
        let profile = &self.scenario.bursts;
        let per_second = profile.per_minute / SECONDS_IN_MINUTE;
        let groups = self.scenario.groups.len();
        for start in self.arrivals(per_second, 0, self.duration) {
            // Any model, popular or not: most bursts meet one that sits idle.
            let model = ModelIndex(self.random.random_range(0..self.models.len()));
            for _ in 0..profile.requests {
                let offset = self.random.random_range(0..=profile.spread_millis * MILLISECOND);
                let group = GroupIndex(self.random.random_range(0..groups));
                self.push(start + offset, group, model);
            }
        }
    }

    fn flood(&mut self) {
        let scenario = self.scenario;
        let Some(flood) = &scenario.flood else {
            return;
        };
        let group = scenario.groups.iter().position(|group| group.name == flood.group);
        let class = scenario
            .classes
            .iter()
            .position(|class| class.name == flood.class);
        let (Some(group), Some(class)) = (group, class) else {
            return;
        };
        let to = (flood.to_second * SECOND).min(self.duration);
        for sent in self.arrivals(flood.requests_per_second, flood.from_second * SECOND, to) {
            let model = self.draw_model(ClassIndex(class));
            self.push(sent, GroupIndex(group), model);
        }
    }

    fn arrivals(&mut self, per_second: f64, from: Micros, to: Micros) -> Vec<Micros> {
        let Ok(gaps) = Exp::new(per_second / SECOND as f64) else {
            return Vec::new();
        };
        let mut times = Vec::new();
        let mut time = from as f64;
        loop {
            time += gaps.sample(&mut self.random);
            if !time.is_finite() || time >= to as f64 {
                return times;
            }
            times.push(time as Micros);
        }
    }

    fn draw_model(&mut self, class: ClassIndex) -> ModelIndex {
        let mut left = self.random.random::<f64>();
        let mut last = 0;
        for (index, model) in self.models.iter().enumerate() {
            if model.class != class {
                continue;
            }
            last = index;
            left -= model.popularity;
            if left < 0.0 {
                break;
            }
        }
        ModelIndex(last)
    }

    fn push(&mut self, sent: Micros, group: GroupIndex, model: ModelIndex) {
        let spec = &self.models[model.0];
        let profile = &self.scenario.classes[spec.class.0];
        let nodes = self.scenario.places.engines + self.scenario.places.application_replicas;
        let router = NodeIndex(self.random.random_range(0..nodes));
        let adapter = self.draw_adapter(spec);
        let request = RequestSpec {
            sent,
            router,
            class: spec.class,
            group,
            model,
            adapter,
            prompt_tokens: self.draw_length(profile, profile.prompt_tokens),
            answer_tokens: self.draw_length(profile, profile.answer_tokens),
            first_token_deadline: sent + profile.first_token_millis * MILLISECOND,
            total_deadline: sent + profile.total_millis * MILLISECOND,
        };
        self.requests.push(request);
    }

    fn draw_adapter(&mut self, spec: &ModelSpec) -> Option<AdapterIndex> {
        if spec.adapters.is_empty() || self.random.random::<f64>() >= self.scenario.adapters.request_part {
            return None;
        }
        let chosen = self.random.random_range(0..spec.adapters.len());
        Some(spec.adapters[chosen])
    }

    fn draw_length(&mut self, profile: &ClassProfile, median: f64) -> u32 {
        let lengths = LogNormal::new(median.ln(), profile.length_sigma).expect("sigma is finite");
        lengths.sample(&mut self.random).clamp(1.0, MOST_TOKENS) as u32
    }
}
