//! Settings of the peer part.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{DataCentreId, Incarnation, RegionId, VmId};
use deck_obs::metrics::Metrics;

/// Settings of [`Peer`](crate::Peer).
#[derive(Debug, Clone)]
pub struct PeerOptions {
    /// This VM. Has no default: an empty name is not allowed in a deployment.
    pub vm: VmId,
    /// Data centre of this VM.
    pub data_centre: DataCentreId,
    /// Region of this VM.
    pub region: RegionId,
    /// Address at which other VMs reach the listener; the listener's own address if `None`.
    pub address: Option<SocketAddr>,
    /// Incarnation of this process; a later run of the same VM must have a higher one.
    pub incarnation: Incarnation,
    /// Peer addresses to contact at the start and while no other member is known.
    pub seeds: Vec<SocketAddr>,
    /// Partners that this VM chooses in its own data centre.
    pub own_data_centre_partners: usize,
    /// Partners that this VM chooses in other data centres.
    pub other_data_centre_partners: usize,
    /// Most links at a time, chosen and accepted. Twice the partners is the mean.
    pub max_links: usize,
    /// Time between probes; each one goes to the next linked peer.
    pub probe_period: Duration,
    /// Time in which a direct probe has to be answered; indirect probes get the same again.
    pub probe_timeout: Duration,
    /// Peers that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time in which a suspected member can refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Time for which dead members are remembered and contacted now and then. It is longer than a
    /// partition between regions (an hour), so that both sides find each other again.
    pub dead_retention: Duration,
    /// Time between attempts to contact a dead or listed VM that is not a live member.
    pub rejoin_period: Duration,
    /// Time after which the values of a dead VM are dropped.
    pub value_expiry: Duration,
    /// Time between sends of changed values.
    pub gossip_period: Duration,
    /// Time after which an unchanged value that is published again is sent again; later if the byte
    /// budget is short.
    pub refresh_period: Duration,
    /// Bytes of published values that a VM may receive in a second; all VMs together keep to it,
    /// each one by its part.
    pub values_budget_bytes_per_s: u64,
    /// Time between comparisons of configuration and member digests with one partner.
    pub repair_period: Duration,
    /// VMs in each data centre that watch the object API.
    pub watchers_per_data_centre: usize,
    /// Time without any event or bookmark after which a watch is opened anew.
    pub watch_idle_timeout: Duration,
    /// Time after the start in which configuration of peers is preferred to that of the store.
    pub join_grace: Duration,
    /// Longest wait between tries when the store is down.
    pub max_store_backoff: Duration,
    /// Least time between two writes of status objects.
    pub status_write_period: Duration,
    /// Largest message on a link, in bytes. Objects are at most 1 MB.
    pub max_message_bytes: usize,
    /// Time after which a connection that was opened for requests is closed if it is idle.
    pub idle_connection_timeout: Duration,
    /// Time in which a connection has to come about.
    pub connect_timeout: Duration,
    /// Where counters are registered; none if `None`.
    pub metrics: Option<Metrics>,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            vm: VmId::new(),
            data_centre: DataCentreId::new(),
            region: RegionId::new(),
            address: None,
            incarnation: deck_core::id::new_incarnation(),
            seeds: Vec::new(),
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
            repair_period: Duration::from_secs(5),
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
