//! Prefix cache of the engine stand-in and its late, incomplete events.

use std::collections::HashMap;

use serde::Serialize;

/// Prompt bytes of one cache block.
const BLOCK_BYTES: usize = 64;
/// Prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Change of the prefix cache, as published by `GET /v1/cache_events`.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// `stored` or `evicted`.
    pub event: &'static str,
    /// Hashes of prompt prefixes in steps of 64 bytes.
    pub blocks: Vec<u64>,
}

/// Least-recently-used cache of prompt prefixes.
pub struct PrefixCache {
    max_blocks: usize,
    last_use: HashMap<u64, u64>,
    clock: u64,
    sequence: u64,
}

/// Result of a look-up.
pub struct Lookup {
    /// Prompt tokens whose computation the cache saves.
    pub cached_tokens: usize,
    /// Events to publish.
    pub events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns an empty cache for `max_tokens` prompt tokens.
    pub fn new(max_tokens: usize) -> Self {
        Self {
            max_blocks: max_tokens * BYTES_PER_TOKEN / BLOCK_BYTES,
            last_use: HashMap::new(),
            clock: 0,
            sequence: 0,
        }
    }

    /// Looks up a prompt and stores all its blocks.
    pub fn enter(&mut self, prompt: &str) -> Lookup {
        let blocks = block_hashes(prompt);
        let cached = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        for block in &blocks {
            self.clock += 1;
            self.last_use.insert(*block, self.clock);
        }
        let evicted = self.evict();
        let mut events = Vec::new();
        self.push_event(&mut events, "stored", blocks[cached..].to_vec());
        self.push_event(&mut events, "evicted", evicted);
        Lookup { cached_tokens: cached * BLOCK_BYTES / BYTES_PER_TOKEN, events }
    }

    fn push_event(&mut self, events: &mut Vec<CacheEvent>, event: &'static str, blocks: Vec<u64>) {
        if !blocks.is_empty() {
            self.sequence += 1;
            events.push(CacheEvent { sequence: self.sequence, event, blocks });
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let surplus = self.last_use.len().saturating_sub(self.max_blocks);
        let mut by_age: Vec<_> =
            self.last_use.iter().map(|(block, used)| (*used, *block)).collect();
        by_age.sort_unstable();
        let evicted: Vec<_> = by_age.into_iter().take(surplus).map(|(_, block)| block).collect();
        for block in &evicted {
            self.last_use.remove(block);
        }
        evicted
    }
}

/// Hashes of the prompt's whole blocks, each over the prompt up to the block's end.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES)
        .map(|count| deck_core::hash::hash64(&bytes[..count * BLOCK_BYTES]))
        .collect()
}
