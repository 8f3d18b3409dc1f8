//! Object kinds of the resource API: desired state written by operators and status written by the
//! daemons.
//!
//! Every value in the store has the form `{"schema": 1, "spec": {...}}`. Unknown fields are refused
//! by name.

use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::id::{
    DataCentreId, FencingNumber, JobName, OrganisationId, PoolName, Revision, TargetId, VmId,
    WeightVersion,
};

/// Version of the object schemas of this build.
pub const SCHEMA_VERSION: u32 = 1;
/// Largest value that the object API takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest object name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// Error in an object.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ObjectError {
        /// The value is not of the expected form.
        Syntax(message: String) {
            display("not a valid object: {message}")
        }
        /// The schema version is not supported.
        Schema(found: u32) {
            display("schema {found} is not supported; this build supports schema {SCHEMA_VERSION}")
        }
        /// The kind is not known.
        Kind(found: String) {
            display("unknown kind {found:?}; expected RolloutJob, OrganisationShare, TargetPool or ServiceObjective")
        }
        /// The name is not allowed.
        Name(found: String) {
            display("name {found:?} is not allowed; use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'")
        }
        /// A field has a value that is not allowed.
        Field(field: String, found: String, allowed: String) {
            display("field {field}: {found} is not allowed; expected {allowed}")
        }
    }
}

/// Kinds of objects that operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// A rollout job.
    RolloutJob,
    /// Share of an organisation in pools.
    OrganisationShare,
    /// A pool of targets.
    TargetPool,
    /// A service-level objective.
    ServiceObjective,
}

impl Kind {
    /// All kinds that operators write.
    pub const ALL: &'static [Self] =
        &[Self::RolloutJob, Self::OrganisationShare, Self::TargetPool, Self::ServiceObjective];

    /// Returns the kind's name in paths and files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::RolloutJob => "RolloutJob",
            Self::OrganisationShare => "OrganisationShare",
            Self::TargetPool => "TargetPool",
            Self::ServiceObjective => "ServiceObjective",
        }
    }

    /// Returns the name of the kind that holds the status of objects of this kind.
    pub const fn status_kind(self) -> &'static str {
        match self {
            Self::RolloutJob => "RolloutJobStatus",
            Self::OrganisationShare => "OrganisationShareStatus",
            Self::TargetPool => "TargetPoolStatus",
            Self::ServiceObjective => "ServiceObjectiveStatus",
        }
    }
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::str::FromStr for Kind {
    type Err = ObjectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ObjectError::Kind(text.to_owned()))
    }
}

/// Kind under which leases are stored.
pub const LEASE_KIND: &str = "Lease";
/// Kind under which claims of idempotency keys are stored.
pub const CALL_CLAIM_KIND: &str = "CallClaim";

/// Stored form of a value.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope<T> {
    /// Schema version of `spec`.
    pub schema: u32,
    /// The object's content.
    pub spec: T,
}

impl<T> Envelope<T> {
    /// Wraps `spec` with the current schema version.
    pub fn new(spec: T) -> Self {
        Self { schema: SCHEMA_VERSION, spec }
    }
}

/// Content of an object that can check itself.
pub trait Spec: DeserializeOwned + Serialize {
    /// Kind of the object.
    const KIND: Kind;

    /// Checks the values of all fields.
    ///
    /// # Errors
    ///
    /// Returns [`ObjectError::Field`] for the first field whose value is not allowed.
    fn validate(&self) -> Result<(), ObjectError>;
}

/// A rollout job: samples of a model for one trainer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutJob {
    /// Organisation on whose share the job draws.
    pub organisation: OrganisationId,
    /// Engine pool that generates.
    pub pool: PoolName,
    /// Address (`ip:port`) of the service that scores samples.
    pub scorer_address: String,
    /// Samples in a step. Invariant: a multiple of `group_size`.
    pub samples_per_step: u32,
    /// Samples of one prompt; a group is handed over whole.
    pub group_size: u32,
    /// How many weight versions a sample may be behind the trainer at hand-over.
    pub staleness_bound_versions: u64,
    /// Upper bound on generated tokens of one sample.
    pub max_tokens: u32,
    /// Time in which the samples of a step should be complete.
    pub step_deadline_ms: u64,
    /// Prompts; group `g` of step `s` uses prompt `(s * groups + g) % prompts.len()`.
    pub prompts: Vec<String>,
    /// A paused job keeps its lease but dispatches nothing.
    #[serde(default)]
    pub paused: bool,
}

