//! Rollout jobs.

use serde::{Deserialize, Serialize};

use super::{
    Kind, ObjectError, Spec,
    check::{check_address, check_name, check_range, field},
};
use crate::id::{OrganisationId, PoolName};

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
