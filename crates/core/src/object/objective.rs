//! Service-level objectives.

use serde::{Deserialize, Serialize};

use super::{
    Kind, ObjectError, Spec,
    check::{check_name, check_range, field_error},
};
use crate::id::{OrganisationId, PoolName};

/// A service-level objective of one organisation in one pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// Organisation to which the objective applies.
    pub organisation: OrganisationId,
    /// Name of the pool to which the objective applies.
    pub pool: PoolName,
    /// Measured events, and which of them count as good.
    pub indicator: Indicator,
    /// Required share of good events, in percent, for example 99.9.
    pub objective_percent: f64,
    /// Length of the time window over which the error budget is computed, in hours.
    pub window_hours: u32,
}

/// What a service-level objective measures.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Indicator {
    /// Calls that do not end with a fault of the service (status 500 or above) or an unknown
    /// outcome.
    Availability,
    /// Calls answered within a time limit.
    Latency {
        /// Maximum duration of a good call, in milliseconds.
        bound_ms: u64,
    },
    /// Time during which the trainer is not idle; idle time counts as bad.
    TrainerIdle,
    /// Samples delivered within a staleness bound.
    Staleness {
        /// Maximum number of weight versions by which a good sample is behind the trainer.
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
            return Err(field_error("spec.objective_percent", self.objective_percent, allowed));
        }
        check_range("spec.window_hours", u64::from(self.window_hours), 1, 24 * 90)
    }
}
