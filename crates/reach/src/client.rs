//! Client for requests to targets.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, hash::rendezvous_score, id::TargetId};
use deck_fleet::{FleetView, Target};
use deck_net::{Body, BufferedResponse, Client, ClientResponse, ConnectObserver, NetError};
use futures_util::{
    StreamExt,
    future::{Either, join_all, select},
    stream::FuturesUnordered,
};
use http::Request;
use tokio::sync::watch;

use crate::{
    RelayNodes, TargetPath, TargetPaths,
    relay::{RelayOutcome, check_request, relayed_request},
};

/// Interval between rounds of connection attempts to targets that are out of reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of connection attempts in a round.
const MAX_PROBES: usize = 8;
/// Maximum number of nodes that are asked to relay a request.
const MAX_RELAY_ATTEMPTS: usize = 3;
/// Number of targets by which a node checks its links.
const CHECKED_TARGETS: usize = 2;
/// Timeout of a check at another node, which itself tries to connect.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of the answer to a check.
const MAX_CHECK_BYTES: usize = 4096;
/// Time without a byte from a peer after which a connection attempt checks whether it is in reach.
const SILENCE_CHECK_DELAY: Duration = Duration::from_millis(400);
/// Time until the next check of a peer that was in reach.
const SILENCE_RECHECK_DELAY: Duration = Duration::from_secs(1);

/// Target of a request.
#[derive(Debug, Clone, Copy)]
pub struct TargetAddress<'a> {
    /// Id of the target.
    pub id: &'a TargetId,
    /// Address at which this node reaches the target.
    pub address: SocketAddr,
}

impl<'a> From<&'a Target> for TargetAddress<'a> {
    fn from(target: &'a Target) -> Self {
        Self { id: &target.id, address: target.address }
    }
}

/// What a [`TargetClient`] needs to send requests through other nodes.
pub struct RelayDependencies {
    /// Current targets.
    pub view: FleetView,
    /// Address of this node.
    pub own_address: SocketAddr,
    /// Returns the nodes that may relay requests.
    pub nodes: Rc<dyn Fn() -> Vec<SocketAddr>>,
}

/// Client that sends requests to targets, through other nodes if this node does not reach them; clones
/// share their state.
#[derive(Clone)]
pub struct TargetClient {
    /// Connections to targets; its connection attempts are recorded in `paths`.
    targets: Client,
    /// Connections to other nodes.
    nodes: Client,
    /// `None` if no other node relays requests.
    relaying: Option<Rc<Relaying>>,
}

struct Relaying {
    dependencies: RelayDependencies,
    paths: RefCell<TargetPaths>,
    relay_nodes: RefCell<RelayNodes>,
    /// Whether the links of this node are cut while other nodes reach the targets.
    is_cut_off: watch::Sender<bool>,
    /// Number of requests that other nodes have relayed.
    relayed_requests: Cell<u64>,
}

impl From<Client> for TargetClient {
    /// Returns a client that sends all requests over the links of this node.
    fn from(client: Client) -> Self {
        Self { targets: client.clone(), nodes: client, relaying: None }
    }
}

impl TargetClient {
    /// Returns a client with the connections of `client`.
    pub fn new(client: Client, dependencies: RelayDependencies) -> Self {
        let relaying = Rc::new(Relaying {
            dependencies,
            paths: RefCell::default(),
            relay_nodes: RefCell::default(),
            is_cut_off: watch::channel(false).0,
            relayed_requests: Cell::new(0),
        });
        Self {
            targets: client.with_connect_observer(relaying.clone()),
            nodes: client,
            relaying: Some(relaying),
        }
    }

    /// Sends a request to a target and waits for the head of the response.
    ///
    /// If `is_repeatable` is set, the request is given up when the peer is silent and out of reach, so
    /// that the caller can send it elsewhere. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// Call [`NetError::may_have_been_sent`] on the error to check whether the target may have received
    /// a part of the request.
    pub async fn send(
        &self,
        target: TargetAddress<'_>,
        request: Request<Bytes>,
        is_repeatable: bool,
    ) -> Result<ClientResponse, NetError> {
        let (first, second) = match self.is_relayed(target.address) {
            true => (TargetPath::Relayed, TargetPath::Direct),
            false => (TargetPath::Direct, TargetPath::Relayed),
        };
        let result = self.send_over(first, target, request.clone(), is_repeatable).await;
        let is_unsent = result.as_ref().is_err_and(|error| !error.may_have_been_sent());
        let may_use_second = || match second {
            TargetPath::Direct => self.may_try_directly(target.address),
            TargetPath::Relayed => self.is_relayed(target.address),
        };
        if is_unsent && may_use_second() {
            return self.send_over(second, target, request, is_repeatable).await;
        }
        result
    }

