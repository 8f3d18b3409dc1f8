//! Configuration of the deployment as operators write it: routes, services and limits.

use std::{collections::HashMap, rc::Rc, time::Duration};

use deck_core::id::{DataCentreId, PoolName};

use crate::{ApiKey, Organisation, Organisations};

/// Version of the configuration; increases with each change.
pub type ConfigurationVersion = u64;
/// Name of a model.
pub type ModelName = String;

/// Complete configuration of the deployment.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Version of the configuration; only a later one replaces it.
    pub version: ConfigurationVersion,
    /// Routes by host. Invariant: the routes of a host are sorted by descending prefix length.
    routes: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<PoolName, ServiceConfig>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Organisations whose keys callers need; `None` if callers need no key.
    pub organisations: Option<Rc<Organisations>>,
}

/// Entries of a configuration in the order in which operators write them.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationEntries {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceConfig>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Organisations and their keys; `None` if callers need no key.
    pub organisations: Option<Vec<(Organisation, Vec<ApiKey>)>>,
}

impl ConfigurationEntries {
    /// Returns the configuration that nodes use.
    ///
    /// # Errors
    ///
    /// Names the organisation whose name or key cannot be used.
    pub fn into_configuration(self) -> Result<Configuration, String> {
        let organisations = self.organisations.map(Organisations::new).transpose()?;
        let configuration =
            Configuration::new(self.version, self.routes, self.services, self.limits);
        Ok(configuration.with_organisations(organisations))
    }
}

/// Kind of requests on a route, which determines whether and how they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests that may be executed more than once.
    Idempotent,
    /// Requests that are executed at most once per request id.
    NonIdempotent,
    /// Requests with a stream of events as the response.
    Streaming,
    /// Batch jobs of a trainer.
    Rollout,
}

/// Route that maps requests by host and path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name of the requests that the route applies to.
    pub host: String,
    /// Path prefix of the requests; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Whether a stream may be resumed on another target.
    pub resumable: bool,
    /// Maximum time until a request has to be answered.
    pub timeout: Duration,
    /// Latency up to which the platform rates a response at its full value. Also determines how long
    /// the first target of a request may take before a second one is tried (hedging).
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are distributed to, with their relative weights. Invariant: not
    /// empty.
    pub service_weights: Vec<(PoolName, u32)>,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Time after the submission of a batch job at which its results are due.
    pub result_deadline: Duration,
    /// Time after the submission of a batch job from which its items may be given up.
    pub item_deadline: Duration,
    /// Whether all events of a result must come from the same weight version.
    pub single_version: bool,
    /// Whether callers need no key, also where the configuration has organisations.
    pub is_public: bool,
}

impl Route {
    /// Selects a service by the weights of the route, given a uniform random number from 0 to 1.
    pub fn pick_service(&self, random: f64) -> &str {
        let total: f64 = self.service_weights.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut remaining_weight = random * total;
        for (service, weight) in &self.service_weights {
            remaining_weight -= f64::from(*weight);
            if remaining_weight < 0.0 {
                return service;
            }
        }
        self.service_weights.last().map_or("", |(service, _)| service)
    }

    /// Returns whether a request may be executed more than once.
    pub fn allows_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Rollout => true,
            RouteKind::Streaming => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }
}

/// Service provided by a pool of targets.
#[derive(Debug, Clone)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: PoolName,
    /// Engine settings, if the targets of the service are model engines.
    pub engine: Option<EngineConfig>,
    /// Bounds and prices of the targets that can be ordered; `None` if their number is fixed.
    pub scaling: Option<ScalingConfig>,
}

/// Bounds and prices of the targets of a service that can be ordered.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingConfig {
    /// Minimum number of targets in each data centre.
    pub min_targets: u32,
    /// Maximum number of targets in each data centre.
    pub max_targets: u32,
    /// Time from an order until a new target serves.
    pub boot_time: Duration,
    /// Price of a target that may be reclaimed, as a fraction of that of other targets; `None` if
    /// there are none.
    pub spot_price_ratio: Option<f64>,
    /// Relative price of a target per second in each data centre.
    pub data_centre_prices: HashMap<DataCentreId, f64>,
}

/// Settings of the model engines of a service.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Maximum number of concurrent requests per engine.
    pub slots: u32,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u64,
    /// Names of the models that the engines serve.
    pub models: Vec<ModelName>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request head has to arrive.
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
    /// Creates a configuration and sorts its routes.
    pub fn new(
        version: ConfigurationVersion,
        routes: Vec<Route>,
        services: Vec<ServiceConfig>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        Self { version, routes: routes_by_host, services, limits, organisations: None }
    }

    /// Returns the configuration with organisations whose keys callers need.
    pub fn with_organisations(self, organisations: Option<Organisations>) -> Self {
        Self { organisations: organisations.map(Rc::new), ..self }
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service whose engines serve the model.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceConfig> {
        let serves = |service: &&ServiceConfig| {
            service.engine.as_ref().is_some_and(|engine| engine.models.iter().any(|m| m == model))
        };
        self.services.values().find(serves)
    }
}
