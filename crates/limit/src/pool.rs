//! Slots of a pool on one VM: their division among organisations, and admission to them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use deck_core::{
    error::{CallError, ErrorKind},
    id::OrganisationId,
    priority::Priority,
};
use tokio::sync::oneshot;

use crate::{
    AdmissionOptions, AdmitRequest, Permit,
    demand::{DemandEntry, DemandExchange, DemandKey, demand_key},
    estimate::{HoldTimes, RefusedDemand},
    fair_division::{Claim, divide},
    queue::FairQueue,
};

/// Slots of a pool that this VM assigns, and the calls that use them or wait for them.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Number of slots of the pool, summed over all VMs.
    pub capacity_slots: u32,
    /// Factor that scales the promised percentages so that they add up to at most 100.
    pub promise_scale: f64,
    organisations: BTreeMap<OrganisationId, Organisation>,
    /// Number of slots that this VM may assign. Calls within an organisation's guaranteed slots are
    /// admitted even when these slots are in use.
    local_slots: f64,
    /// Number of this VM's slots that the current demand of the organisations on it leaves unassigned.
    local_surplus_slots: f64,
    /// Number of slots that calls hold on this VM.
    used_slots: u32,
    /// Number of slots that rollout calls hold beyond the guaranteed slots of their organisations.
    rollout_loans: u32,
    /// Time of the last division of slots; `None` if a new one is due.
    divided_at: Option<Instant>,
    hold_times: HoldTimes,
    /// Calls that wait for a slot.
    pub queue: FairQueue<Waiter>,
}

/// Share, use and demand of one organisation in the pool.
#[derive(Debug, Default)]
struct Organisation {
    /// Key of the organisation and the pool in demand reports.
    key: DemandKey,
    /// Promised share of the pool in percent; 0 without a promised share.
    promised_percent: f64,
    /// Number of slots that the organisation always gets on this VM, even beyond the VM's slots.
    guaranteed_slots: f64,
    /// Number of slots that the organisation gets while the VM has free slots.
    assigned_slots: f64,
    /// Number of slots that calls of the organisation hold on this VM.
    used_slots: u32,
    /// Slots that recently refused calls would have used.
    refused_demand: RefusedDemand,
    /// Retry time that the last refusal gave to its caller; the next refusal gives a later one, up to
    /// [`AdmissionOptions::max_retry_after`], so that callers do not retry at the same time.
    next_retry_at: Option<Instant>,
}

/// Queued call that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Sends the permit to the caller; closed when the caller no longer waits.
    pub sender: oneshot::Sender<Permit>,
    pub slot: Slot,
    /// Time at which the call leaves the queue without a slot.
    pub expires_at: Instant,
}

/// Slot that a call holds, or is to hold while the call is queued.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub organisation: OrganisationId,
    pub priority: Priority,
    /// Tokens that the call is expected to generate.
    pub cost_tokens: u64,
    /// Time at which the call was admitted; while it is queued, the time of its request.
    pub admitted_at: Instant,
    /// Whether a rollout call holds the slot beyond its organisation's guaranteed slots.
    pub rollout_loan: bool,
}

/// Demand in slots below which an organisation without a promised share is removed.
const MIN_TRACKED_DEMAND_SLOTS: f64 = 0.01;

/// Why a call is not admitted at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The organisation uses its promised share and there is no slot to borrow.
    ShareExhausted,
    /// The organisation has no promised share and there is no slot to borrow.
    PoolExhausted,
}

impl Pool {
    /// Sets the promised share of an organisation in percent.
    pub fn set_promised_share(&mut self, pool: &str, organisation: &str, percent: f64) {
        self.organisation(pool, organisation).promised_percent = percent;
        self.divided_at = None;
    }

    /// Clears all promised shares.
    pub fn clear_promised_shares(&mut self) {
        for organisation in self.organisations.values_mut() {
            organisation.promised_percent = 0.0;
        }
        self.divided_at = None;
    }

    /// Scales the promised shares down if they add up to more than 100 percent.
    pub fn scale_promised_shares(&mut self) {
        let percent_sum: f64 = self.organisations.values().map(|o| o.promised_percent).sum();
        self.promise_scale = if percent_sum > 100.0 { 100.0 / percent_sum } else { 1.0 };
        self.divided_at = None;
    }

    /// Makes the next call of [`divide_if_due`](Self::divide_if_due) divide the slots.
    pub fn invalidate_division(&mut self) {
        self.divided_at = None;
    }

