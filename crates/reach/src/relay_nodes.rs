//! Choice of the nodes that relay requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::hash::rendezvous_score;

/// Time for which a node that could not relay a request is avoided.
const AVOIDANCE_TIME: Duration = Duration::from_secs(1);
/// Number of working nodes among which requests are spread. A hash of this node and the others selects
/// them, so that many nodes that are cut off at once use different ones.
const SPREAD: usize = 4;

/// Nodes that relay requests, and which of them have failed lately.
#[derive(Debug, Default)]
pub struct RelayNodes {
    avoided_until: HashMap<SocketAddr, Instant>,
    /// Number of requests so far.
    request_count: usize,
}

impl RelayNodes {
    /// Returns at most `max_count` of `nodes` in the order in which they should be asked to relay a
    /// request of the node `own_address`. Nodes to avoid come last.
    pub fn choose(
        &mut self,
        own_address: SocketAddr,
        nodes: &[SocketAddr],
        max_count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.avoided_until.retain(|node, until| now < *until && nodes.contains(node));
        let own_name = own_address.to_string();
        let mut ranked: Vec<(bool, u64, SocketAddr)> = nodes
            .iter()
            .filter(|node| **node != own_address)
            .map(|node| {
                let score = rendezvous_score(&own_name, &node.to_string());
                (self.avoided_until.contains_key(node), score, *node)
            })
            .collect();
        ranked.sort_unstable();
        let working_count = ranked.iter().take_while(|(is_avoided, ..)| !is_avoided).count();
        let spread = working_count.min(SPREAD);
        if spread > 0 {
            ranked[..spread].rotate_left(self.request_count % spread);
            self.request_count = self.request_count.wrapping_add(1);
        }
        ranked.into_iter().take(max_count).map(|(.., node)| node).collect()
    }

    /// Records that a node did not relay a request: it did not answer, or its own links are cut.
    pub fn avoid(&mut self, node: SocketAddr, now: Instant) {
        self.avoided_until.insert(node, now + AVOIDANCE_TIME);
    }
}
