//! Limits of what the node holds for its clients, from the memory and the descriptors of its VM.

use std::time::Duration;

use deck_core::CancellationToken;
use deck_fleet::Configuration;
use deck_net::{Account, Client, ClientTimeouts, LedgerLimits, ServerOptions};

/// Minimum idle timeout of server connections; deployments usually configure a shorter one.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Part of the VM's memory for requests that are received or handled and for unread answers.
const MEMORY_FRACTION: f64 = 0.4;
/// Part of that memory that only small requests use.
const RESERVED_FRACTION: f64 = 0.15;
/// Memory for requests and answers if the settings do not state the VM's memory.
const DEFAULT_CAPACITY_BYTES: usize = 256 * 1024 * 1024;
/// Descriptors that are not available for connections: files, listeners and pipes.
const FILE_DESCRIPTORS: usize = 200;
/// Parts of the remaining descriptors for the connections of each server. The rest is for the node's
/// own calls.
const CALLER_FRACTION: f64 = 0.5;
const PEER_FRACTION: f64 = 0.15;
const READINESS_FRACTION: f64 = 0.05;
const METRICS_FRACTION: f64 = 0.02;
/// Parts of the remaining descriptors for the idle connections of the node's own calls: less what the
/// servers use, and at least the second part.
const IDLE_CLIENT_FRACTION: f64 = 0.6;
const MIN_IDLE_CLIENT_FRACTION: f64 = 0.1;
/// Interval at which the idle connections of the node's own calls are limited.
const IDLE_LIMIT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum number of connections of a server.
const MIN_CONNECTIONS: usize = 4;
/// Time limit of a head, as a multiple of the configured one: part of the head may wait in the
/// socket while the node is busy.
const HEAD_TIMEOUT_RATIO: u32 = 2;

/// Limits of the servers of a node. The servers share one account of memory, and each has its own
/// part of the descriptors, so that a crowd at one leaves the others their connections.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    account: Account,
    /// Descriptors for connections; `None` if the settings do not state them.
    connections: Option<usize>,
}

impl ClientLimits {
    /// Returns the limits for a VM with this memory and this limit of descriptors.
    pub fn new(memory_bytes: Option<u64>, max_descriptors: Option<usize>) -> Self {
        let capacity_bytes = memory_bytes
            .map_or(DEFAULT_CAPACITY_BYTES, |bytes| (bytes as f64 * MEMORY_FRACTION) as usize);
        let reserved_bytes = (capacity_bytes as f64 * RESERVED_FRACTION) as usize;
        let account = Account::new(LedgerLimits { capacity_bytes, reserved_bytes });
        let connections = max_descriptors.map(|max| max.saturating_sub(FILE_DESCRIPTORS));
        Self { account, connections }
    }

    /// Returns the account of what is held for clients.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Returns the limits of callers from the configuration in force.
    pub fn caller_options(&self, configuration: Option<&Configuration>) -> ServerOptions {
        let options = self.options(CALLER_FRACTION);
        let Some(configuration) = configuration else { return options };
        let limits = &configuration.limits;
        // One timeout covers the idle time and the request head that follows. The minimum allows for
        // longer limits that come into force while the connection is open.
        let head_timeout = (limits.idle_timeout + limits.head_timeout).max(MIN_IDLE_TIMEOUT);
        let head = limits.head_timeout * HEAD_TIMEOUT_RATIO;
        let client_timeouts = ClientTimeouts { head, ..options.client_timeouts };
        ServerOptions {
            max_head_bytes: limits.max_head_bytes,
            head_timeout,
            client_timeouts,
            ..options
        }
    }

    /// Returns the limits of calls of other nodes.
    pub fn peer_options(&self) -> ServerOptions {
        self.options(PEER_FRACTION)
    }

    /// Returns the limits of calls of other nodes on a node without callers.
    pub fn checkpoint_options(&self) -> ServerOptions {
        self.options(CALLER_FRACTION + PEER_FRACTION)
    }

    /// Returns the limits of readiness checks.
    pub fn readiness_options(&self) -> ServerOptions {
        self.options(READINESS_FRACTION)
    }

    /// Returns the limits of the metrics server.
    pub fn metrics_options(&self) -> ServerOptions {
        self.options(METRICS_FRACTION)
    }

    /// Closes idle connections of the node's own calls that leave too few descriptors for callers,
    /// until `cancel` is cancelled.
    pub async fn limit_idle_connections(self, client: Client, cancel: CancellationToken) {
        let Some(connections) = self.connections else { return };
        let part = |fraction: f64| (connections as f64 * fraction) as usize;
        let sleep = || monoio::time::sleep(IDLE_LIMIT_INTERVAL);
        while cancel.run_until_cancelled(sleep()).await.is_some() {
            let unused = part(IDLE_CLIENT_FRACTION).saturating_sub(self.account.open_connections());
            client.limit_idle_connections(unused.max(part(MIN_IDLE_CLIENT_FRACTION)));
        }
    }

    fn options(&self, fraction: f64) -> ServerOptions {
        let options = ServerOptions {
            head_timeout: MIN_IDLE_TIMEOUT,
            account: self.account.clone(),
            replaces_least_progress: true,
            ..ServerOptions::default()
        };
        let max_connections = self.connections.map_or(options.max_connections, |connections| {
            ((connections as f64 * fraction) as usize).max(MIN_CONNECTIONS)
        });
        ServerOptions { max_connections, ..options }
    }
}
