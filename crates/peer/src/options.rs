//! Settings of the communication between VMs.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{DataCentreId, Incarnation, RegionId, VmId};
use deck_obs::metrics::Metrics;

/// Settings of membership, gossip, configuration relay and requests between VMs.
#[derive(Debug, Clone)]
pub struct PeerOptions {
    /// Name of this VM, unique in the deployment. The default is empty and must be replaced.
    pub vm: VmId,
    /// Data centre of this VM. Partners are selected partly in the same and partly in other data
    /// centres; watchers are selected in each data centre.
    pub data_centre: DataCentreId,
    /// Region of this VM. It is sent to other VMs with the member record; this crate does not use
    /// it.
    pub region: RegionId,
    /// Address advertised to other VMs for connections to this one; the bound address of the
    /// listener if `None`.
    pub advertised_address: Option<SocketAddr>,
    /// Identifies one run of this VM's process; a later run must have a higher incarnation.
    pub incarnation: Incarnation,
    /// Addresses of VMs that are contacted at startup, and later whenever the member table has no
    /// live, suspected or leaving member with that address.
    pub seed_addresses: Vec<SocketAddr>,
    /// Number of partners that this VM selects in its own data centre.
    pub own_data_centre_partners: usize,
    /// Number of partners that this VM selects in other data centres.
    pub other_data_centre_partners: usize,
    /// Maximum number of open links; further incoming links are refused. The mean is twice the
    /// number of selected partners, because each link is opened by one VM and accepted by another.
    pub max_links: usize,
    /// Time between probes. Each probe checks one linked VM; all linked VMs are probed in turn.
    pub probe_period: Duration,
    /// Timeout of a direct probe; an indirect probe may take twice as long.
    pub probe_timeout: Duration,
    /// Number of linked VMs that are asked to probe a member that did not answer a direct probe.
    pub indirect_probes: usize,
    /// Time after which a suspected member is declared dead unless it refutes the suspicion.
    pub suspicion_timeout: Duration,
    /// Time after which a dead member is removed from the member table. Until then it is contacted
    /// now and then. This must exceed the longest network partition between regions (one hour), so
    /// that both sides find each other again.
    pub dead_retention: Duration,
    /// Time between attempts to contact VMs that are not active in the member table: seeds, VMs of
    /// the VM list and dead members.
    pub rejoin_period: Duration,
    /// Time after which the published values of a dead VM are dropped.
    pub value_expiry: Duration,
    /// Time between two transmissions of changed published values.
    pub value_send_period: Duration,
    /// Minimum time between two transmissions of a value that is published repeatedly without a
    /// change. The time is longer while the byte budget is exhausted.
    pub value_refresh_period: Duration,
    /// Limit of the bytes per second of published values that each VM receives. Every VM limits its
    /// own values to this budget divided by the number of members.
    pub values_budget_bytes_per_s: u64,
    /// Mean time between anti-entropy exchanges, which compare digests of the configuration and the
    /// members with one partner.
    pub anti_entropy_period: Duration,
    /// Number of VMs in each data centre that watch the object API for configuration changes.
    pub watchers_per_data_centre: usize,
    /// Time after which a watch of the object API is reopened if it has sent neither an event nor a
    /// bookmark, which is a message with only the current revision. Its connection may have been
    /// lost without notice.
    pub watch_idle_timeout: Duration,
    /// Maximum delay after startup before this VM may read the object API, so that it gets the
    /// configuration from other VMs if there are any. The delay ends soon after the first link
    /// opens.
    pub max_watch_start_delay: Duration,
    /// Maximum backoff between attempts to reach the object API.
    pub max_store_backoff: Duration,
    /// Minimum time between two writes of status objects by the status writer, one VM of the
    /// deployment.
    pub status_write_period: Duration,
    /// Maximum size of a message between VMs. It must exceed the size of a configuration object,
    /// which is at most 1 MB.
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
            value_send_period: Duration::from_millis(200),
            value_refresh_period: Duration::from_secs(5),
            values_budget_bytes_per_s: 2_000,
            anti_entropy_period: Duration::from_secs(5),
            watchers_per_data_centre: 2,
            watch_idle_timeout: Duration::from_secs(15),
            max_watch_start_delay: Duration::from_secs(2),
            max_store_backoff: Duration::from_secs(10),
            status_write_period: Duration::from_millis(500),
            max_message_bytes: 4 * 1024 * 1024,
            idle_connection_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            metrics: None,
        }
    }
}
