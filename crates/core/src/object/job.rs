//! Rollout jobs.

use serde::{Deserialize, Serialize};

use super::{
    Kind, ObjectError, Spec,
    check::{check_address, check_name, check_range, field_error},
};
use crate::id::{OrganisationId, PoolName};

/// Rollout job: generates samples of a model for one trainer.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutJob {
    /// Organisation whose share of the pool the job uses.
    pub organisation: OrganisationId,
    /// Engine pool that generates the samples.
    pub pool: PoolName,
    /// Address (`ip:port`) of the service that scores samples.
    pub scorer_address: String,
    /// Number of samples in a step. Invariant: a multiple of `group_size`.
    pub samples_per_step: u32,
    /// Number of samples of one prompt; they form a group, which is delivered to the trainer as a
    /// whole.
    pub group_size: u32,
    /// Maximum number of weight versions by which a sample may be behind the trainer when it is
    /// delivered.
    pub staleness_bound_versions: u64,
    /// Maximum number of generated tokens of a sample.
    pub max_tokens: u32,
    /// Time within which all samples of a step should be complete.
    pub step_deadline_ms: u64,
    /// Prompts, used in turn: group `g` of step `s` uses prompt `(s * groups + g) % prompts.len()`.
    pub prompts: Vec<String>,
    /// Whether the job is paused: it keeps its lease but dispatches no samples.
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
            return Err(field_error(
                "spec.samples_per_step",
                self.samples_per_step,
                format!("a multiple of spec.group_size ({})", self.group_size),
            ));
        }
        check_range("spec.staleness_bound_versions", self.staleness_bound_versions, 0, 1000)?;
        check_range("spec.max_tokens", u64::from(self.max_tokens), 1, 1_000_000)?;
        check_range("spec.step_deadline_ms", self.step_deadline_ms, 100, 86_400_000)?;
        if self.prompts.is_empty() {
            return Err(field_error("spec.prompts", "[]", "at least one prompt"));
        }
        Ok(())
    }
}
