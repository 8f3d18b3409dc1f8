//! Settings of a node.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use deck_core::id::{DataCentreId, VmId};

/// Settings of one node of the deployment, from the platform's settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for callers; `None` on VMs that callers do not reach.
    pub caller_address: Option<SocketAddr>,
    /// Address on which the platform asks whether the node is ready.
    pub ready_address: Option<SocketAddr>,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Addresses of a few other nodes, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether all nodes of the deployment start for the first time now.
    pub fleet_starts: bool,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// Part of a core that the VM has.
    pub cpu_share: f64,
    /// Largest object in bytes.
    pub max_object_bytes: usize,
    /// Folder for data, on VMs with a disk.
    pub data_dir: Option<PathBuf>,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
}

/// Bounds that the deployment sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Time in which a lease holder is replaced; orders of two holders are at least this far apart.
    pub lease: Duration,
    /// Time after its submission for which a batch job can be read at least.
    pub job_retention: Duration,
    /// Whether targets refuse an order with an old fencing number.
    pub fencing_checked: bool,
}
