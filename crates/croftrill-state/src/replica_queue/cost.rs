//! What a request is charged: one unit of cost for all kinds of work.

use super::Work;

/// Units that one decoded token costs in [`CombinedCost`].
pub const UNITS_PER_DECODED_TOKEN: u64 = 1_000;

/// Charges requests. The queue's shares are shares of these units.
pub trait CostModel: Send + Sync {
    /// Units that the work costs; at least 1.
    fn units(&self, work: &Work) -> u64;
}

/// Every request costs the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostPerRequest;

impl CostModel for CostPerRequest {
    fn units(&self, _work: &Work) -> u64 {
        1
    }
}

/// Every token costs the same, read or written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CostPerToken;

impl CostModel for CostPerToken {
    fn units(&self, work: &Work) -> u64 {
        let tokens = u64::from(work.prompt_tokens) + u64::from(work.output_tokens);
        tokens.max(1)
    }
}

/// One non-linear unit for prefill, decode and load.
///
/// The idea is that of the virtual operation of D. Shue and M. J. Freedman, "From
/// application requests to virtual IOPs: provisioned key-value storage with
/// Libra" (EuroSys 2014): express requests of
/// different kinds and sizes in one unit by what they take of the device's
/// capacity, which is not proportional to their size. Here a unit is a
/// thousandth of a decoded token; prefill is cheap for a short prompt and its
/// cost a token grows with the prompt's length, as attention does; a load is
/// charged to the request that caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CombinedCost {
    /// Units of every request.
    pub fixed_units: u64,
    /// Units of a prompt token in a short prompt.
    pub prefill_units: u64,
    /// Prompt length at which a token's prefill costs twice as much.
    pub prefill_doubling_tokens: u64,
    /// Units of a MiB of a checkpoint that has to be loaded.
    pub load_units_per_mib: u64,
}

impl Default for CombinedCost {
    fn default() -> Self {
        Self {
            fixed_units: 4 * UNITS_PER_DECODED_TOKEN,
            prefill_units: 50,
            prefill_doubling_tokens: 8_192,
            load_units_per_mib: 5,
        }
    }
}

impl CostModel for CombinedCost {
    fn units(&self, work: &Work) -> u64 {
        let prompt = u64::from(work.prompt_tokens);
        let linear = prompt.saturating_mul(self.prefill_units);
        let growth = linear.saturating_mul(prompt) / self.prefill_doubling_tokens.max(1);
        let decode = u64::from(work.output_tokens).saturating_mul(UNITS_PER_DECODED_TOKEN);
        let load = work.load_mib.saturating_mul(self.load_units_per_mib);
        [self.fixed_units, linear, growth, decode, load]
            .into_iter()
            .fold(0, u64::saturating_add)
            .clamp(1, u64::from(u32::MAX))
    }
}

/// The cost models that settings can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostUnit {
    /// [`CostPerRequest`].
    PerRequest,
    /// [`CostPerToken`].
    PerToken,
    /// [`CombinedCost`].
    Combined(CombinedCost),
}

impl Default for CostUnit {
    fn default() -> Self {
        CostUnit::Combined(CombinedCost::default())
    }
}

impl CostModel for CostUnit {
    fn units(&self, work: &Work) -> u64 {
        match self {
            CostUnit::PerRequest => CostPerRequest.units(work),
            CostUnit::PerToken => CostPerToken.units(work),
            CostUnit::Combined(combined) => combined.units(work),
        }
    }
}
