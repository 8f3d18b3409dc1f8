//! Options of the router.

use deck_core::id::{DataCentreId, VmId};

/// Options of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// The VM on which the router runs; decides its subset of targets.
    pub vm: VmId,
    /// Data centre of the VM; its targets are preferred.
    pub data_centre: DataCentreId,
    /// Largest number of targets of a pool that this router uses.
    pub subset_size: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self { vm: String::new(), data_centre: String::new(), subset_size: 24, seed: 0 }
    }
}
