//! Slots of one pool on one VM and their division among organisations.

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
    demand::{DemandEntry, DemandKey, Exchange, demand_key},
    estimate::{HoldTimes, RefusedDemand},
    queue::FairQueue,
    share::{Claim, divide},
};

/// Slots of one pool.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Slots of the pool over all VMs.
    pub capacity_slots: u32,
    /// Promised percentages add up to at most 100 after this factor.
    pub promise_factor: f64,
    organisations: BTreeMap<OrganisationId, Organisation>,
    /// Slots of this VM. Calls within a guarantee are admitted beyond it.
    slots: f64,
    /// Slots of this VM that no organisation demands.
    free: f64,
    used: u32,
    /// Borrowed slots that rollout calls hold.
    long_loans: u32,
    divided_at: Option<Instant>,
    hold_times: HoldTimes,
    pub queue: FairQueue<Waiter>,
}

#[derive(Debug, Default)]
struct Organisation {
    key: DemandKey,
    /// Promised percentage; 0 without a promise.
    promised_percent: f64,
    /// Slots that this VM always admits.
    guarantee: f64,
    /// Slots that this VM admits while it has free slots.
    limit: f64,
    used: u32,
    refused: RefusedDemand,
    /// When the last refused call was asked to come back.
    next_return: Option<Instant>,
}

/// Call that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub sender: oneshot::Sender<Permit>,
    pub slot: Slot,
    /// When the call must have been admitted.
    pub until: Instant,
}

/// Slot of one call, without the handle that frees it.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub organisation: OrganisationId,
    pub priority: Priority,
    pub cost_tokens: u64,
    pub admitted_at: Instant,
    /// Whether the slot counts as a long loan.
    pub long_loan: bool,
}

/// Demand below which an organisation without a promise is forgotten, in slots.
const FORGOTTEN_DEMAND: f64 = 0.01;

/// Why a call is not admitted at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The organisation has its share and nothing is left to lend.
    Share,
    /// The organisation has no promised share and nothing is left to lend.
    Capacity,
}

impl Pool {
    /// Sets the promised percentage of an organisation.
    pub fn set_promise(&mut self, pool: &str, organisation: &str, percent: f64) {
        self.organisation(pool, organisation).promised_percent = percent;
        self.divided_at = None;
    }

    /// Clears all promised percentages.
    pub fn clear_promises(&mut self) {
        for organisation in self.organisations.values_mut() {
            organisation.promised_percent = 0.0;
        }
        self.divided_at = None;
    }

    /// Scales promises down if they add up to more than the pool.
    pub fn balance_promises(&mut self) {
        let sum: f64 = self.organisations.values().map(|o| o.promised_percent).sum();
        self.promise_factor = if sum > 100.0 { 100.0 / sum } else { 1.0 };
        self.divided_at = None;
    }

