//! Index of the configured pools, organisations and jobs.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use deck_core::{
    hash::hash128,
    id::{JobName, OrganisationId, PoolName},
    object::{PoolType, RolloutJob, TargetPool, TargetState},
};
use deck_limit::{Admission, PoolCapacity, ShareAssignment};
use deck_peer::ConfigView;
use deck_route::Router;

use crate::request_head::CallHead;

/// Name and specification of a pool.
#[derive(Debug)]
pub(crate) struct PoolInfo {
    pub(crate) name: PoolName,
    pub(crate) spec: TargetPool,
}

impl PoolInfo {
    /// Returns `true` if calls to `path` are configured as idempotent, whatever their method.
    ///
    /// Prefixes match at path separators: `/read` matches `/read` and `/read/1`, but not
    /// `/readmit`.
    pub(crate) fn is_idempotent_path(&self, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        // The target may resolve a path with dot segments or encoded separators to a different
        // path than this check does.
        let decoded_path = path.to_ascii_lowercase().replace("%2e", ".");
        let is_ambiguous = decoded_path.split('/').any(|segment| segment == "." || segment == "..")
            || ["%2f", "%5c", "%25", "\\"].iter().any(|separator| decoded_path.contains(separator));
        !is_ambiguous
            && self.spec.idempotent_paths.iter().any(|prefix| {
                path.strip_prefix(prefix.as_str()).is_some_and(|rest| {
                    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
                })
            })
    }
}

/// Lookup tables of the configured pools, organisations and jobs. The first pool of a model serves
/// its completions.
#[derive(Default)]
pub(crate) struct PoolIndex {
    by_name: HashMap<PoolName, Rc<PoolInfo>>,
    by_model: HashMap<String, Rc<PoolInfo>>,
    organisations: HashSet<OrganisationId>,
    jobs: HashMap<JobName, JobInfo>,
}

/// What identifies the samples of a rollout job among the completions that callers request.
struct JobInfo {
    organisation: OrganisationId,
    pool: PoolName,
    /// Hashes of the job's prompts.
    prompt_hashes: HashSet<u128>,
}

impl From<RolloutJob> for JobInfo {
    fn from(job: RolloutJob) -> Self {
        let prompt_hashes = job.prompts.iter().map(|prompt| hash128(prompt.as_bytes())).collect();
        Self { organisation: job.organisation, pool: job.pool, prompt_hashes }
    }
}

impl PoolIndex {
    /// Returns the plain service pool with this name.
    pub(crate) fn service_pool(&self, name: &str) -> Option<Rc<PoolInfo>> {
        self.by_name.get(name).filter(|pool| pool.spec.pool_type == PoolType::Service).cloned()
    }

    /// Returns the engine pool that serves a model.
    pub(crate) fn pool_for_model(&self, model: &str) -> Option<Rc<PoolInfo>> {
        self.by_model.get(model).cloned()
    }

    pub(crate) fn is_configured_organisation(&self, name: &str) -> bool {
        self.organisations.contains(name)
    }

    pub(crate) fn is_configured_job(&self, name: &str) -> bool {
        self.jobs.contains_key(name)
    }

    /// Returns `true` if a completion generates a sample of the rollout job that it names. The
    /// prompt must be one of the job's, so that a caller cannot declare any other request to be one.
    pub(crate) fn is_job_sample(&self, head: &CallHead, pool: &str, prompt: &str) -> bool {
        let job = head.job.as_ref().and_then(|name| self.jobs.get(name));
        job.is_some_and(|job| {
            job.organisation == head.organisation
                && job.pool == pool
                && job.prompt_hashes.contains(&hash128(prompt.as_bytes()))
        })
    }

    /// Applies the current configuration to this index, the router and admission.
    pub(crate) fn apply_configuration(
        &mut self,
        config: &ConfigView,
        router: &Router,
        admission: &Admission,
    ) {
        let pools = config.pools();
        for name in self.by_name.keys() {
            if !pools.iter().any(|(current, ..)| current == name) {
                router.remove_pool(name);
                admission.remove_pool(name);
            }
        }
        let mut by_name = HashMap::new();
        let mut by_model = HashMap::new();
        for (name, _, spec) in pools {
            let unchanged = self.by_name.get(&name).filter(|info| info.spec == spec).cloned();
            let info = unchanged.unwrap_or_else(|| {
                router.update_pool(&name, &spec);
                admission.set_capacity(&name, pool_capacity(&spec));
                Rc::new(PoolInfo { name: name.clone(), spec })
            });
            if let Some(model) = &info.spec.model {
                by_model.entry(model.clone()).or_insert_with(|| info.clone());
            }
            by_name.insert(name, info);
        }
        self.by_name = by_name;
        self.by_model = by_model;
        self.organisations =
            config.organisation_shares().into_iter().map(|(name, ..)| name).collect();
        self.jobs =
            config.rollout_jobs().into_iter().map(|(name, _, job)| (name, job.into())).collect();
        let organisation_shares = config.organisation_shares().into_iter();
        let assignments: Vec<_> = organisation_shares
            .map(|(organisation, _, share)| ShareAssignment { organisation, share })
            .collect();
        admission.set_shares(&assignments);
    }
}

/// Returns the capacity of the active targets of a pool.
fn pool_capacity(spec: &TargetPool) -> PoolCapacity {
    let active_targets =
        spec.targets.iter().filter(|target| target.state == TargetState::Active).count();
    PoolCapacity { slots: spec.slots_per_target.saturating_mul(active_targets as u32) }
}
