//! The prefix cache: which beginnings of prompts need no prefill.

use croftrill_platform::engine::EngineRequest;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that are cached as one block.
const BLOCK_BYTES: usize = 64;

pub(super) struct PrefixCache {
    max_blocks: usize,
    uses: u64,
    last_use: HashMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            uses: 0,
            last_use: HashMap::new(),
        }
    }

    /// The share of the prompt that is cached, from 0 to 1; caches the rest.
    pub(super) fn look_up(&mut self, request: &EngineRequest) -> f64 {
        let blocks = block_hashes(request);
        let cached = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count();
        for block in &blocks {
            self.uses += 1;
            self.last_use.insert(*block, self.uses);
        }
        self.evict();
        cached as f64 / blocks.len().max(1) as f64
    }

    fn evict(&mut self) {
        while self.last_use.len() > self.max_blocks {
            let oldest = self.last_use.iter().min_by_key(|(_, last_use)| **last_use);
            let Some(block) = oldest.map(|(block, _)| *block) else {
                return;
            };
            self.last_use.remove(&block);
        }
    }
}

/// Each hash covers the model and everything up to the end of its block.
fn block_hashes(request: &EngineRequest) -> Vec<u64> {
    let adapter = request
        .adapter
        .as_ref()
        .map(|adapter| adapter.as_str())
        .unwrap_or_default();
    let model = xxh3_64_with_seed(request.model.as_str().as_bytes(), 0);
    let mut hash = xxh3_64_with_seed(adapter.as_bytes(), model);
    let mut hashes = Vec::new();
    for block in request.prompt.as_bytes().chunks(BLOCK_BYTES) {
        hash = xxh3_64_with_seed(block, hash);
        hashes.push(hash);
    }
    hashes
}