    async fn send_over(
        &self,
        path: TargetPath,
        target: TargetAddress<'_>,
        request: Request<Bytes>,
        is_repeatable: bool,
    ) -> Result<ClientResponse, NetError> {
        match (path, &self.relaying) {
            (TargetPath::Relayed, Some(relaying)) => {
                self.send_relayed(relaying, target, &request, is_repeatable).await
            }
            _ => self.send_direct(target, request, is_repeatable).await,
        }
    }

    /// As [`TargetClient::send`], over the links of this node only.
    ///
    /// # Errors
    ///
    /// As [`TargetClient::send`].
    pub async fn send_direct(
        &self,
        target: TargetAddress<'_>,
        request: Request<Bytes>,
        is_repeatable: bool,
    ) -> Result<ClientResponse, NetError> {
        let send = self.targets.send(target.address, request.map(Body::full));
        match is_repeatable {
            true => self.unless_out_of_reach(target.address, send).await,
            false => send.await,
        }
    }

    /// Sends a request and receives the whole response, with a body of at most `max_bytes`, within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn call(
        &self,
        target: TargetAddress<'_>,
        request: Request<Bytes>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<BufferedResponse, NetError> {
        if !self.is_relayed(target.address) {
            return self.call_direct(target, request, timeout, max_bytes).await;
        }
        let exchange = async {
            let mut response = self.send(target, request, true).await?;
            let (status, headers) = (response.status, std::mem::take(&mut response.headers));
            Ok(BufferedResponse { status, headers, body: response.collect(max_bytes).await? })
        };
        let result = monoio::time::timeout(timeout, exchange).await;
        let timed_out = || NetError::Exchange(target.address, "no answer in time".to_owned());
        result.unwrap_or_else(|_| Err(timed_out()))
    }

    /// As [`TargetClient::call`], over the links of this node only, for requests that count as this
    /// node's own.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn call_direct(
        &self,
        target: TargetAddress<'_>,
        request: Request<Bytes>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<BufferedResponse, NetError> {
        self.targets.call(target.address, request.map(Body::full), timeout, max_bytes).await
    }

    /// Returns whether a target still accepts connections after one of its connections has failed, as
    /// far as this node or the nodes that relay its requests can tell.
    pub async fn accepts_connections(&self, target: TargetAddress<'_>) -> bool {
        self.accepts_direct_connections(target.address).await
            || self.is_reached_by_others(target).await
    }

    /// Returns whether another node can connect to a target.
    async fn is_reached_by_others(&self, target: TargetAddress<'_>) -> bool {
        self.find_node_that_reaches(target).await.is_some()
    }

    /// Returns a node that reaches targets; `None` if none of those that were asked does.
    pub async fn find_reaching_node(&self) -> Option<SocketAddr> {
        let targets = self.relaying.as_ref()?.dependencies.view.targets();
        self.find_node_that_reaches((&**targets.first()?).into()).await
    }

    async fn find_node_that_reaches(&self, target: TargetAddress<'_>) -> Option<SocketAddr> {
        let relaying = self.relaying.as_ref()?;
        // All are asked at the same time: one that is cut off itself may not know it yet.
        let checks = relaying.choose_nodes().into_iter().map(|node| async move {
            let request = check_request(target).ok()?;
            let answer = self.nodes.call(node, request, CHECK_TIMEOUT, MAX_CHECK_BYTES).await;
            match RelayOutcome::take_from(&mut answer.ok()?.headers)? {
                RelayOutcome::Answered => return Some(node),
                RelayOutcome::CutOff => relaying.avoid(node),
                RelayOutcome::Unreachable | RelayOutcome::Broken => {}
            }
            None
        });
        let mut checks: FuturesUnordered<_> = checks.collect();
        while let Some(reaching) = checks.next().await {
            if reaching.is_some() {
                relaying.paths.borrow_mut().record_relayed(Instant::now());
                return reaching;
            }
        }
        None
    }

    /// Returns whether a target accepts connections over the links of this node. A connection that is
    /// opened to check this is kept.
    pub async fn accepts_direct_connections(&self, address: SocketAddr) -> bool {
        self.targets.accepts_connections(address).await
    }

    /// Returns whether the links of this node may be tried for a target that may be out of reach.
    pub(crate) fn may_try_directly(&self, address: SocketAddr) -> bool {
        let relaying = self.relaying.as_ref();
        relaying
            .is_none_or(|relaying| relaying.paths.borrow_mut().start_retry(address, Instant::now()))
    }

