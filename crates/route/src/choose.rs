//! Selection of one target of a pool for a call.

use std::{rc::Rc, time::Duration, time::Instant};

use deck_core::priority::Priority;
use rand::RngExt;

use crate::{
    PickError, PickRequest,
    load::LengthClass,
    pool::Pool,
    target::{Target, TargetState},
};

/// Result of target selection.
pub(crate) struct ChosenTarget {
    pub target: Rc<Target>,
    /// Whether the call is a health probe of an ejected target.
    pub is_probe: bool,
}

/// Eligible target and its estimated load if it took the call.
struct Candidate {
    index: usize,
    load: f64,
}

/// An interactive call probes an ejected target only if the probe has been due for this long;
/// until then probes are left to batch and rollout calls, which tolerate delay.
const INTERACTIVE_PROBE_DELAY: Duration = Duration::from_secs(2);
/// Load of a call that waits for a slot, relative to a running call.
const QUEUED_CALL_WEIGHT: f64 = 2.0;
/// Number of random draws of a target, after which all targets are scanned for an eligible one.
const MAX_RANDOM_DRAWS: usize = 8;
/// Bounds of the `retry_after` of a refused rollout call.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Pool {
    /// Selects a target for a call.
    ///
    /// Tries in this order: a target due for a health probe, the target that the affinity value
    /// prefers, the less loaded of two random targets of the subset, the least loaded target of the
    /// whole pool, and an ejected target.
    pub fn select_target(&mut self, request: &PickRequest<'_>) -> Result<ChosenTarget, PickError> {
        self.check_health(request.now);
        if let Some(target) = self.target_due_for_probe(request) {
            return Ok(ChosenTarget { target, is_probe: true });
        }
        let length_class = LengthClass::of(request.expected_tokens);
        let index = self
            .affinity_target(request, length_class)
            .or_else(|| self.sampled_target(request, length_class))
            .or_else(|| self.least_loaded_in_pool(request, length_class));
        match index {
            Some(index) => {
                Ok(ChosenTarget { target: self.targets[index].clone(), is_probe: false })
            }
            None => self.ejected_fallback(request),
        }
    }

    /// Returns an ejected target of the subset whose health probe is due and may be made by this
    /// call.
    fn target_due_for_probe(&self, request: &PickRequest<'_>) -> Option<Rc<Target>> {
        let delay = match request.priority {
            Priority::Interactive => INTERACTIVE_PROBE_DELAY,
            Priority::Batch | Priority::Rollout => Duration::ZERO,
        };
        let is_due = |target: &&Rc<Target>| {
            let state = target.state.borrow();
            !state.is_leaving()
                && state.health.probe_overdue(request.now).is_some_and(|overdue| overdue >= delay)
                && request.allows(&target.id)
        };
        self.subset_targets().find(is_due).cloned()
    }

    /// Returns the target with the highest affinity score, or `None` if its load is too far above
    /// that of the less loaded of two random targets.
    fn affinity_target(
        &mut self,
        request: &PickRequest<'_>,
        length_class: LengthClass,
    ) -> Option<usize> {
        let affinity_value = request.affinity?;
        let accepts_call = |index: &&usize| {
            let target = &self.targets[**index];
            target.state.borrow().accepts_calls() && request.allows(&target.id)
        };
        let available_targets = self.nearest_indexes().iter().filter(accepts_call);
        let index = *available_targets
            .max_by_key(|index| self.targets[**index].affinity_score(affinity_value))?;
        let load = self.load_if_eligible(index, request, length_class)?;
        let alternative =
            self.less_loaded_of_two(!self.subset.local.is_empty(), request, length_class)?;
        // The limit allows one extra call, because at low load the ratio alone would rule out a
        // second call on the same target.
        let max_load =
            alternative.load * self.options.max_affinity_load_ratio + 1.0 / f64::from(self.slots);
        (load <= max_load).then_some(index)
    }

    /// Returns the less loaded of two random local targets. Remote targets are considered if the
    /// local one's load reaches `spillover_load` or no local target is eligible.
    fn sampled_target(
        &mut self,
        request: &PickRequest<'_>,
        length_class: LengthClass,
    ) -> Option<usize> {
        let local_candidate = self.less_loaded_of_two(true, request, length_class);
        if local_candidate.as_ref().is_some_and(|local| local.load < self.options.spillover_load) {
            return local_candidate.map(|local| local.index);
        }
        let remote_candidate = self.less_loaded_of_two(false, request, length_class);
        match (local_candidate, remote_candidate) {
            (Some(local), Some(remote)) => {
                let prefers_local = remote.load * self.options.remote_load_penalty >= local.load;
                Some(if prefers_local { local.index } else { remote.index })
            }
            (local, remote) => local.or(remote).map(|chosen| chosen.index),
        }
    }

    /// Returns the less loaded of two random eligible targets of the subset: local ones if
    /// `is_local`, otherwise remote ones.
    fn less_loaded_of_two(
        &mut self,
        is_local: bool,
        request: &PickRequest<'_>,
        length_class: LengthClass,
    ) -> Option<Candidate> {
        let first_candidate = self.draw_eligible(is_local, None, request, length_class)?;
        match self.draw_eligible(is_local, Some(first_candidate.index), request, length_class) {
            Some(second_candidate) if second_candidate.load < first_candidate.load => {
                Some(second_candidate)
            }
            _ => Some(first_candidate),
        }
    }

    /// Returns a random eligible local or remote target other than `excluded_index`.
    fn draw_eligible(
        &mut self,
        is_local: bool,
        excluded_index: Option<usize>,
        request: &PickRequest<'_>,
        length_class: LengthClass,
    ) -> Option<Candidate> {
        let count = self.subset_indexes(is_local).len();
        if count == 0 {
            return None;
        }
        for _ in 0..MAX_RANDOM_DRAWS {
            let position = self.rng.random_range(0..count);
            let index = self.subset_indexes(is_local)[position];
            if Some(index) == excluded_index {
                continue;
            }
            if let Some(load) = self.load_if_eligible(index, request, length_class) {
                return Some(Candidate { index, load });
            }
        }
        let start = self.rng.random_range(0..count);
        (0..count).find_map(|offset| {
            let index = self.subset_indexes(is_local)[(start + offset) % count];
            let load = self.load_if_eligible(index, request, length_class)?;
            (Some(index) != excluded_index).then_some(Candidate { index, load })
        })
    }

    /// Returns the least loaded eligible target of the whole pool, for calls that no target of the
    /// subset can take.
    fn least_loaded_in_pool(
        &self,
        request: &PickRequest<'_>,
        length_class: LengthClass,
    ) -> Option<usize> {
        let loads = (0..self.targets.len()).filter_map(|index| {
            Some((self.load_if_eligible(index, request, length_class)?, index))
        });
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, index)| index)
    }

    /// Falls back to the ejected target with the fewest calls of this VM. Returns an error if a
    /// healthy target exists but has no capacity for the call, or if no target is left.
    fn ejected_fallback(&self, request: &PickRequest<'_>) -> Result<ChosenTarget, PickError> {
        let candidates = self
            .targets
            .iter()
            .filter(|target| !target.state.borrow().is_leaving() && request.allows(&target.id));
        let mut any_accepting = false;
        let mut least_loaded: Option<&Rc<Target>> = None;
        for target in candidates {
            any_accepting |= target.state.borrow().accepts_calls();
            let calls_of = |target: &Rc<Target>| target.state.borrow().load.calls();
            if least_loaded.is_none_or(|best| calls_of(target) < calls_of(best)) {
                least_loaded = Some(target);
            }
        }
        match least_loaded {
            _ if any_accepting => {
                Err(PickError::Busy(self.name.clone(), self.rollout_retry_after()))
            }
            Some(target) => Ok(ChosenTarget { target: target.clone(), is_probe: false }),
            None => Err(PickError::NoTarget(self.name.clone())),
        }
    }

    /// Returns the expected time until one of this VM's rollout calls in the pool ends.
    fn rollout_retry_after(&self) -> Duration {
        let rollout_calls: u32 =
            self.subset_targets().map(|target| target.state.borrow().load.rollout_calls()).sum();
        let duration = self.mean_rollout_duration.unwrap_or(Duration::from_secs(1));
        (duration / rollout_calls.max(1)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the local targets of the subset if `is_local`, otherwise the remote ones.
    fn subset_indexes(&self, is_local: bool) -> &[usize] {
        if is_local { &self.subset.local } else { &self.subset.remote }
    }

    /// Returns the local targets of the subset, or the remote ones if it has no local ones.
    fn nearest_indexes(&self) -> &[usize] {
        self.subset_indexes(!self.subset.local.is_empty())
    }

    /// Returns the projected load of a target if it may take the call.
    fn load_if_eligible(
        &self,
        index: usize,
        request: &PickRequest<'_>,
        length_class: LengthClass,
    ) -> Option<f64> {
        let target = &self.targets[index];
        let state = target.state.borrow();
        if !state.accepts_calls() || !request.allows(&target.id) {
            return None;
        }
        let external_calls = self.external_calls(&state, request.now);
        if request.priority == Priority::Rollout
            && !self.has_free_rollout_slot(&state, external_calls)
        {
            return None;
        }
        Some(self.projected_load(&state, external_calls, length_class, request.now))
    }

    /// Returns the estimated number of calls of other VMs on a target.
    pub(crate) fn external_calls(&self, state: &TargetState, now: Instant) -> f64 {
        state.load.external_calls(self.options.load_report_half_life, self.mean_external_calls, now)
    }

    /// Returns whether the target may run another rollout call. Rollouts are limited to
    /// `rollout_slots_percent` of the slots; each VM may use an equal share of that limit even if
    /// other VMs occupy more than theirs.
    fn has_free_rollout_slot(&self, state: &TargetState, external_calls: f64) -> bool {
        let rollout_limit =
            f64::from(self.slots * self.options.rollout_slots_percent.min(100)) / 100.0;
        let rollout_limit = rollout_limit.floor().max(1.0);
        let equal_share = (rollout_limit / self.subset.vms_per_target as f64).ceil();
        f64::from(state.load.rollout_calls()) < equal_share.max(rollout_limit - external_calls)
    }

    /// Returns the load of a target if it took the call: the calls that would run concurrently or
    /// wait for a slot, divided by the number of slots and scaled by the target's latency. For a target
    /// that is sensitive to its occupancy, also by the time that the call adds on it.
    fn projected_load(
        &self,
        state: &TargetState,
        external_calls: f64,
        length_class: LengthClass,
        now: Instant,
    ) -> f64 {
        let own_overlap = state.load.overlapping_calls(length_class);
        let calls = f64::from(state.load.calls());
        // Calls of other VMs are assumed to have the same length distribution as this VM's own.
        let overlap_per_call = if calls > 0.0 { own_overlap / calls } else { 1.0 };
        let slots = f64::from(self.slots);
        let queued_calls = (calls + external_calls + 1.0 - slots).max(0.0);
        let weighted_calls = own_overlap
            + external_calls * overlap_per_call
            + 1.0
            + queued_calls * QUEUED_CALL_WEIGHT;
        let occupancy = (calls + external_calls).round() as u32;
        let added_time = state.slowdown(now).map_or(1.0, |slowdown| slowdown.added_time(occupancy));
        weighted_calls / slots * self.latency_factor(state, now) * added_time
    }

    /// Returns a load multiplier from the target's latency relative to the pool's median. Pending
    /// calls that have already waited longer than completed calls took raise it.
    fn latency_factor(&self, state: &TargetState, now: Instant) -> f64 {
        let completed_ratio =
            state.health.mean_latency_ratio(&self.options.health, now).unwrap_or(1.0);
        let latency_ratio = completed_ratio.max(state.health.oldest_pending_call_ratio(now));
        let ratio = (latency_ratio / self.median_latency_ratio.max(1.0)).clamp(0.5, 10.0);
        ratio.powf(self.options.latency_exponent)
    }
}