    /// Returns the demand of each organisation in slots.
    pub fn demand(&self, now: Instant) -> impl Iterator<Item = DemandEntry> {
        self.organisations.iter().map(move |(name, organisation)| {
            let demand = organisation.demand(self.queue.len_of(name), now);
            let demand = demand.min(f64::from(self.capacity_slots));
            DemandEntry(organisation.key, demand.ceil() as u32)
        })
    }

    /// Computes this VM's allocation of the pool's slots and divides it among organisations, if a division
    /// is due.
    pub fn divide_if_due(
        &mut self,
        options: &AdmissionOptions,
        exchange: &mut DemandExchange,
        now: Instant,
    ) {
        let is_due = |at| now.saturating_duration_since(at) >= options.divide_interval;
        if self.divided_at.is_some_and(|at| !is_due(at)) {
            return;
        }
        self.divided_at = Some(now);
        exchange.expire(options, now);
        self.remove_idle(now);
        let fractions = exchange.capacity_fractions(options, now);
        let capacity = f64::from(self.capacity_slots);
        let reported_capacity = capacity * fractions.reported_fraction;
        let equal_allocation = capacity * fractions.equal_fraction;
        // The VMs' allocations depend on the reported demand, which is the same at all VMs. If each VM used
        // its own current demand, VMs whose demand rises together would claim the same slots.
        let weight = |o: &Organisation| o.weight(options, self.promise_scale);
        let reported_demands: Vec<_> = self
            .organisations
            .values()
            .map(|o| ReportedDemand {
                local: exchange.local_demand(o.key),
                total: exchange.local_demand(o.key) + exchange.remote_demand(o.key, options, now),
            })
            .collect();
        let claims: Vec<_> = self
            .organisations
            .values()
            .zip(&reported_demands)
            .map(|(o, reported_demand)| Claim { weight: weight(o), demand: reported_demand.total })
            .collect();
        let division = divide(reported_capacity, &claims);
        let allocations = division.allocations.iter().zip(&reported_demands);
        let demanded_slots: f64 = allocations
            .map(|(slots, reported_demand)| slots * reported_demand.local_fraction())
            .sum();
        let surplus_fraction = fractions.equal_fraction / fractions.reported_fraction;
        self.local_slots =
            round_up_slots(demanded_slots + division.surplus_slots * surplus_fraction);
        let promise_scale = self.promise_scale;
        for (organisation, reported_demand) in
            self.organisations.values_mut().zip(&reported_demands)
        {
            let promised_fraction = organisation.promised_percent * promise_scale / 100.0;
            let slots_by_demand = reported_capacity * reported_demand.local_fraction();
            organisation.guaranteed_slots =
                round_up_slots(promised_fraction * slots_by_demand.max(equal_allocation));
        }
        self.divide_local_slots(options, now);
    }

    /// Removes calls that no longer wait, and organisations that have neither a promised share nor
    /// demand. Callers can invent names of organisations, so their number is otherwise unbounded.
    fn remove_idle(&mut self, now: Instant) {
        self.queue.retain(|waiter| !waiter.sender.is_closed() && waiter.expires_at > now);
        let queue = &self.queue;
        self.organisations.retain(|name, organisation| {
            organisation.promised_percent > 0.0
                || organisation.demand(queue.len_of(name), now) > MIN_TRACKED_DEMAND_SLOTS
        });
    }

    /// Divides this VM's slots among its organisations by their current demand.
    fn divide_local_slots(&mut self, options: &AdmissionOptions, now: Instant) {
        let claim = |(name, organisation): (&OrganisationId, &Organisation)| Claim {
            weight: organisation.weight(options, self.promise_scale),
            demand: organisation.demand(self.queue.len_of(name), now),
        };
        let claims: Vec<_> = self.organisations.iter().map(claim).collect();
        let division = divide(self.local_slots, &claims);
        self.local_surplus_slots = division.surplus_slots;
        for (organisation, slots) in self.organisations.values_mut().zip(division.allocations) {
            organisation.assigned_slots = slots;
        }
    }

    /// Takes a slot for a call, or returns a refusal.
    pub fn try_take(
        &mut self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
    ) -> Result<Slot, CallError> {
        self.check_deadline(request, options, Duration::ZERO)?;
        self.organisation(request.pool, request.organisation);
        match self.check_available(request.organisation, request.priority, options) {
            Ok(()) => {
                let weight = self.weight(request.organisation, options);
                self.queue.charge(request.organisation, weight, request.cost_tokens as f64);
                Ok(self.occupy_slot(
                    request.organisation,
                    request.priority,
                    request.cost_tokens,
                    request.now,
                ))
            }
            Err(refusal) => Err(self.refuse(request, options, refusal)),
        }
    }

