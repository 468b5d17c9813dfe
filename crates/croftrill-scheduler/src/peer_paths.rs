//! Which other nodes to ask for a path to a replica.
//!
//! Nodes tell each other nothing of what they reach. A node that needs a path asks others, and
//! remembers who had one.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::path_search::PeerAnswer;
use crate::time::Moment;

/// Time for which a node that had a path is asked before others.
const REACHED_VALIDITY: Duration = Duration::from_secs(30);
/// Time for which a node without a path is not asked again.
const NO_PATH_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a node without room for more connections is not asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a node that did not answer is not asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(1000);

/// What is known of one node.
#[derive(Debug, Clone, Copy, Default)]
struct PeerPath {
    reached_at: Option<Moment>,
    skip_until: Option<Moment>,
    /// Connections of this node that it carries.
    tunnels: u32,
}

/// A node that can be asked.
#[derive(Debug, Clone, Copy)]
pub struct PeerCandidate<K> {
    /// Its key.
    pub key: K,
    /// Its processor time, in thousandths of a core.
    pub processor_millicores: u32,
}

/// What this node knows of the paths of others.
#[derive(Debug)]
pub struct PeerPaths<K> {
    peers: HashMap<K, PeerPath>,
}

impl<K> Default for PeerPaths<K> {
    fn default() -> Self {
        PeerPaths {
            peers: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> PeerPaths<K> {
    /// Returns the nodes to ask, in order: first those that had a path, then others. Each group is
    /// in a random order that depends on `salt`, weighted by processor time, so that the nodes that
    /// ask spread over those that have a path.
    pub fn order(
        &self,
        candidates: impl Iterator<Item = PeerCandidate<K>>,
        salt: u64,
        now: Moment,
    ) -> Vec<K> {
        let ranked = candidates.enumerate().filter_map(|(index, candidate)| {
            let known = self.peers.get(&candidate.key).copied().unwrap_or_default();
            if known.skip_until.is_some_and(|until| now < until) {
                return None;
            }
            let has_path = known
                .reached_at
                .is_some_and(|at| now.since(at) < REACHED_VALIDITY);
            let weight = f64::from(candidate.processor_millicores.max(1)) / f64::from(known.tunnels + 1);
            let hash = xxh3_64_with_seed(&index.to_le_bytes(), salt);
            let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            Some((has_path, unit.ln() / weight, candidate.key))
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_by(|left, right| right.0.cmp(&left.0).then(right.1.total_cmp(&left.1)));
        ranked.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Records the answer of a node.
    pub fn record_answer(&mut self, key: K, answer: PeerAnswer, now: Moment) {
        let peer = self.peers.entry(key).or_default();
        match answer {
            PeerAnswer::Connected | PeerAnswer::Down => {
                peer.reached_at = Some(now);
                peer.skip_until = None;
            }
            PeerAnswer::NotReached => peer.skip_until = None,
            PeerAnswer::NoPath => {
                peer.reached_at = None;
                peer.skip_until = Some(now + NO_PATH_PAUSE);
            }
            PeerAnswer::Busy => peer.skip_until = Some(now + BUSY_PAUSE),
            PeerAnswer::Unanswered => {
                peer.reached_at = None;
                peer.skip_until = Some(now + UNANSWERED_PAUSE);
            }
        }
    }

    /// Records that a node carries one more connection.
    pub fn begin_tunnel(&mut self, key: K) {
        self.peers.entry(key).or_default().tunnels += 1;
    }

    /// Records that a node carries one connection less.
    pub fn end_tunnel(&mut self, key: K) {
        if let Some(peer) = self.peers.get_mut(&key) {
            peer.tunnels = peer.tunnels.saturating_sub(1);
        }
    }

    /// Forgets nodes that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.peers.retain(|key, _| is_known(key));
    }
}
