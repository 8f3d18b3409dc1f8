//! Settings of the communication between VMs.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{DataCentreId, Incarnation, RegionId, VmId};
use deck_obs::metrics::Metrics;

/// Settings of membership, gossip, configuration relay and requests between VMs.
#[derive(Debug, Clone)]
pub struct PeerOptions {
    /// Name of this VM. It must be set: the default is empty, which a deployment does not allow.
    pub vm: VmId,
    /// Data centre of this VM; partners and watchers are selected by it.
    pub data_centre: DataCentreId,
    /// Region of this VM, sent to other VMs; no selection of this crate depends on it.
    pub region: RegionId,
    /// Address advertised to other VMs for connections to this one; the bound address of the
    /// listener if `None`.
    pub advertised_address: Option<SocketAddr>,
    /// Incarnation of this process: identifies one run of the VM and must be higher in a later run.
    pub incarnation: Incarnation,
    /// Addresses of VMs to contact at startup and whenever no active member has that address.
    pub seed_addresses: Vec<SocketAddr>,
    /// Number of partners that this VM selects in its own data centre.
    pub own_data_centre_partners: usize,
    /// Number of partners that this VM selects in other data centres.
    pub other_data_centre_partners: usize,
    /// Maximum number of open links, both opened and accepted. The mean is twice the number of
    /// partners, as each partner link is accepted by another VM.
    pub max_links: usize,
    /// Time between probes. Each probe goes to one linked VM, in turn.
    pub probe_period: Duration,
    /// Timeout of a direct probe; an indirect probe may take twice as long.
    pub probe_timeout: Duration,
    /// Number of VMs that are asked to probe a member that did not answer a direct probe.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time for which dead members are kept in the member table and occasionally contacted. It must
    /// exceed the longest network partition between regions (one hour), so that both sides find
    /// each other again.
    pub dead_retention: Duration,
    /// Time between attempts to contact a seed, a listed VM or a dead member that is not active.
    pub rejoin_period: Duration,
    /// Time after the death of a VM at which its published values are dropped.
    pub value_expiry: Duration,
    /// Time between two transmissions of changed published values.
    pub gossip_period: Duration,
    /// Minimum time before an unchanged value that is published again is also sent again. It is
    /// sent later if the byte budget is exhausted.
    pub refresh_period: Duration,
    /// Bytes of published values that each VM may receive in a second. Every VM limits its own
    /// values to an equal fraction of this budget.
    pub values_budget_bytes_per_s: u64,
    /// Mean time between anti-entropy exchanges, which compare digests of the configuration and the
    /// members with one partner.
    pub anti_entropy_period: Duration,
    /// Number of VMs in each data centre that watch the object API for configuration changes.
    pub watchers_per_data_centre: usize,
    /// Time without any event or bookmark after which a watch is reopened.
    pub watch_idle_timeout: Duration,
    /// Maximum time after startup in which this VM does not read the object API, so that it gets
    /// the configuration from other VMs if there are any. It ends soon after the first link opens.
    pub join_grace: Duration,
    /// Maximum backoff between attempts to reach the object API.
    pub max_store_backoff: Duration,
    /// Minimum time between two writes of status objects.
    pub status_write_period: Duration,
    /// Maximum size of a message between VMs. Configuration objects are at most 1 MB.
    pub max_message_bytes: usize,
    /// Idle time after which the VM that opened a direct connection closes it.
    pub idle_connection_timeout: Duration,
    /// Timeout for establishing a connection, including the WebSocket and hello handshakes.
    pub connect_timeout: Duration,
    /// Registry for the traffic counters; no metrics are exported if `None`.
    pub metrics: Option<Metrics>,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            vm: VmId::new(),
            data_centre: DataCentreId::new(),
            region: RegionId::new(),
            advertised_address: None,
            incarnation: deck_core::id::new_incarnation(),
            seed_addresses: Vec::new(),
            own_data_centre_partners: 5,
            other_data_centre_partners: 3,
            max_links: 40,
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_secs(3 * 3600),
            rejoin_period: Duration::from_secs(5),
            value_expiry: Duration::from_secs(10),
            gossip_period: Duration::from_millis(200),
            refresh_period: Duration::from_secs(5),
            values_budget_bytes_per_s: 2_000,
            anti_entropy_period: Duration::from_secs(5),
            watchers_per_data_centre: 2,
            watch_idle_timeout: Duration::from_secs(15),
            join_grace: Duration::from_secs(2),
            max_store_backoff: Duration::from_secs(10),
            status_write_period: Duration::from_millis(500),
            max_message_bytes: 4 * 1024 * 1024,
            idle_connection_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            metrics: None,
        }
    }
}
