//! Object kinds of the object API: desired state written by operators and status written by the
//! daemons.
//!
//! Every value in the store has the form `{"schema": 1, "spec": {...}}`. A value with an unknown
//! field is refused with an error that names the field.

mod check;
mod job;
mod objective;
mod pool;
mod share;
mod status;

use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::id::JobName;

pub use self::{
    job::RolloutJob,
    objective::{Indicator, ServiceObjective},
    pool::{FencingCheck, PoolType, Target, TargetPool, TargetState},
    share::{OrganisationShare, PoolShare},
    status::{LeaseRecord, ObjectStatus, RefusedRevision, VersionSpan},
};

/// Version of the object schemas that this build reads and writes.
pub const SCHEMA_VERSION: u32 = 1;
/// Maximum size of a value in the object API.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum length of an object name.
pub const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// Error in the kind, name or value of an object.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ObjectError {
        /// The value does not have the form of the kind.
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

/// Kind of object that operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// A rollout job.
    RolloutJob,
    /// Shares of an organisation in pools.
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

    /// Returns the name of the kind in paths and files.
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

/// Kind of the objects that store leases.
pub const LEASE_KIND: &str = "Lease";
/// Kind of the objects that record which idempotency keys are in use.
pub const CALL_CLAIM_KIND: &str = "CallClaim";

/// Object value in its stored form.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope<T> {
    /// Schema version of `spec`.
    pub schema: u32,
    /// Content of the object; its fields depend on the kind.
    pub spec: T,
}

impl<T> Envelope<T> {
    /// Wraps `spec` with the current schema version.
    pub fn new(spec: T) -> Self {
        Self { schema: SCHEMA_VERSION, spec }
    }
}

/// Content of an object of one kind, with the check of its fields.
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

/// Validated content of an object of any kind.
#[derive(Debug, Clone, PartialEq)]
pub enum AnySpec {
    /// A rollout job.
    RolloutJob(RolloutJob),
    /// Shares of an organisation in pools.
    OrganisationShare(OrganisationShare),
    /// A pool of targets.
    TargetPool(TargetPool),
    /// A service-level objective.
    ServiceObjective(ServiceObjective),
}

impl AnySpec {
    /// Decodes and validates a stored value of `kind`.
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

/// Decodes and validates a stored value.
///
/// # Errors
///
/// Returns an error that names the field if the value is malformed or not allowed.
pub fn parse_spec<T: Spec>(value: &serde_json::Value) -> Result<T, ObjectError> {
    // The schema is checked first, because a value of a newer schema may have fields that this
    // build does not know.
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
/// Returns [`ObjectError::Name`] if the name is empty, too long or contains other characters than
/// `a-z`, `0-9`, `-` and `.`.
pub fn check_object_name(name: &str) -> Result<(), ObjectError> {
    let allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-' || c == b'.';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(ObjectError::Name(name.to_owned()));
    }
    Ok(())
}

/// Returns the identifier of the sample with number `index` in a group of a step of a rollout job.
pub fn sample_id(job: &JobName, step: u64, group: u32, index: u32) -> String {
    format!("{job}/{step}/{group}/{index}")
}
