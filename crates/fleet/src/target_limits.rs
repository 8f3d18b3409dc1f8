//! Request rates that targets in need have named in their responses, and this node's share of them.
//!
//! A named rate applies to all nodes together. Nodes divide it without messages: each computes its
//! share from the member list and the runner table, which are the same on all nodes.
//!
//! A rate that would give each node less than one request a second is divided among fewer nodes. The
//! others take turns, by the time of day, to send single requests, which show them whether the limit
//! still holds.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use deck_core::{
    hash::rendezvous_score,
    id::{PoolName, TargetId},
};
use deck_limit::TokenBucket;

use crate::{
    Configuration, RouteKind, Target,
    config::{ConfigurationVersion, ModelName},
};

/// Fraction of a rate that is reserved for the nodes that take turns.
const TURNS_FRACTION: f64 = 0.2;
/// Time for which unused requests are saved. Runs of items come in bursts; targets judge their load
/// over some seconds.
const SAVED_TIME: Duration = Duration::from_secs(2);
/// Minimum rate that is divided, for a target that takes no requests at all.
const MIN_REQUESTS_PER_S: f64 = 0.05;

/// What a request to a target is for. Different nodes send each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestPurpose {
    /// Run of an item of a batch job, sent by the node that runs the jobs of its model.
    Item,
    /// Request of a caller or reward call, sent by any entry node.
    Request,
}

/// Nodes that send requests to targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Senders {
    /// Address of this node.
    pub own_address: Option<SocketAddr>,
    /// Addresses of all entry nodes.
    pub entry_nodes: Vec<SocketAddr>,
    /// Address of the leader, which runs the jobs of models without a runner.
    pub leader: Option<SocketAddr>,
    /// Nodes that run the jobs of a model.
    pub runners: HashMap<ModelName, SocketAddr>,
}

/// Kinds of requests that the routes of a configuration send to a service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceUse {
    items: bool,
    requests: bool,
}

/// This node's part of a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Share {
    /// Requests a second at any time.
    Rate(f64),
    /// One request in each turn of this node.
    Turn(Turn),
}

impl Share {
    /// Returns the rate at which the node may send at any time.
    fn rate(self) -> f64 {
        match self {
            Self::Rate(rate) => rate,
            Self::Turn(_) => 0.0,
        }
    }
}

/// Periods in which one of several nodes may send a request.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Turn {
    /// Position of this node among those that take turns.
    position: u64,
    /// Number of nodes that take turns.
    node_count: u64,
    /// Time between the starts of two turns.
    duration: Duration,
}

/// State from which a share is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ShareBasis {
    requests_per_s: f64,
    configuration: ConfigurationVersion,
    /// Number of changes of the senders.
    senders: u64,
}

/// Requests that this node may still send to a target.
#[derive(Debug)]
struct Allowance {
    share: Share,
    /// State from which `share` was computed.
    basis: ShareBasis,
    bucket: TokenBucket,
    /// Number of the turn in which this node last sent a request.
    used_turn: Option<u64>,
}

/// Rate that a target has named.
#[derive(Debug)]
struct NamedLimit {
    /// Start time of the target's process, which has named the rate.
    started_at_ms: u64,
    service: PoolName,
    requests_per_s: f64,
    /// When the rate was last named.
    named_at: Instant,
    /// This node's part for each purpose.
    allowances: HashMap<RequestPurpose, Allowance>,
}

/// Rates named by targets, with the requests that this node may still send.
#[derive(Debug)]
pub struct TargetLimits {
    /// Steady time and time of day of the same moment. All nodes compute their turns from the time of
    /// day; its later steps have no effect.
    clocks: (Instant, SystemTime),
    limits: RefCell<HashMap<TargetId, NamedLimit>>,
    senders: RefCell<Senders>,
    /// Number of changes of `senders`.
    senders_version: Cell<u64>,
    /// Version of the configuration that `uses` describes.
    uses_version: Cell<Option<ConfigurationVersion>>,
    uses: RefCell<HashMap<PoolName, ServiceUse>>,
}

impl TargetLimits {
    /// Sets the nodes that send requests.
    pub fn set_senders(&self, senders: Senders) {
        if *self.senders.borrow() != senders {
            self.senders.replace(senders);
            self.senders_version.set(self.senders_version.get() + 1);
        }
    }

