//! Choice of one target among those of a pool.

use std::{rc::Rc, time::Duration, time::Instant};

use deck_core::priority::Priority;
use rand::RngExt;

use crate::{
    PickError, PickRequest,
    load::LengthClass,
    pool::Pool,
    target::{Target, TargetState},
};

/// Chosen target.
pub(crate) struct Chosen {
    pub target: Rc<Target>,
    /// Whether the call probes an ejected target.
    pub probe: bool,
}

/// A target and its load for the call at hand.
struct Candidate {
    index: usize,
    load: f64,
}

/// Time after which a due probe is no longer left to a call that nobody waits for.
const INTERACTIVE_PROBE_DELAY: Duration = Duration::from_secs(2);
/// Weight of a call that has to wait for a free slot, in calls that run.
const QUEUE_WEIGHT: f64 = 2.0;
/// Random draws before the targets are scanned for one that takes the call.
const MAX_DRAWS: usize = 8;
/// Bounds of the time after which a refused rollout should come back.
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(30);

impl Pool {
    /// Chooses a target for a call.
    pub fn choose(&mut self, request: &PickRequest<'_>) -> Result<Chosen, PickError> {
        self.check_health(request.now);
        if let Some(target) = self.due_probe(request) {
            return Ok(Chosen { target, probe: true });
        }
        let class = LengthClass::of(request.expected_tokens);
        let index = self
            .preferred(request, class)
            .or_else(|| self.sampled(request, class))
            .or_else(|| self.outside_subset(request, class));
        match index {
            Some(index) => Ok(Chosen { target: self.targets[index].clone(), probe: false }),
            None => self.last_resort(request),
        }
    }

    /// Returns an ejected target that is due for a probe by this call.
    fn due_probe(&self, request: &PickRequest<'_>) -> Option<Rc<Target>> {
        let delay = match request.priority {
            Priority::Interactive => INTERACTIVE_PROBE_DELAY,
            Priority::Batch | Priority::Rollout => Duration::ZERO,
        };
        let due = |target: &&Rc<Target>| {
            let state = target.state.borrow();
            !state.is_leaving()
                && state.health.probe_overdue(request.now).is_some_and(|overdue| overdue >= delay)
                && !request.exclude.contains(&target.id)
        };
        self.subset_targets().find(due).cloned()
    }

    /// Returns the target that the call's affinity prefers, unless it is loaded in comparison with
    /// the less loaded of two others.
    fn preferred(&mut self, request: &PickRequest<'_>, class: LengthClass) -> Option<usize> {
        let affinity = request.affinity?;
        let usable = |index: &&usize| {
            let target = &self.targets[**index];
            target.state.borrow().is_usable() && !request.exclude.contains(&target.id)
        };
        let ranked = self.first_choices().iter().filter(usable);
        let index = *ranked.max_by_key(|index| self.targets[**index].affinity_rank(affinity))?;
        let load = self.load_if_eligible(index, request, class)?;
        let other = self.better_of_two(!self.subset.local.is_empty(), request, class)?;
        // One call more is always allowed: at low load a factor alone would forbid any second call.
        let limit = other.load * self.options.affinity_load_factor + 1.0 / f64::from(self.slots);
        (load <= limit).then_some(index)
    }

    /// Chooses the less loaded of two random local targets, or of two remote ones if the local
    /// targets are loaded.
    fn sampled(&mut self, request: &PickRequest<'_>, class: LengthClass) -> Option<usize> {
        let local = self.better_of_two(true, request, class);
        if local.as_ref().is_some_and(|local| local.load < self.options.spill_load) {
            return local.map(|local| local.index);
        }
        let remote = self.better_of_two(false, request, class);
        match (local, remote) {
            (Some(local), Some(remote)) => {
                let near = remote.load * self.options.remote_load_factor >= local.load;
                Some(if near { local.index } else { remote.index })
            }
            (local, remote) => local.or(remote).map(|chosen| chosen.index),
        }
    }

    fn better_of_two(
        &mut self,
        local: bool,
        request: &PickRequest<'_>,
        class: LengthClass,
    ) -> Option<Candidate> {
        let first = self.draw(local, None, request, class)?;
        match self.draw(local, Some(first.index), request, class) {
            Some(second) if second.load < first.load => Some(second),
            _ => Some(first),
        }
    }

