//! Configuration of the deployment as operators write it: routes, services and limits.

use std::{collections::HashMap, rc::Rc, time::Duration};

use deck_core::id::PoolName;

/// Version of the configuration; later ones are higher.
pub type ConfigurationVersion = u64;
/// Name of a model.
pub type ModelName = String;

/// One complete configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version.
    pub version: ConfigurationVersion,
    /// Routes by host. Invariant: those of one host are sorted by falling length of their prefix.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<PoolName, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Whether and how requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request id.
    NonIdempotent,
    /// Answered with a stream of events.
    Streaming,
    /// Batch jobs of a trainer.
    Rollout,
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind.
    pub kind: RouteKind,
    /// Whether a stream may be resumed on another target.
    pub resumable: bool,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is worth its full value.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights. Invariant: not empty.
    pub split: Vec<(PoolName, u32)>,
    /// Most targets that one request is sent to.
    pub attempts: u32,
    /// Time after the submission of a batch job at which its results are due.
    pub results_due: Duration,
    /// Time after the submission of a batch job at which its items may be given up.
    pub give_up: Duration,
    /// Whether all events of one result come from the same weight version.
    pub single_version: bool,
}

impl Route {
    /// Returns the service for a request by the route's weights; `draw` is from 0 up to 1.
    pub fn service(&self, draw: f64) -> &str {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return service;
            }
        }
        self.split.last().map_or("", |(service, _)| service)
    }

    /// Returns whether a request may run more than once.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Rollout => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: PoolName,
    /// Set if the service's targets are model engines.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u64,
    /// Models that the engines serve.
    pub models: Vec<ModelName>,
}

/// Limits on callers.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Time in which a head has to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl Configuration {
    /// Returns a configuration with the given parts.
    pub fn new(
        version: ConfigurationVersion,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        Self { version, routes: by_host, services, limits }
    }

    /// Returns the route of the host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service of the model.
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        let serves = |service: &&Service| {
            service.engine.as_ref().is_some_and(|engine| engine.models.iter().any(|m| m == model))
        };
        self.services.values().find(serves)
    }
}