impl RolloutJob {
    /// Returns the number of groups in a step.
    pub fn groups_per_step(&self) -> u32 {
        self.samples_per_step / self.group_size.max(1)
    }

    /// Returns the prompt of a group.
    pub fn prompt(&self, step: u64, group: u32) -> &str {
        let index = step.wrapping_mul(u64::from(self.groups_per_step())) + u64::from(group);
        &self.prompts[(index % self.prompts.len() as u64) as usize]
    }
}

impl Spec for RolloutJob {
    const KIND: Kind = Kind::RolloutJob;

    fn validate(&self) -> Result<(), ObjectError> {
        check_name("spec.organisation", &self.organisation)?;
        check_name("spec.pool", &self.pool)?;
        check_address("spec.scorer_address", &self.scorer_address)?;
        check_range("spec.group_size", u64::from(self.group_size), 1, 1024)?;
        check_range("spec.samples_per_step", u64::from(self.samples_per_step), 1, 65_536)?;
        if !self.samples_per_step.is_multiple_of(self.group_size) {
            return Err(field(
                "spec.samples_per_step",
                self.samples_per_step,
                format!("a multiple of spec.group_size ({})", self.group_size),
            ));
        }
        check_range("spec.staleness_bound_versions", self.staleness_bound_versions, 0, 1000)?;
        check_range("spec.max_tokens", u64::from(self.max_tokens), 1, 1_000_000)?;
        check_range("spec.step_deadline_ms", self.step_deadline_ms, 100, 86_400_000)?;
        if self.prompts.is_empty() {
            return Err(field("spec.prompts", "[]", "at least one prompt"));
        }
        Ok(())
    }
}

/// Shares of one organisation; the object's name is the organisation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShare {
    /// Promised shares, one entry a pool.
    pub shares: Vec<PoolShare>,
}

/// Promised share of an organisation in one pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolName,
    /// Promised part of the pool's capacity. Invariant: 1 to 100.
    pub share_percent: u32,
}

impl Spec for OrganisationShare {
    const KIND: Kind = Kind::OrganisationShare;

    fn validate(&self) -> Result<(), ObjectError> {
        for (index, share) in self.shares.iter().enumerate() {
            check_name(&format!("spec.shares[{index}].pool"), &share.pool)?;
            let name = format!("spec.shares[{index}].share_percent");
            check_range(&name, u64::from(share.share_percent), 1, 100)?;
            if self.shares[..index].iter().any(|other| other.pool == share.pool) {
                let name = format!("spec.shares[{index}].pool");
                return Err(field(&name, &share.pool, "each pool once"));
            }
        }
        Ok(())
    }
}

/// What the targets of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolType {
    /// Model engines with the completions interface.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// Whether the targets of a pool refuse orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// Targets refuse an order whose fencing number is lower than one they have seen.
    Checked,
    /// Targets ignore the fencing number.
    Ignored,
}

/// A pool of targets that serve the same model or service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    /// Engines or plain services.
    #[serde(rename = "type")]
    pub pool_type: PoolType,
    /// Model that the engines serve; only for engine pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Whether the targets check fencing numbers.
    pub fencing: FencingCheck,
    /// Concurrent calls that one target serves at full speed.
    pub slots_per_target: u32,
    /// Part of the pool that keeps serving during a weight rollout. Invariant: 0 to 100.
    #[serde(default = "default_serving_floor")]
    pub serving_floor_percent: u32,
    /// Path prefixes below the service whose calls may be repeated, whatever their method.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent_paths: Vec<String>,
    /// Address (`ip:port`) of the weight store that the pool follows; only for engine pools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_store_address: Option<String>,
    /// Addresses (`ip:port`) of VMs with a disk that relay weights from the weight store.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weight_relays: Vec<String>,
    /// The targets.
    pub targets: Vec<Target>,
}

