//! Prefix cache of the engine stand-in, and the events that report its changes.

use std::collections::HashMap;

use serde::Serialize;

/// Prompt bytes per cache block.
const BLOCK_BYTES: usize = 64;
/// Prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Change of the prefix cache, sent by `GET /v1/cache_events`.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct CacheEvent {
    /// Consecutive number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// `stored` or `evicted`.
    pub event: &'static str,
    /// Hashes of the prompt prefixes that end at a block boundary, one every 64 bytes.
    pub blocks: Vec<u64>,
}

/// Cache of prompt prefixes that evicts the least recently used blocks.
pub struct PrefixCache {
    /// Capacity in blocks of [`BLOCK_BYTES`] prompt bytes.
    max_blocks: usize,
    /// Value of `use_count` at the last use of each block, by its hash.
    last_use: HashMap<u64, u64>,
    /// Number of block uses so far; orders uses by recency.
    use_count: u64,
    /// Sequence number of the last event.
    last_sequence: u64,
}

/// Result of a cache lookup.
pub struct CacheLookup {
    /// Prompt tokens that were cached and need no prefill.
    pub cached_tokens: usize,
    /// Changes of the cache caused by the lookup, in order.
    pub events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Returns an empty cache with a capacity of `max_tokens` prompt tokens.
    pub fn new(max_tokens: usize) -> Self {
        Self {
            max_blocks: max_tokens * BYTES_PER_TOKEN / BLOCK_BYTES,
            last_use: HashMap::new(),
            use_count: 0,
            last_sequence: 0,
        }
    }

    /// Looks up a prompt, stores its missing blocks and evicts the oldest blocks above the limit.
    pub fn look_up_and_store(&mut self, prompt: &str) -> CacheLookup {
        let blocks = block_hashes(prompt);
        let cached = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        for block in &blocks {
            self.use_count += 1;
            self.last_use.insert(*block, self.use_count);
        }
        let evicted = self.evict();
        let mut events = Vec::new();
        self.push_event(&mut events, "stored", blocks[cached..].to_vec());
        self.push_event(&mut events, "evicted", evicted);
        CacheLookup { cached_tokens: cached * BLOCK_BYTES / BYTES_PER_TOKEN, events }
    }

    fn push_event(&mut self, events: &mut Vec<CacheEvent>, event: &'static str, blocks: Vec<u64>) {
        if !blocks.is_empty() {
            self.last_sequence += 1;
            events.push(CacheEvent { sequence: self.last_sequence, event, blocks });
        }
    }

    fn evict(&mut self) -> Vec<u64> {
        let excess = self.last_use.len().saturating_sub(self.max_blocks);
        let mut by_last_use: Vec<_> =
            self.last_use.iter().map(|(block, used_at)| (*used_at, *block)).collect();
        by_last_use.sort_unstable();
        let evicted: Vec<_> =
            by_last_use.into_iter().take(excess).map(|(_, block)| block).collect();
        for block in &evicted {
            self.last_use.remove(block);
        }
        evicted
    }
}

/// Returns one hash for each complete block of the prompt, computed over the prompt up to the
/// end of the block. Equal hashes therefore mean equal prefixes.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES)
        .map(|count| deck_core::hash::hash64(&bytes[..count * BLOCK_BYTES]))
        .collect()
}