    /// Records what a response of `target` to a request that was sent at `sent_at` says about its
    /// limit. A response without one ends the limit, unless the request was sent before the limit
    /// was named.
    pub fn record(
        &self,
        target: &Target,
        requests_per_s: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) {
        let mut limits = self.limits.borrow_mut();
        let known = limits.get_mut(&target.id).filter(|limit| {
            limit.started_at_ms == target.started_at_ms && limit.service == target.service
        });
        match (known, requests_per_s) {
            (Some(limit), Some(requests_per_s)) => {
                limit.requests_per_s = requests_per_s;
                limit.named_at = now;
            }
            (None, Some(requests_per_s)) => {
                log::info!(target: "fleet", "target names a limit target={} requests_per_s={requests_per_s}", target.id);
                let limit = NamedLimit {
                    started_at_ms: target.started_at_ms,
                    service: target.service.clone(),
                    requests_per_s,
                    named_at: now,
                    allowances: HashMap::new(),
                };
                limits.insert(target.id.clone(), limit);
            }
            (Some(limit), None) if sent_at > limit.named_at => {
                log::info!(target: "fleet", "target names no limit any more target={}", target.id);
                limits.remove(&target.id);
            }
            (_, None) => {}
        }
    }

    /// Forgets the limit of a target that is gone.
    pub(crate) fn remove(&self, target: &str) {
        self.limits.borrow_mut().remove(target);
    }

    /// Returns how many requests this node may send to the target now; `None` if it has named no
    /// limit.
    pub fn available(
        &self,
        target: &Target,
        purpose: RequestPurpose,
        configuration: &Configuration,
        now: Instant,
    ) -> Option<u32> {
        self.with_allowance(target, purpose, configuration, now, |allowance, time_of_day| {
            match allowance.share {
                Share::Rate(_) => allowance.bucket.available(now),
                Share::Turn(turn) => {
                    u32::from(turn.time_until_next(time_of_day, allowance.used_turn).is_zero())
                }
            }
        })
    }

    /// Returns the time until this node may send a request to the target; zero if it may now.
    pub fn time_until_available(
        &self,
        target: &Target,
        purpose: RequestPurpose,
        configuration: &Configuration,
        now: Instant,
    ) -> Duration {
        self.with_allowance(target, purpose, configuration, now, |allowance, time_of_day| {
            match allowance.share {
                Share::Rate(_) => allowance.bucket.time_until_available(now),
                Share::Turn(turn) => turn.time_until_next(time_of_day, allowance.used_turn),
            }
        })
        .unwrap_or_default()
    }

    /// Counts a request that is sent to the target.
    pub fn count_request(
        &self,
        target: &Target,
        purpose: RequestPurpose,
        configuration: &Configuration,
        now: Instant,
    ) {
        self.with_allowance(target, purpose, configuration, now, |allowance, time_of_day| {
            match allowance.share {
                Share::Rate(_) => drop(allowance.bucket.try_take_with_debt(1.0, now)),
                Share::Turn(turn) => allowance.used_turn = Some(turn.number_at(time_of_day)),
            }
        });
    }