    /// Divides the slots anew at the next call.
    pub fn invalidate(&mut self) {
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

    /// Divides the VM's slots, if that is due.
    pub fn divide(&mut self, options: &AdmissionOptions, exchange: &mut Exchange, now: Instant) {
        let due = |at| now.saturating_duration_since(at) >= options.divide_interval;
        if self.divided_at.is_some_and(|at| !due(at)) {
            return;
        }
        self.divided_at = Some(now);
        exchange.expire(options, now);
        self.forget_idle(now);
        let knowledge = exchange.knowledge(options, now);
        let capacity = f64::from(self.capacity_slots);
        let shared = capacity * knowledge.reported_part;
        let equal = capacity * knowledge.equal_part;
        // The VMs' parts follow the published demand, which all VMs know alike. With this VM's
        // current demand instead, VMs whose demand rises together would each take all of it.
        let weight = |o: &Organisation| o.weight(options, self.promise_factor);
        let published: Vec<_> = self
            .organisations
            .values()
            .map(|o| Published {
                own: exchange.own_demand(o.key),
                all: exchange.own_demand(o.key) + exchange.others_demand(o.key, options, now),
            })
            .collect();
        let claims: Vec<_> = self
            .organisations
            .values()
            .zip(&published)
            .map(|(o, published)| Claim { weight: weight(o), demand: published.all })
            .collect();
        let division = divide(shared, &claims);
        let parts = division.parts.iter().zip(&published);
        let by_demand: f64 = parts.map(|(part, published)| part * published.own_part()).sum();
        let unclaimed_part = knowledge.equal_part / knowledge.reported_part;
        self.slots = whole_slots(by_demand + division.left * unclaimed_part);
        let promise_factor = self.promise_factor;
        for (organisation, published) in self.organisations.values_mut().zip(&published) {
            let promised = organisation.promised_percent * promise_factor / 100.0;
            let by_demand = shared * published.own_part();
            organisation.guarantee = whole_slots(promised * by_demand.max(equal));
        }
        self.divide_locally(options, now);
    }

    /// Forgets calls that no longer wait, and organisations without promise and demand: their names
    /// come from callers, so their number has no bound of its own.
    fn forget_idle(&mut self, now: Instant) {
        self.queue.retain(|waiter| !waiter.sender.is_closed() && waiter.until > now);
        let queue = &self.queue;
        self.organisations.retain(|name, organisation| {
            organisation.promised_percent > 0.0
                || organisation.demand(queue.len_of(name), now) > FORGOTTEN_DEMAND
        });
    }

    /// Divides this VM's slots among its organisations by their current demand.
    fn divide_locally(&mut self, options: &AdmissionOptions, now: Instant) {
        let claim = |(name, organisation): (&OrganisationId, &Organisation)| Claim {
            weight: organisation.weight(options, self.promise_factor),
            demand: organisation.demand(self.queue.len_of(name), now),
        };
        let claims: Vec<_> = self.organisations.iter().map(claim).collect();
        let division = divide(self.slots, &claims);
        self.free = division.left;
        for (organisation, part) in self.organisations.values_mut().zip(division.parts) {
            organisation.limit = part;
        }
    }

    /// Takes a slot for a call, or returns the refusal.
    pub fn try_take(
        &mut self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
    ) -> Result<Slot, CallError> {
        self.check_deadline(request, options, Duration::ZERO)?;
        self.organisation(request.pool, request.organisation);
        match self.may_run(request.organisation, request.priority, options) {
            Ok(()) => {
                let weight = self.weight(request.organisation, options);
                self.queue.charge(request.organisation, weight, request.cost_tokens as f64);
                Ok(self.take(
                    request.organisation,
                    request.priority,
                    request.cost_tokens,
                    request.now,
                ))
            }
            Err(refusal) => Err(self.refuse(request, options, refusal)),
        }
    }

    /// Puts a call into the queue.
    pub fn enqueue(
        &mut self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
        sender: oneshot::Sender<Permit>,
    ) -> Result<(), CallError> {
        if self.queue.len_of(request.organisation) >= options.max_queue_calls {
            self.queue.retain(|waiter| !waiter.sender.is_closed() && waiter.until > request.now);
        }
        let ahead = self.queue.len_of(request.organisation);
        if ahead >= options.max_queue_calls {
            return Err(self.refuse(request, options, Refusal::Share));
        }
        let wait =
            self.slot_interval(request.organisation, request.priority).mul_f64(ahead as f64 + 1.0);
        if wait > options.max_wait {
            return Err(self.refuse(request, options, Refusal::Share));
        }
        self.check_deadline(request, options, wait)?;
        let slot = Slot {
            organisation: request.organisation.to_owned(),
            priority: request.priority,
            cost_tokens: request.cost_tokens,
            admitted_at: request.now,
            long_loan: false,
        };
        let until = request.deadline.min(request.now + options.max_wait);
        let weight = self.weight(request.organisation, options);
        let cost = request.cost_tokens as f64;
        let waiter = Waiter { sender, slot, until };
        self.queue.push(request.organisation, weight, request.priority, cost, waiter);
        Ok(())
    }

    /// Takes slots for waiting calls as long as there are any.
    pub fn take_for_waiting(&mut self, options: &AdmissionOptions, now: Instant) -> Vec<Waiter> {
        let mut granted = Vec::new();
        while !self.queue.is_empty() {
            let mut queue = std::mem::take(&mut self.queue);
            let next = queue.pop(|name, priority| self.may_run(name, priority, options).is_ok());
            self.queue = queue;
            let Some((organisation, mut waiter)) = next else { break };
            if waiter.sender.is_closed() || waiter.until <= now {
                continue;
            }
            let Slot { priority, cost_tokens, .. } = waiter.slot;
            waiter.slot = self.take(&organisation, priority, cost_tokens, now);
            granted.push(waiter);
        }
        granted
    }

    /// Frees a slot.
    pub fn free(&mut self, slot: &Slot, now: Option<Instant>) {
        self.used = self.used.saturating_sub(1);
        self.long_loans = self.long_loans.saturating_sub(u32::from(slot.long_loan));
        if let Some(organisation) = self.organisations.get_mut(&slot.organisation) {
            organisation.used = organisation.used.saturating_sub(1);
        }
        if let Some(now) = now {
            let held = now.saturating_duration_since(slot.admitted_at);
            self.hold_times.record(slot.priority, slot.cost_tokens, held);
        }
    }

    fn may_run(
        &self,
        organisation: &str,
        priority: Priority,
        options: &AdmissionOptions,
    ) -> Result<(), Refusal> {
        let Some(organisation) = self.organisations.get(organisation) else {
            return Err(Refusal::Capacity);
        };
        let used = f64::from(organisation.used);
        if used < organisation.guarantee {
            return Ok(());
        }
        let refusal =
            if organisation.promised_percent > 0.0 { Refusal::Share } else { Refusal::Capacity };
        let has_room = f64::from(self.used) < self.slots && used < organisation.limit + self.free;
        let long = priority == Priority::Rollout;
        if !has_room || (long && f64::from(self.long_loans) >= self.max_long_loans(options)) {
            return Err(refusal);
        }
        Ok(())
    }

    fn max_long_loans(&self, options: &AdmissionOptions) -> f64 {
        self.slots * f64::from(options.long_loan_percent) / 100.0
    }

    fn take(&mut self, name: &str, priority: Priority, cost_tokens: u64, now: Instant) -> Slot {
        self.used += 1;
        let mut long_loan = false;
        if let Some(organisation) = self.organisations.get_mut(name) {
            long_loan = priority == Priority::Rollout
                && f64::from(organisation.used) >= organisation.guarantee;
            organisation.used += 1;
        }
        self.long_loans += u32::from(long_loan);
        let organisation = name.to_owned();
        Slot { organisation, priority, cost_tokens, admitted_at: now, long_loan }
    }

    fn check_deadline(
        &self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
        wait: Duration,
    ) -> Result<(), CallError> {
        let run = self.hold_times.expected(request.priority, request.cost_tokens);
        let needed = wait.saturating_add(run.mul_f64(options.deadline_run_factor));
        let left = request.deadline.saturating_duration_since(request.now);
        if left.is_zero() || needed > left {
            let message = format!(
                "the call needs about {} ms and {} ms are left",
                needed.as_millis(),
                left.as_millis()
            );
            let error = CallError::new(ErrorKind::DeadlineBeforeRun, message);
            return Err(error.with_retry_after(wait.max(Duration::from_millis(1))));
        }
        Ok(())
    }

    /// Refuses a call and reserves the time at which it is asked to come back: each refused call
    /// of an organisation is asked for a later time, at the pace at which its slots become free.
    fn refuse(
        &mut self,
        request: &AdmitRequest<'_>,
        options: &AdmissionOptions,
        refusal: Refusal,
    ) -> CallError {
        let now = request.now;
        let interval = self.slot_interval(request.organisation, request.priority);
        let waiting = self.queue.len_of(request.organisation) as f64;
        let hold = self.hold_times.mean(request.priority);
        let organisation = self.organisation(request.pool, request.organisation);
        organisation.refused.add(hold, now);
        let latest = now + options.max_retry_after;
        let earliest = now + interval.mul_f64(waiting);
        let at = organisation.next_return.unwrap_or(now).max(earliest) + interval;
        let at = at.min(latest);
        organisation.next_return = Some(at);
        let (kind, message) = match refusal {
            Refusal::Share => (ErrorKind::ShareExhausted, "the organisation's share is in use"),
            Refusal::Capacity => (ErrorKind::Overloaded, "the pool is in use"),
        };
        CallError::new(kind, message).with_retry_after(at - now)
    }

    /// Returns the mean time between two slots of an organisation becoming free.
    fn slot_interval(&self, name: &str, priority: Priority) -> Duration {
        let slots = self.organisations.get(name).map_or(1.0, |organisation| {
            organisation.guarantee.max(organisation.limit).max(f64::from(organisation.used))
        });
        self.hold_times.mean(priority).div_f64(slots.max(1.0))
    }

    fn weight(&self, name: &str, options: &AdmissionOptions) -> f64 {
        let organisation = self.organisations.get(name);
        organisation.map_or(options.unpromised_weight_percent, |organisation| {
            organisation.weight(options, self.promise_factor)
        })
    }

    fn organisation(&mut self, pool: &str, name: &str) -> &mut Organisation {
        if !self.organisations.contains_key(name) {
            let key = demand_key(pool, name);
            let organisation = Organisation { key, ..Organisation::default() };
            self.organisations.insert(name.to_owned(), organisation);
        }
        self.organisations.entry(name.to_owned()).or_default()
    }
}

/// Rounds up to whole slots, so that a small part is not lost; less a rounding error.
fn whole_slots(slots: f64) -> f64 {
    (slots - 1e-6).ceil().max(0.0)
}

/// Published demand of one organisation.
struct Published {
    own: f64,
    all: f64,
}

impl Published {
    /// Returns this VM's part of the demand.
    fn own_part(&self) -> f64 {
        if self.all > 0.0 { self.own / self.all } else { 0.0 }
    }
}

impl Organisation {
    fn weight(&self, options: &AdmissionOptions, promise_factor: f64) -> f64 {
        (self.promised_percent * promise_factor).max(options.unpromised_weight_percent)
    }

    /// Returns the slots that the organisation could use now.
    fn demand(&self, waiting: usize, now: Instant) -> f64 {
        f64::from(self.used) + waiting as f64 + self.refused.slots(now)
    }
}
