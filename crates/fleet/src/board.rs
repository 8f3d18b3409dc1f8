//! Crashes of targets that nodes tell each other of.
//!
//! A node tells the watchers, which pass everything on to the nodes that ask them.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::VmId;
use deck_limit::crash::PublishedCrash;
use serde::{Deserialize, Serialize};

/// Path at which nodes take each other's crashes.
pub const CRASHES_PATH: &str = "/peer/crashes";
/// Largest message with the crashes of one node.
pub const MAX_CRASHES_BYTES: usize = 64 * 1024;

/// All crashes that one node knows of at first hand.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeCrashes {
    /// The node's VM.
    pub vm: VmId,
    /// Its crashes; replaces what the node published before.
    pub crashes: Vec<PublishedCrash>,
}

/// What all nodes have published; clones share their state.
#[derive(Clone)]
pub struct CrashBoard {
    inner: Rc<Inner>,
}

struct Inner {
    /// Time after which what a node has published is dropped.
    keep: Duration,
    /// Invariant: no node's list is empty.
    published: RefCell<BTreeMap<VmId, (Instant, Vec<PublishedCrash>)>>,
    /// Changes with each change of `published`.
    version: Cell<u64>,
}

impl CrashBoard {
    /// Returns a board that drops what a node has published after `keep`.
    pub fn new(keep: Duration) -> Self {
        let (published, version) = (RefCell::default(), Cell::new(0));
        Self { inner: Rc::new(Inner { keep, published, version }) }
    }

    /// Returns a number that changes with each change of the board.
    pub fn version(&self) -> u64 {
        self.inner.version.get()
    }

    /// Replaces what one node has published.
    pub fn set(&self, node: NodeCrashes, now: Instant) {
        let mut published = self.inner.published.borrow_mut();
        let known = published.get(&node.vm).map(|(_, crashes)| crashes.as_slice());
        let changed = known.unwrap_or_default() != node.crashes;
        if node.crashes.is_empty() {
            published.remove(&node.vm);
        } else {
            published.insert(node.vm, (now, node.crashes));
        }
        drop(published);
        if changed {
            self.note_change();
        }
    }

    /// Replaces everything.
    pub fn replace(&self, nodes: Vec<NodeCrashes>, now: Instant) {
        let nodes = nodes.into_iter().filter(|node| !node.crashes.is_empty());
        let nodes = nodes.map(|node| (node.vm, (now, node.crashes))).collect();
        self.inner.published.replace(nodes);
        self.note_change();
    }

    /// Returns what each node has published.
    pub fn nodes(&self, now: Instant) -> Vec<NodeCrashes> {
        let mut published = self.inner.published.borrow_mut();
        let before = published.len();
        published.retain(|_, (at, _)| now.saturating_duration_since(*at) < self.inner.keep);
        let nodes = published.iter();
        let nodes = nodes
            .map(|(vm, (_, crashes))| NodeCrashes { vm: vm.clone(), crashes: crashes.clone() });
        let nodes = nodes.collect();
        let expired = published.len() != before;
        drop(published);
        if expired {
            self.note_change();
        }
        nodes
    }

    fn note_change(&self) {
        self.inner.version.set(self.inner.version.get() + 1);
    }
}

impl Default for CrashBoard {
    /// Keeps what nodes publish for as long as crashes are remembered.
    fn default() -> Self {
        Self::new(deck_limit::CrashOptions::default().keep)
    }
}
