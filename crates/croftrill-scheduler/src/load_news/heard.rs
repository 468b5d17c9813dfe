//! Accounts that wait to be passed on.

use std::collections::HashMap;

use super::{LoadAccount, LoadKey, LONGEST_AGE, MOST_REPLICAS};
use crate::time::Moment;

/// What became of an account that was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hearing {
    /// It is the newest of its replica.
    Kept,
    /// It is too old, or older than the known one.
    Old,
    /// There are too many.
    LeftOut,
}

/// The newest account of each replica since the last ones were taken.
#[derive(Debug, Default)]
pub struct HeardLoads(HashMap<LoadKey, LoadAccount>);

impl HeardLoads {
    /// An account was heard.
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

    /// Takes what is still worth passing on.
    pub fn take(&mut self, now: Moment) -> Vec<LoadAccount> {
        let accounts = self.0.drain().map(|(_, account)| account);
        accounts
            .filter(|account| now.since(account.at) < LONGEST_AGE)
            .collect()
    }

    /// Number of accounts that wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// True if none waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
