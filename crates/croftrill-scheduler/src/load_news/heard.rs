//! Load samples that wait to be forwarded.

use std::collections::HashMap;

use super::{LoadAccount, LoadKey, LONGEST_AGE, MOST_REPLICAS};
use crate::time::Moment;

/// Outcome of recording a load sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hearing {
    /// The sample is the newest of its replica and was stored.
    Kept,
    /// The sample is too old, or not newer than the known one.
    Old,
    /// Samples of too many replicas are stored already.
    LeftOut,
}

/// The newest load sample of each replica since the buffer was last drained.
#[derive(Debug, Default)]
pub struct HeardLoads(HashMap<LoadKey, LoadAccount>);

impl HeardLoads {
    /// Records a sample.
    pub fn hear(&mut self, account: LoadAccount, now: Moment) -> Hearing {
        if now.since(account.at) >= LONGEST_AGE {
            return Hearing::Old;
        }
        let is_full = self.0.len() >= MOST_REPLICAS;
        match self.0.get_mut(&account.key) {
            Some(known) if known.at >= account.at => Hearing::Old,
            Some(known) => {
                *known = account;
                Hearing::Kept
            }
            None if is_full => Hearing::LeftOut,
            None => {
                self.0.insert(account.key, account);
                Hearing::Kept
            }
        }
    }

    /// Removes all samples and returns those that are recent enough to be forwarded.
    pub fn take(&mut self, now: Moment) -> Vec<LoadAccount> {
        let accounts = self.0.drain().map(|(_, account)| account);
        accounts
            .filter(|account| now.since(account.at) < LONGEST_AGE)
            .collect()
    }

    /// Returns the number of stored samples.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no sample is stored.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