    /// Queues a call, or refuses it if it would wait for too long.
    pub fn enqueue(
        &mut self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
        sender: oneshot::Sender<Permit>,
    ) -> Result<(), CallError> {
        if self.queue.len_of(request.organisation) >= options.max_queued_calls {
            self.queue
                .retain(|waiter| !waiter.sender.is_closed() && waiter.expires_at > request.now);
        }
        let queued_before = self.queue.len_of(request.organisation);
        if queued_before >= options.max_queued_calls {
            return Err(self.refuse(request, options, Refusal::ShareExhausted));
        }
        let wait = self
            .mean_slot_interval(request.organisation, request.priority)
            .mul_f64(queued_before as f64 + 1.0);
        if wait > options.max_wait {
            return Err(self.refuse(request, options, Refusal::ShareExhausted));
        }
        self.check_deadline(request, options, wait)?;
        let slot = Slot {
            organisation: request.organisation.to_owned(),
            priority: request.priority,
            cost_tokens: request.cost_tokens,
            admitted_at: request.now,
            rollout_loan: false,
        };
        let expires_at = request.deadline.min(request.now + options.max_wait);
        let weight = self.weight(request.organisation, options);
        let cost = request.cost_tokens as f64;
        let waiter = Waiter { sender, slot, expires_at };
        self.queue.push(request.organisation, weight, request.priority, cost, waiter);
        Ok(())
    }

    /// Admits queued calls while slots are available; returns these calls with their slots.
    pub fn take_slots_for_queued(
        &mut self,
        options: &AdmissionOptions,
        now: Instant,
    ) -> Vec<Waiter> {
        let mut admitted_waiters = Vec::new();
        while !self.queue.is_empty() {
            let mut queue = std::mem::take(&mut self.queue);
            let next =
                queue.pop(|name, priority| self.check_available(name, priority, options).is_ok());
            self.queue = queue;
            let Some((organisation, mut waiter)) = next else { break };
            if waiter.sender.is_closed() || waiter.expires_at <= now {
                continue;
            }
            let Slot { priority, cost_tokens, .. } = waiter.slot;
            waiter.slot = self.occupy_slot(&organisation, priority, cost_tokens, now);
            admitted_waiters.push(waiter);
        }
        admitted_waiters
    }

    /// Frees a slot; `now` is the end of the call if known.
    pub fn free(&mut self, slot: &Slot, now: Option<Instant>) {
        self.used_slots = self.used_slots.saturating_sub(1);
        self.rollout_loans = self.rollout_loans.saturating_sub(u32::from(slot.rollout_loan));
        if let Some(organisation) = self.organisations.get_mut(&slot.organisation) {
            organisation.used_slots = organisation.used_slots.saturating_sub(1);
        }
        if let Some(now) = now {
            let hold_time = now.saturating_duration_since(slot.admitted_at);
            self.hold_times.record(slot.priority, slot.cost_tokens, hold_time);
        }
    }

    /// Checks that a call of an organisation can get a slot now; returns the reason if it cannot.
    fn check_available(
        &self,
        organisation: &str,
        priority: Priority,
        options: &AdmissionOptions,
    ) -> Result<(), Refusal> {
        let Some(organisation) = self.organisations.get(organisation) else {
            return Err(Refusal::PoolExhausted);
        };
        let used = f64::from(organisation.used_slots);
        if used < organisation.guaranteed_slots {
            return Ok(());
        }
        let refusal = if organisation.promised_percent > 0.0 {
            Refusal::ShareExhausted
        } else {
            Refusal::PoolExhausted
        };
        let has_free_slot = f64::from(self.used_slots) < self.local_slots
            && used < organisation.assigned_slots + self.local_surplus_slots;
        let is_rollout = priority == Priority::Rollout;
        if !has_free_slot
            || (is_rollout && f64::from(self.rollout_loans) >= self.max_rollout_loans(options))
        {
            return Err(refusal);
        }
        Ok(())
    }

    /// Returns the maximum number of slots that rollout calls may borrow.
    fn max_rollout_loans(&self, options: &AdmissionOptions) -> f64 {
        self.local_slots * f64::from(options.max_rollout_loan_percent) / 100.0
    }

    /// Marks a slot as used by a call.
    fn occupy_slot(
        &mut self,
        name: &str,
        priority: Priority,
        cost_tokens: u64,
        now: Instant,
    ) -> Slot {
        self.used_slots += 1;
        let mut rollout_loan = false;
        if let Some(organisation) = self.organisations.get_mut(name) {
            rollout_loan = priority == Priority::Rollout
                && f64::from(organisation.used_slots) >= organisation.guaranteed_slots;
            organisation.used_slots += 1;
        }
        self.rollout_loans += u32::from(rollout_loan);
        let organisation = name.to_owned();
        Slot { organisation, priority, cost_tokens, admitted_at: now, rollout_loan }
    }