    /// Returns the result of `exchange` with a peer, or an error if the peer sends nothing and cannot be
    /// reached any more.
    ///
    /// # Errors
    ///
    /// As `exchange`; [`NetError::Exchange`] if the peer is out of reach.
    pub async fn unless_out_of_reach<T>(
        &self,
        peer: SocketAddr,
        exchange: impl Future<Output = Result<T, NetError>>,
    ) -> Result<T, NetError> {
        if self.relaying.is_none() {
            return exchange.await;
        }
        let (exchange, out_of_reach) =
            (std::pin::pin!(exchange), std::pin::pin!(self.wait_until_out_of_reach(peer)));
        match select(exchange, out_of_reach).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => {
                Err(NetError::Exchange(peer, "silent and out of reach".to_owned()))
            }
        }
    }

    /// Waits until a peer has been silent and then does not accept a connection.
    async fn wait_until_out_of_reach(&self, peer: SocketAddr) {
        let mut silent_since = Instant::now();
        let mut check_delay = SILENCE_CHECK_DELAY;
        loop {
            let check_at = silent_since + check_delay;
            monoio::time::sleep(check_at.saturating_duration_since(Instant::now())).await;
            match self.targets.last_received_at(peer).filter(|at| *at > silent_since) {
                Some(received_at) => {
                    silent_since = received_at;
                    check_delay = SILENCE_CHECK_DELAY;
                }
                None if self.client_of(peer).can_connect(peer).await => {
                    silent_since = Instant::now();
                    check_delay = SILENCE_RECHECK_DELAY;
                }
                None => return,
            }
        }
    }

    /// Returns the client that connects to a peer: a target or another node.
    fn client_of(&self, peer: SocketAddr) -> &Client {
        let is_node = self
            .relaying
            .as_ref()
            .is_some_and(|relaying| (relaying.dependencies.nodes)().contains(&peer));
        if is_node { &self.nodes } else { &self.targets }
    }

    /// Asks other nodes, one after the other, to send a request.
    async fn send_relayed(
        &self,
        relaying: &Relaying,
        target: TargetAddress<'_>,
        request: &Request<Bytes>,
        is_repeatable: bool,
    ) -> Result<ClientResponse, NetError> {
        let nodes = relaying.choose_nodes();
        let mut last_error = NetError::NotSent(target.address, "no node relays it".to_owned());
        for node in nodes {
            let request = relayed_request(target, request.clone().map(Body::full), is_repeatable)?;
            let send = self.nodes.send(node, request);
            let response = match is_repeatable {
                true => self.unless_out_of_reach(node, send).await,
                false => send.await,
            };
            let mut response = match response {
                Ok(response) => response,
                Err(error) if error.may_have_been_sent() => {
                    relaying.avoid(node);
                    return Err(error);
                }
                Err(error) => {
                    relaying.avoid(node);
                    last_error = error;
                    continue;
                }
            };
            let not_sent = |reason: &str| {
                NetError::NotSent(target.address, format!("not relayed by {node}: {reason}"))
            };
            match RelayOutcome::take_from(&mut response.headers) {
                Some(RelayOutcome::Answered) => {
                    relaying.record_relayed();
                    return Ok(response);
                }
                Some(RelayOutcome::Broken) => {
                    response.discard().await;
                    let message = format!("broken off at {node}");
                    return Err(NetError::Exchange(target.address, message));
                }
                Some(RelayOutcome::Unreachable) => {
                    response.discard().await;
                    last_error = not_sent("out of its reach");
                }
                Some(RelayOutcome::CutOff) => {
                    response.discard().await;
                    relaying.avoid(node);
                    last_error = not_sent("cut off too");
                }
                // A node that does not relay requests, or that has too many connections.
                None => {
                    relaying.avoid(node);
                    last_error = not_sent("refused");
                }
            }
        }
        Err(last_error)
    }

    /// Returns whether requests to a target go through other nodes at present.
    pub fn is_relayed(&self, target: SocketAddr) -> bool {
        self.relaying.as_ref().is_some_and(|relaying| {
            let path = relaying.paths.borrow().path(target, || self.last_received_at());
            path == TargetPath::Relayed
        })
    }

    /// Returns whether the links of this node to all targets count as cut.
    pub fn are_links_cut(&self) -> bool {
        self.relaying.as_ref().is_some_and(|relaying| {
            relaying.paths.borrow().are_links_cut(|| self.last_received_at())
        })
    }

    /// Returns whether the links of this node are cut while other nodes reach the targets; notifies of
    /// changes. `None` if no other node relays requests.
    pub fn subscribe_cut_off(&self) -> Option<watch::Receiver<bool>> {
        self.relaying.as_ref().map(|relaying| relaying.is_cut_off.subscribe())
    }

    /// Returns whether the links of this node are cut while other nodes reach the targets.
    pub fn is_cut_off(&self) -> bool {
        self.relaying.as_ref().is_some_and(|relaying| *relaying.is_cut_off.borrow())
    }

    /// Tries to connect to a few targets, and returns whether the links of this node are cut while other
    /// nodes reach the targets. For a node that may not have sent a request for a while.
    pub async fn check_links(&self) -> bool {
        let Some(relaying) = &self.relaying else { return false };
        let own_address = relaying.dependencies.own_address.to_string();
        let mut targets = relaying.dependencies.view.targets();
        targets.sort_by_key(|target| rendezvous_score(&own_address, &target.id));
        targets.truncate(CHECKED_TARGETS);
        let checks = targets.iter().map(|target| self.targets.can_connect(target.address));
        let is_any_reached = join_all(checks).await.contains(&true);
        if let Some(target) = targets.first().filter(|_| !is_any_reached) {
            self.is_reached_by_others((&**target).into()).await;
        }
        self.update_cut_off(relaying);
        self.is_cut_off()
    }

    /// Returns the number of targets that are out of reach.
    pub fn unreachable_count(&self) -> usize {
        let relaying = self.relaying.as_ref();
        relaying.map_or(0, |relaying| relaying.paths.borrow().unreachable().len())
    }

    /// Returns the number of requests that other nodes have relayed for this one.
    pub fn relayed_request_count(&self) -> u64 {
        self.relaying.as_ref().map_or(0, |relaying| relaying.relayed_requests.get())
    }

    /// Returns when bytes of any target last arrived over the links of this node.
    fn last_received_at(&self) -> Option<Instant> {
        let relaying = self.relaying.as_ref()?;
        let targets = relaying.dependencies.view.targets();
        targets.iter().filter_map(|target| self.targets.last_received_at(target.address)).max()
    }

    /// Tries to connect to targets that are out of reach, until `cancel` is cancelled.
    pub async fn run_probes(self, cancel: CancellationToken) {
        let Some(relaying) = self.relaying.clone() else { return };
        while cancel.run_until_cancelled(monoio::time::sleep(PROBE_INTERVAL)).await.is_some() {
            let unreachable = relaying.paths.borrow().unreachable();
            if unreachable.is_empty() {
                self.update_cut_off(&relaying);
                continue;
            }
            let known: Vec<SocketAddr> =
                relaying.dependencies.view.targets().iter().map(|target| target.address).collect();
            let due = {
                let mut paths = relaying.paths.borrow_mut();
                paths.retain(|target| known.contains(&target));
                paths.start_probes(&known, MAX_PROBES, Instant::now())
            };
            let probes = due.iter().map(|target| self.targets.can_connect(*target));
            cancel.run_until_cancelled(join_all(probes)).await;
            self.update_cut_off(&relaying);
        }
    }

    /// Publishes whether this node is cut off.
    fn update_cut_off(&self, relaying: &Relaying) {
        let is_cut_off = relaying.paths.borrow().is_cut_off(|| self.last_received_at());
        relaying.is_cut_off.send_if_modified(|published| {
            let is_changed = *published != is_cut_off;
            if is_changed {
                let unreachable = relaying.paths.borrow().unreachable().len();
                log::warn!(target: "reach", "links to targets cut={is_cut_off} unreachable={unreachable}");
            }
            *published = is_cut_off;
            is_changed
        });
    }
}

impl Relaying {
    fn choose_nodes(&self) -> Vec<SocketAddr> {
        let RelayDependencies { own_address, nodes, .. } = &self.dependencies;
        let nodes = nodes();
        let mut relay_nodes = self.relay_nodes.borrow_mut();
        relay_nodes.choose(*own_address, &nodes, MAX_RELAY_ATTEMPTS, Instant::now())
    }

    fn avoid(&self, node: SocketAddr) {
        self.relay_nodes.borrow_mut().avoid(node, Instant::now());
    }

    fn record_relayed(&self) {
        self.relayed_requests.set(self.relayed_requests.get() + 1);
        self.paths.borrow_mut().record_relayed(Instant::now());
    }
}

impl ConnectObserver for Relaying {
    fn on_connected(&self, address: SocketAddr) {
        self.paths.borrow_mut().record_connected(address);
    }

    fn on_connect_failed(&self, address: SocketAddr) {
        self.paths.borrow_mut().record_connect_failed(address, Instant::now());
    }
}
