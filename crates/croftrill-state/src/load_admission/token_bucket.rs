//! A token bucket that holds at most one token, so that starts are spread
//! evenly: in any window of `w` milliseconds at most `1 + w * rate` are taken.

use crate::time::Instant;

/// One token in the bucket's unit: thousandths of a token a second, times
/// milliseconds.
const TOKEN: u64 = 1_000_000;

/// The bucket.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    tokens_per_second_thousandths: u64,
    level: u64,
    updated: Instant,
}

impl TokenBucket {
    /// A bucket with its token.
    pub(super) fn full(tokens_per_second_thousandths: u64, now: Instant) -> Self {
        Self {
            tokens_per_second_thousandths,
            level: TOKEN,
            updated: now,
        }
    }

    /// A bucket without a token.
    pub(super) fn empty(tokens_per_second_thousandths: u64, now: Instant) -> Self {
        Self {
            level: 0,
            ..Self::full(tokens_per_second_thousandths, now)
        }
    }

    /// Changes the rate from now on.
    pub(super) fn set_rate(&mut self, tokens_per_second_thousandths: u64, now: Instant) {
        self.level = self.level_at(now);
        self.updated = now;
        self.tokens_per_second_thousandths = tokens_per_second_thousandths;
    }

    /// Takes the token; the caller has checked that it is there.
    pub(super) fn take(&mut self, now: Instant) {
        self.level = self.level_at(now).saturating_sub(TOKEN);
        self.updated = now;
    }

    /// Milliseconds until the token is there.
    pub(super) fn millis_until_token(&self, now: Instant) -> u64 {
        let missing = TOKEN - self.level_at(now);
        missing.div_ceil(self.tokens_per_second_thousandths.max(1))
    }

    /// Milliseconds between two tokens.
    pub(super) fn millis_per_token(&self) -> u64 {
        TOKEN.div_ceil(self.tokens_per_second_thousandths.max(1))
    }

    fn level_at(&self, now: Instant) -> u64 {
        let gained = now
            .millis_since(self.updated)
            .saturating_mul(self.tokens_per_second_thousandths);
        self.level.saturating_add(gained).min(TOKEN)
    }
}