    /// Returns whether any target has named a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.borrow().is_empty()
    }

    fn with_allowance<T>(
        &self,
        target: &Target,
        purpose: RequestPurpose,
        configuration: &Configuration,
        now: Instant,
        action: impl FnOnce(&mut Allowance, Duration) -> T,
    ) -> Option<T> {
        let mut limits = self.limits.borrow_mut();
        let limit = limits.get_mut(&target.id)?;
        // A later process has named no limit.
        if limit.started_at_ms != target.started_at_ms || limit.service != target.service {
            return None;
        }
        let requests_per_s = limit.requests_per_s.max(MIN_REQUESTS_PER_S);
        let basis = ShareBasis {
            requests_per_s,
            configuration: configuration.version,
            senders: self.senders_version.get(),
        };
        let compute_share = || self.share(target, purpose, configuration, requests_per_s);
        let allowance = limit.allowances.entry(purpose).or_insert_with(|| {
            let share = compute_share();
            let bucket = TokenBucket::with_depth(share.rate(), SAVED_TIME, now);
            Allowance { share, basis, bucket, used_turn: None }
        });
        if allowance.basis != basis {
            allowance.share = compute_share();
            allowance.basis = basis;
            allowance.bucket.set_rate(allowance.share.rate(), now);
        }
        Some(action(allowance, self.time_of_day(now)))
    }

    /// Returns the time since the Unix epoch.
    fn time_of_day(&self, now: Instant) -> Duration {
        let (steady, time_of_day) = self.clocks;
        let since_epoch = time_of_day.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        since_epoch + now.saturating_duration_since(steady)
    }

    /// Returns this node's part of the target's rate for a purpose. The parts of all nodes for all
    /// purposes add up to at most the rate.
    fn share(
        &self,
        target: &Target,
        purpose: RequestPurpose,
        configuration: &Configuration,
        requests_per_s: f64,
    ) -> Share {
        let service_use = self.service_use(configuration, &target.service);
        let purposes = u32::from(service_use.items) + u32::from(service_use.requests);
        let requests_per_s = requests_per_s / f64::from(purposes.max(1));
        let senders = self.senders.borrow();
        match purpose {
            RequestPurpose::Item => {
                let runner_count = count_runners(&senders, configuration, &target.service);
                Share::Rate(requests_per_s / runner_count as f64)
            }
            RequestPurpose::Request => request_share(&senders, &target.id, requests_per_s),
        }
    }

    /// Returns which kinds of requests the routes of the configuration send to a service.
    fn service_use(&self, configuration: &Configuration, service: &str) -> ServiceUse {
        if self.uses_version.replace(Some(configuration.version)) != Some(configuration.version) {
            let mut uses: HashMap<PoolName, ServiceUse> = HashMap::new();
            for route in configuration.routes() {
                for (service, _) in &route.service_weights {
                    let service_use = uses.entry(service.clone()).or_default();
                    match route.kind {
                        RouteKind::Rollout => service_use.items = true,
                        RouteKind::Idempotent | RouteKind::NonIdempotent | RouteKind::Streaming => {
                            service_use.requests = true
                        }
                    }
                }
            }
            self.uses.replace(uses);
        }
        self.uses.borrow().get(service).copied().unwrap_or_default()
    }
}

impl Default for TargetLimits {
    fn default() -> Self {
        Self {
            clocks: (Instant::now(), SystemTime::now()),
            limits: RefCell::default(),
            senders: RefCell::default(),
            senders_version: Cell::default(),
            uses_version: Cell::default(),
            uses: RefCell::default(),
        }
    }
}

impl Turn {
    /// Returns the number of the turn, of any node, at a time of day.
    fn number_at(self, time_of_day: Duration) -> u64 {
        (time_of_day.as_nanos() / self.duration.as_nanos().max(1)) as u64
    }

    /// Returns the time until the next turn of this node other than `used_turn`; zero during one.
    fn time_until_next(self, time_of_day: Duration, used_turn: Option<u64>) -> Duration {
        let current = self.number_at(time_of_day);
        let offset =
            (self.node_count + self.position - current % self.node_count) % self.node_count;
        let next = match offset {
            0 if used_turn == Some(current) => current + self.node_count,
            offset => current + offset,
        };
        let starts_at = self.duration.as_secs_f64() * next as f64;
        Duration::from_secs_f64((starts_at - time_of_day.as_secs_f64()).max(0.0))
    }
}

/// Returns the number of nodes that run jobs of the models of a service, this node included.
fn count_runners(senders: &Senders, configuration: &Configuration, service: &str) -> usize {
    let engine = configuration.services.get(service).and_then(|service| service.engine.as_ref());
    let models = engine.map_or(&[][..], |engine| &engine.models);
    let runner_of = |model: &ModelName| senders.runners.get(model).copied().or(senders.leader);
    let mut runners: BTreeSet<SocketAddr> = models.iter().filter_map(runner_of).collect();
    // A node that is no longer a runner may still have jobs.
    runners.extend(senders.own_address);
    runners.len().max(1)
}

/// Returns this node's part of the requests of callers.
fn request_share(senders: &Senders, target: &str, requests_per_s: f64) -> Share {
    let nodes = &senders.entry_nodes;
    let user_count = (requests_per_s.floor() as usize).clamp(1, nodes.len().max(1));
    let own = match senders.own_address {
        Some(own) if user_count < nodes.len() => own,
        _ => return Share::Rate(requests_per_s / nodes.len().max(1) as f64),
    };
    let score = |node: &SocketAddr| (rendezvous_score(target, &node.to_string()), *node);
    let own_score = score(&own);
    let rank = nodes.iter().filter(|node| score(node) > own_score).count();
    if rank < user_count {
        return Share::Rate(requests_per_s * (1.0 - TURNS_FRACTION) / user_count as f64);
    }
    Share::Turn(Turn {
        position: (rank - user_count) as u64,
        node_count: (nodes.len() - user_count) as u64,
        duration: Duration::from_secs_f64(1.0 / (requests_per_s * TURNS_FRACTION)),
    })
}