    /// Checks that a call which waits for `wait` can finish before its deadline.
    fn check_deadline(
        &self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
        wait: Duration,
    ) -> Result<(), CallError> {
        let expected_run = self.hold_times.expected_run_time(request.priority, request.cost_tokens);
        let time_needed = wait.saturating_add(expected_run.mul_f64(options.required_run_fraction));
        let time_left = request.deadline.saturating_duration_since(request.now);
        if time_left.is_zero() || time_needed > time_left {
            let message = format!(
                "the call needs about {} ms and {} ms are left",
                time_needed.as_millis(),
                time_left.as_millis()
            );
            let error = CallError::new(ErrorKind::DeadlineBeforeRun, message);
            return Err(error.with_retry_after(wait.max(Duration::from_millis(1))));
        }
        Ok(())
    }

    /// Refuses a call and reserves a time at which the caller is to retry. Refused calls of one
    /// organisation get successive times, spaced by the mean time between its slots becoming free.
    fn refuse(
        &mut self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
        refusal: Refusal,
    ) -> CallError {
        let now = request.now;
        let interval = self.mean_slot_interval(request.organisation, request.priority);
        let queued_calls = self.queue.len_of(request.organisation) as f64;
        let hold_time = self.hold_times.mean(request.priority);
        let organisation = self.organisation(request.pool, request.organisation);
        organisation.refused_demand.add(hold_time, now);
        let latest_retry_at = now + options.max_retry_after;
        let earliest_retry_at = now + interval.mul_f64(queued_calls);
        let retry_at = organisation.next_retry_at.unwrap_or(now).max(earliest_retry_at) + interval;
        let retry_at = retry_at.min(latest_retry_at);
        organisation.next_retry_at = Some(retry_at);
        let (kind, message) = match refusal {
            Refusal::ShareExhausted => {
                (ErrorKind::ShareExhausted, "the organisation's share is in use")
            }
            Refusal::PoolExhausted => (ErrorKind::Overloaded, "the pool is in use"),
        };
        CallError::new(kind, message).with_retry_after(retry_at - now)
    }

    /// Returns the mean time from one slot of an organisation becoming free to the next.
    fn mean_slot_interval(&self, name: &str, priority: Priority) -> Duration {
        let slots = self.organisations.get(name).map_or(1.0, |organisation| {
            organisation
                .guaranteed_slots
                .max(organisation.assigned_slots)
                .max(f64::from(organisation.used_slots))
        });
        self.hold_times.mean(priority).div_f64(slots.max(1.0))
    }

    /// Returns the weight of an organisation in the division of slots and in the queue.
    fn weight(&self, name: &str, options: &AdmissionOptions) -> f64 {
        let organisation = self.organisations.get(name);
        organisation.map_or(options.default_weight_percent, |organisation| {
            organisation.weight(options, self.promise_scale)
        })
    }

    /// Returns an organisation; adds it if it is unknown.
    fn organisation(&mut self, pool: &str, name: &str) -> &mut Organisation {
        if !self.organisations.contains_key(name) {
            let key = demand_key(pool, name);
            let organisation = Organisation { key, ..Organisation::default() };
            self.organisations.insert(name.to_owned(), organisation);
        }
        self.organisations.entry(name.to_owned()).or_default()
    }
}

/// Rounds up to whole slots, so that a small allocation still gets one. Tolerates rounding errors.
fn round_up_slots(slots: f64) -> f64 {
    (slots - 1e-6).ceil().max(0.0)
}

/// Demand of one organisation as reported by the VMs, in slots.
struct ReportedDemand {
    /// Demand at this VM.
    local: f64,
    /// Demand at all VMs with fresh reports.
    total: f64,
}

impl ReportedDemand {
    /// Returns this VM's fraction of the demand.
    fn local_fraction(&self) -> f64 {
        if self.total > 0.0 { self.local / self.total } else { 0.0 }
    }
}

impl Organisation {
    /// Returns the weight in percent: the scaled promised share, but at least the default weight.
    fn weight(&self, options: &AdmissionOptions, promise_scale: f64) -> f64 {
        (self.promised_percent * promise_scale).max(options.default_weight_percent)
    }

    /// Returns the number of slots that the organisation could use now: for running, queued and
    /// recently refused calls.
    fn demand(&self, queued_calls: usize, now: Instant) -> f64 {
        f64::from(self.used_slots) + queued_calls as f64 + self.refused_demand.slots(now)
    }
}