    /// Draws a random target that takes the call.
    fn draw(
        &mut self,
        local: bool,
        other_than: Option<usize>,
        request: &PickRequest<'_>,
        class: LengthClass,
    ) -> Option<Candidate> {
        let count = self.side(local).len();
        if count == 0 {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let position = self.rng.random_range(0..count);
            let index = self.side(local)[position];
            if Some(index) == other_than {
                continue;
            }
            if let Some(load) = self.load_if_eligible(index, request, class) {
                return Some(Candidate { index, load });
            }
        }
        let start = self.rng.random_range(0..count);
        (0..count).find_map(|offset| {
            let index = self.side(local)[(start + offset) % count];
            let load = self.load_if_eligible(index, request, class)?;
            (Some(index) != other_than).then_some(Candidate { index, load })
        })
    }

    /// Returns the least loaded target outside the subset, when none in the subset takes the call.
    fn outside_subset(&self, request: &PickRequest<'_>, class: LengthClass) -> Option<usize> {
        let loads = (0..self.targets.len())
            .filter_map(|index| Some((self.load_if_eligible(index, request, class)?, index)));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, index)| index)
    }

    /// Uses an ejected target rather than none.
    fn last_resort(&self, request: &PickRequest<'_>) -> Result<Chosen, PickError> {
        let present = self.targets.iter().filter(|target| {
            !target.state.borrow().is_leaving() && !request.exclude.contains(&target.id)
        });
        let mut busy = false;
        let mut ejected: Option<&Rc<Target>> = None;
        for target in present {
            busy |= target.state.borrow().is_usable();
            let calls = |target: &Rc<Target>| target.state.borrow().load.calls();
            if ejected.is_none_or(|best| calls(target) < calls(best)) {
                ejected = Some(target);
            }
        }
        match ejected {
            _ if busy => Err(PickError::Busy(self.name.clone(), self.rollout_retry())),
            Some(target) => Ok(Chosen { target: target.clone(), probe: false }),
            None => Err(PickError::NoTarget(self.name.clone())),
        }
    }

    /// Returns the time in which the next rollout call of this VM is expected to end.
    fn rollout_retry(&self) -> Duration {
        let rollouts: u32 =
            self.subset_targets().map(|target| target.state.borrow().load.rollouts()).sum();
        let duration = self.rollout_duration.unwrap_or(Duration::from_secs(1));
        (duration / rollouts.max(1)).clamp(MIN_RETRY, MAX_RETRY)
    }

    fn side(&self, local: bool) -> &[usize] {
        if local { &self.subset.local } else { &self.subset.remote }
    }

    fn first_choices(&self) -> &[usize] {
        self.side(!self.subset.local.is_empty())
    }

    fn load_if_eligible(
        &self,
        index: usize,
        request: &PickRequest<'_>,
        class: LengthClass,
    ) -> Option<f64> {
        let target = &self.targets[index];
        let state = target.state.borrow();
        if !state.is_usable() || request.exclude.contains(&target.id) {
            return None;
        }
        let others = self.others(&state, request.now);
        if request.priority == Priority::Rollout && !self.has_rollout_room(&state, others) {
            return None;
        }
        Some(self.load(&state, others, class, request.now))
    }

    fn others(&self, state: &TargetState, now: Instant) -> f64 {
        state.load.others(self.options.report_half_life, self.usual_others, now)
    }

    /// Returns whether the target takes another rollout call. The bound leaves slots for other
    /// work; however many calls other VMs run there, each VM keeps an equal part of the bound.
    fn has_rollout_room(&self, state: &TargetState, others: f64) -> bool {
        let bound = f64::from(self.slots * self.options.rollout_slots_percent.min(100)) / 100.0;
        let bound = bound.floor().max(1.0);
        let equal_part = (bound / self.subset.vms_per_target as f64).ceil();
        f64::from(state.load.rollouts()) < equal_part.max(bound - others)
    }

    /// Returns the load of a target for a call: the calls that it would run beside, in parts of the
    /// target's slots, times the target's slowness.
    fn load(&self, state: &TargetState, others: f64, class: LengthClass, now: Instant) -> f64 {
        let own = state.load.overlap(class);
        let calls = f64::from(state.load.calls());
        // Calls of other VMs are taken to be as long as this VM's own.
        let mix = if calls > 0.0 { own / calls } else { 1.0 };
        let slots = f64::from(self.slots);
        let queued = (calls + others + 1.0 - slots).max(0.0);
        let work = own + others * mix + 1.0 + queued * QUEUE_WEIGHT;
        work / slots * self.slowness_factor(state, now)
    }

    /// Returns the latency of a target in parts of the median, from responses and from calls that
    /// still wait for one.
    fn slowness_factor(&self, state: &TargetState, now: Instant) -> f64 {
        let answered = state.health.slowness(&self.options.health, now).unwrap_or(1.0);
        let slowness = answered.max(state.health.oldest_waiting_ratio(now));
        let ratio = (slowness / self.median_slowness.max(1.0)).clamp(0.5, 10.0);
        ratio.powf(self.options.slowness_weight)
    }
}