fn default_serving_floor() -> u32 {
    50
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes work.
    #[default]
    Active,
    /// Leaving: finishes its work and takes no new work.
    Draining,
}

/// One target of a pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique in the pool.
    pub id: TargetId,
    /// Address, `ip:port`.
    pub address: String,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreId,
    /// Whether the target takes new work.
    #[serde(default)]
    pub state: TargetState,
}

impl Spec for TargetPool {
    const KIND: Kind = Kind::TargetPool;

    fn validate(&self) -> Result<(), ObjectError> {
        if self.pool_type == PoolType::Engine && self.model.as_deref().is_none_or(str::is_empty) {
            return Err(field("spec.model", "(absent)", "a model name for a pool of type engine"));
        }
        if self.pool_type == PoolType::Service {
            if let Some(model) = &self.model {
                return Err(field("spec.model", model, "no model for a pool of type service"));
            }
            if let Some(address) = &self.weight_store_address {
                let allowed = "no weight store for a pool of type service";
                return Err(field("spec.weight_store_address", address, allowed));
            }
        }
        check_range("spec.slots_per_target", u64::from(self.slots_per_target), 1, 100_000)?;
        check_range("spec.serving_floor_percent", u64::from(self.serving_floor_percent), 0, 100)?;
        if let Some(address) = &self.weight_store_address {
            check_address("spec.weight_store_address", address)?;
        }
        for (index, address) in self.weight_relays.iter().enumerate() {
            check_address(&format!("spec.weight_relays[{index}]"), address)?;
        }
        for (index, path) in self.idempotent_paths.iter().enumerate() {
            if !path.starts_with('/') {
                let name = format!("spec.idempotent_paths[{index}]");
                return Err(field(&name, path, "a path that starts with '/'"));
            }
        }
        let mut seen = std::collections::HashSet::new();
        for (index, target) in self.targets.iter().enumerate() {
            check_name(&format!("spec.targets[{index}].id"), &target.id)?;
            check_address(&format!("spec.targets[{index}].address"), &target.address)?;
            check_name(&format!("spec.targets[{index}].data_centre"), &target.data_centre)?;
            if !seen.insert(&target.id) {
                let name = format!("spec.targets[{index}].id");
                return Err(field(&name, &target.id, "each id once"));
            }
        }
        Ok(())
    }
}

/// A service-level objective of one organisation in one pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The pool.
    pub pool: PoolName,
    /// What is measured and its goal.
    pub indicator: Indicator,
    /// Part of the events that have to be good, in percent, for example 99.9.
    pub objective_percent: f64,
    /// Window over which the error budget is counted.
    pub window_hours: u32,
}

/// What a service-level objective measures.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Indicator {
    /// Calls answered without an error of ours.
    Availability,
    /// Calls answered within a bound.
    Latency {
        /// The bound.
        bound_ms: u64,
    },
    /// Time in which the trainer is not idle.
    TrainerIdle,
    /// Samples handed over within a staleness bound.
    Staleness {
        /// The bound.
        bound_versions: u64,
    },
}

impl Spec for ServiceObjective {
    const KIND: Kind = Kind::ServiceObjective;

    fn validate(&self) -> Result<(), ObjectError> {
        check_name("spec.organisation", &self.organisation)?;
        check_name("spec.pool", &self.pool)?;
        if !(self.objective_percent > 0.0 && self.objective_percent < 100.0) {
            let allowed = "a number above 0 and below 100";
            return Err(field("spec.objective_percent", self.objective_percent, allowed));
        }
        check_range("spec.window_hours", u64::from(self.window_hours), 1, 24 * 90)
    }
}

/// Whether the daemons accepted the newest version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptStatus {
    /// Revision that is in force.
    pub accepted_revision: Revision,
    /// Newest revision that was refused, with the reason; absent if the newest one was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<RefusedVersion>,
    /// VMs that report the accepted revision in force.
    pub in_force_vms: u32,
    /// VMs that are known to be live.
    pub live_vms: u32,
}

