//! Stable hash functions: the same input gives the same value on every VM and in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

/// Returns the 64-bit XXH3 hash of `bytes`.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the 128-bit XXH3 hash of `bytes`.
pub fn hash128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the score of `node` for `key` in rendezvous hashing (highest random weight).
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Returns `nodes` in descending order of their rendezvous score for `key`; ties are broken by
/// name.
pub fn rendezvous_rank<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<_> =
        nodes.into_iter().map(|node| (rendezvous_score(key, node), node)).collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    scored.into_iter().map(|(_, node)| node).collect()
}
