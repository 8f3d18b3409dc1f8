//! Settings of a node.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use deck_core::id::{DataCentreId, VmId};

/// Settings of one node of the deployment, from the platform's settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Id of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Listen address for callers; `None` on VMs that callers cannot reach.
    pub caller_address: Option<SocketAddr>,
    /// Listen address for the platform's readiness checks.
    pub ready_address: Option<SocketAddr>,
    /// Listen address for other nodes.
    pub peer_address: SocketAddr,
    /// Addresses of a few other nodes to join through; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the deployment, with all nodes starting now.
    pub is_first_fleet_start: bool,
    /// Address of the object API.
    pub object_api: SocketAddr,
    /// CPU of the VM, as a fraction of a core.
    pub cpu_cores: f64,
    /// Memory of the VM in bytes; `None` if the settings do not state it.
    pub memory_bytes: Option<u64>,
    /// Maximum number of open file descriptors; `None` if the settings do not state it.
    pub max_descriptors: Option<usize>,
    /// API for the duties that one node at a time has; `None` if there is none.
    pub duty_api: Option<DutyApiSettings>,
    /// Maximum size of an object in the object API, in bytes.
    pub max_object_bytes: usize,
    /// Data directory; set only on VMs with a disk.
    pub data_dir: Option<PathBuf>,
    /// Time limits and guarantees set by the deployment.
    pub bounds: Bounds,
}

/// Time limits and guarantees set by the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Time within which a lost lease holder is replaced, and the minimum time between the orders
    /// of two holders.
    pub lease: Duration,
    /// Minimum time after its submission for which a batch job remains readable.
    pub job_retention: Duration,
    /// Time after the acknowledgement of a batch job's end after which no request for the job may
    /// reach a target.
    pub job_end_effect: Duration,
    /// Time after a target has announced that it leaves after which no request may reach it.
    pub drain: Duration,
    /// Whether targets reject orders with an outdated fencing number.
    pub fencing_checked: bool,
    /// Time after the acknowledgement of a configuration that withdraws a key after which no request
    /// with the key may run, whatever this node knows; `None` if only nodes that reach the object
    /// API have to refuse it, as with other changes.
    pub key_withdrawal: Option<Duration>,
    /// Length of the windows in which the use of the organisations is reported; `None` if it is not
    /// reported.
    pub usage_window: Option<Duration>,
    /// Time after the end of a window by which its use has to be reported.
    pub usage_delay: Duration,
}

/// API of the platform for duties that one node at a time has.
#[derive(Debug, Clone, PartialEq)]
pub struct DutyApiSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// Duties that the system has.
    pub duties: Vec<Duty>,
    /// Maximum number of calls a second from all nodes.
    pub calls_per_s: f64,
}

/// Duty that one node at a time has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Reports how many requests of each organisation began to run.
    UsageReport,
    /// Orders the number of targets of services.
    Scaling,
}