/// A refused version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Its revision.
    pub revision: Revision,
    /// Why it was refused, with the field.
    pub reason: String,
}

/// Value of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// Current holder; empty after a release.
    pub holder: VmId,
    /// Address (`ip:port`) at which the holder serves.
    pub address: String,
    /// Raised by one with each acquisition.
    pub fencing: FencingNumber,
    /// Time after which an unchanged lease may be taken.
    pub duration_ms: u64,
    /// Raised by one with each renewal.
    pub renewal: u64,
    /// Random number of the acquisition; distinguishes writes of two runs of the same VM.
    pub nonce: String,
}

/// A stretch of a sample's tokens made by one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionSpan {
    /// Weight version that the engine reported for these tokens.
    pub weight_version: WeightVersion,
    /// Number of tokens.
    pub token_count: u32,
}

/// An object of any kind that has been read and checked.
#[derive(Debug, Clone, PartialEq)]
pub enum AnySpec {
    /// A rollout job.
    RolloutJob(RolloutJob),
    /// Shares of an organisation.
    OrganisationShare(OrganisationShare),
    /// A pool.
    TargetPool(TargetPool),
    /// A service-level objective.
    ServiceObjective(ServiceObjective),
}

impl AnySpec {
    /// Reads and checks a stored value of `kind`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field if the value is malformed or not allowed.
    pub fn parse(kind: Kind, value: &serde_json::Value) -> Result<Self, ObjectError> {
        Ok(match kind {
            Kind::RolloutJob => Self::RolloutJob(parse_spec(value)?),
            Kind::OrganisationShare => Self::OrganisationShare(parse_spec(value)?),
            Kind::TargetPool => Self::TargetPool(parse_spec(value)?),
            Kind::ServiceObjective => Self::ServiceObjective(parse_spec(value)?),
        })
    }
}

/// Reads and checks a stored value.
///
/// # Errors
///
/// Returns an error that names the field if the value is malformed or not allowed.
pub fn parse_spec<T: Spec>(value: &serde_json::Value) -> Result<T, ObjectError> {
    // The schema comes first: a value of a newer schema may have fields that this build refuses.
    if let Some(schema) = value.get("schema").and_then(serde_json::Value::as_u64)
        && schema != u64::from(SCHEMA_VERSION)
    {
        return Err(ObjectError::Schema(schema as u32));
    }
    let envelope: Envelope<T> = serde_json::from_value(value.clone())
        .map_err(|error| ObjectError::Syntax(error.to_string()))?;
    envelope.spec.validate()?;
    Ok(envelope.spec)
}

/// Checks the name of an object.
///
/// # Errors
///
/// Returns [`ObjectError::Name`] if the name is empty, too long or has other characters than `a-z`,
/// `0-9`, `-` and `.`.
pub fn check_object_name(name: &str) -> Result<(), ObjectError> {
    let allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'.';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(ObjectError::Name(name.to_owned()));
    }
    Ok(())
}

/// Name of the job and step of which a sample is part.
pub fn sample_id(job: &JobName, step: u64, group: u32, index: u32) -> String {
    format!("{job}/{step}/{group}/{index}")
}

fn field(
    name: &str,
    found: impl std::fmt::Display,
    allowed: impl std::fmt::Display,
) -> ObjectError {
    ObjectError::Field(name.to_owned(), found.to_string(), allowed.to_string())
}

fn check_range(name: &str, found: u64, min: u64, max: u64) -> Result<(), ObjectError> {
    if (min..=max).contains(&found) {
        Ok(())
    } else {
        Err(field(name, found, format!("{min} to {max}")))
    }
}

fn check_name(name: &str, found: &str) -> Result<(), ObjectError> {
    check_object_name(found).map_err(|_| {
        field(name, format!("{found:?}"), format!("1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'"))
    })
}

fn check_address(name: &str, found: &str) -> Result<(), ObjectError> {
    match found.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(field(name, format!("{found:?}"), "ip:port")),
    }
}
