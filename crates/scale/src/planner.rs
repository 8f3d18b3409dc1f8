//! Decision of the next order of a service.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use deck_core::id::DataCentreId;

use crate::{
    Ledger, Outcome, ServiceRecord, ServiceSnapshot, SpotKind, Subject,
    need::{BusySlots, UsualSpeed, targets_for_demand},
};

/// Limits of the decision.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// Time for which targets have to be missing before more are ordered, if the demand has grown. If
    /// targets are lost or slow, they have to be missing for the boot time: what has lasted for less
    /// may be over before a new target serves.
    pub rise_time: Duration,
    /// Time for which targets have to be superfluous before fewer are ordered.
    pub ebb_time: Duration,
    /// Time between two orders of fewer targets.
    pub ebb_step_time: Duration,
    /// Number of superfluous targets below which none is given up.
    pub ebb_margin: f64,
    /// Maximum number of targets as a multiple of those that were present before the first order.
    pub max_growth: f64,
    /// Maximum fraction of spot targets among the needed ones.
    pub max_spot_fraction: f64,
    /// Shortest wait after a refusal.
    pub min_refusal_backoff: Duration,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            rise_time: Duration::from_secs(1),
            ebb_time: Duration::from_secs(60),
            ebb_step_time: Duration::from_secs(10),
            ebb_margin: 2.0,
            max_growth: 2.0,
            max_spot_fraction: 1.0 / 3.0,
            min_refusal_backoff: Duration::ZERO,
        }
    }
}

/// Reason of an order, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Fewer targets are in the data centre than the bounds require.
    Minimum,
    /// The demand needs more targets than were present.
    Demand,
    /// Targets are lost, leaving or slow.
    Replacement,
    /// Targets have been superfluous for a long time.
    Ebb,
    /// An earlier call had no answer and may be executed late.
    Repetition,
}

impl Reason {
    /// Returns the label value used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Minimum => "minimum",
            Self::Demand => "demand",
            Self::Replacement => "replacement",
            Self::Ebb => "ebb",
            Self::Repetition => "repetition",
        }
    }
}

/// Order of an absolute number of targets.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// Targets that are ordered.
    pub subject: Subject,
    /// Number of targets.
    pub count: u32,
    /// Number ordered before.
    pub previous: u32,
    /// Reason of the order.
    pub reason: Reason,
    /// Number of usual targets that are needed.
    pub needed: f64,
    /// Number of usual targets that the ready and the expected ones are worth.
    pub available: f64,
}

/// Decides the orders of one service.
#[derive(Debug, Clone)]
pub struct Planner {
    options: PlannerOptions,
    ledger: Ledger,
    usual: UsualSpeed,
    busy: BusySlots,
    updated_at: Option<Instant>,
    missing_since: Option<Instant>,
    superfluous_since: Option<Instant>,
    gave_up_at: Option<Instant>,
}

/// Worth of the targets of a service, in targets of usual speed.
struct Worth {
    total: f64,
    /// Worth of the spot targets in each data centre.
    spot: BTreeMap<DataCentreId, f64>,
}

impl Worth {
    /// Returns the worth without the spot targets of the data centre that has the most of them.
    fn after_reclaim(&self) -> f64 {
        self.total - self.spot.values().copied().fold(0.0, f64::max)
    }

    fn add(&mut self, subject: &Subject, worth: f64) {
        self.total += worth;
        if subject.kind == SpotKind::Spot {
            *self.spot.entry(subject.data_centre.clone()).or_default() += worth;
        }
    }
}

impl Planner {
    /// Creates an instance that continues the orders of earlier leaders, if there are any.
    pub fn new(
        options: PlannerOptions,
        record: Option<&ServiceRecord>,
        boot_time: Duration,
        now: Instant,
    ) -> Self {
        let ledger = record.map(|record| Ledger::restore(record, boot_time, now));
        Self {
            options,
            ledger: ledger.unwrap_or_default(),
            usual: UsualSpeed::default(),
            busy: BusySlots::default(),
            updated_at: None,
            missing_since: None,
            superfluous_since: None,
            gave_up_at: None,
        }
    }

    /// Returns what the next leader needs to know; store it after [`Planner::begin`] and before the
    /// order is sent.
    pub fn record(&self) -> ServiceRecord {
        self.ledger.record()
    }

    /// Returns the number of regular targets that were present before the first order.
    pub fn total_present(&self) -> u32 {
        self.ledger.total_present()
    }

    /// Records that an order is about to be sent.
    pub fn begin(&mut self, order: &PlannedOrder) {
        self.ledger.begin(&order.subject, order.count);
    }

    /// Records that an order for which [`Planner::begin`] was called has not been sent.
    pub fn cancel(&mut self, order: &PlannedOrder) {
        self.ledger.cancel(&order.subject, order.previous);
    }

    /// Records the outcome of an order.
    pub fn end(
        &mut self,
        order: &PlannedOrder,
        outcome: Outcome,
        boot_time: Duration,
        now: Instant,
    ) {
        let min_backoff = self.options.min_refusal_backoff;
        self.ledger.end(&order.subject, order.previous, outcome, boot_time, min_backoff, now);
    }

    /// Returns the order to send now, if any.
    pub fn next_order(&mut self, service: &ServiceSnapshot, now: Instant) -> Option<PlannedOrder> {
        let worth = self.update(service, now);
        let needed = self.needed(service);
        let order = |subject: Subject, count, reason, ledger: &Ledger| {
            let previous = ledger.ordered(&subject.data_centre, subject.kind);
            let available = worth.total;
            PlannedOrder { subject, count, previous, reason, needed, available }
        };
        self.update_timers(&worth, needed, now);
        if let Some((subject, count)) = self.ledger.repetition(now) {
            return Some(order(subject, count, Reason::Repetition, &self.ledger));
        }
        if self.ledger.is_waiting_for_api(now) {
            return None;
        }
        if let Some((subject, count)) = self.minimum_order(service, now) {
            return Some(order(subject, count, Reason::Minimum, &self.ledger));
        }
        let is_demand = needed > f64::from(self.ledger.total_present());
        let (reason, rise_time) = match is_demand {
            true => (Reason::Demand, self.options.rise_time),
            false => (Reason::Replacement, self.options.rise_time.max(service.scaling.boot_time)),
        };
        if is_over(self.missing_since, rise_time, now)
            && let Some((subject, count)) = self.rise_order(service, &worth, needed, now)
        {
            return Some(order(subject, count, reason, &self.ledger));
        }
        let may_give_up = is_over(self.superfluous_since, self.options.ebb_time, now)
            && self.gave_up_at.is_none_or(|at| now >= at + self.options.ebb_step_time);
        if may_give_up && let Some((subject, count)) = self.ebb_order(service, &worth, needed) {
            self.gave_up_at = Some(now);
            return Some(order(subject, count, Reason::Ebb, &self.ledger));
        }
        None
    }

    /// Takes the live targets into account and returns what they are worth.
    fn update(&mut self, service: &ServiceSnapshot, now: Instant) -> Worth {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let mut live: BTreeMap<Subject, u32> = BTreeMap::new();
        let ready: Vec<_> = service.targets.iter().filter(|t| t.is_ready).cloned().collect();
        self.usual.update(&ready, elapsed.as_secs_f64());
        self.busy.update(&service.targets, elapsed.as_secs_f64());
        let mut worth = Worth { total: 0.0, spot: BTreeMap::new() };
        for target in &ready {
            let kind = if target.is_spot { SpotKind::Spot } else { SpotKind::Regular };
            let subject = Subject { data_centre: target.data_centre.clone(), kind };
            worth.add(&subject, self.usual.relative_speed(target));
            *live.entry(subject).or_default() += 1;
        }
        self.ledger.observe(&live, now);
        for data_centre in self.ledger.data_centres() {
            for kind in [SpotKind::Spot, SpotKind::Regular] {
                let expected = self.ledger.expected(&data_centre, kind, now);
                worth.add(&Subject { data_centre: data_centre.clone(), kind }, f64::from(expected));
            }
        }
        worth
    }

    /// Returns the number of targets of usual speed that the service needs.
    fn needed(&self, service: &ServiceSnapshot) -> f64 {
        let present = f64::from(self.ledger.total_present());
        let required = targets_for_demand(&service.demands, service.slots, self.usual.event_ms());
        // The required rate is an estimate from the last jobs; it is far too high for a while when a
        // restarted runner loads several jobs at once. The slots show whether the work is there.
        let demand = required.min(self.busy.needed_targets(service.slots)).ceil();
        demand.max(present).min(present * self.options.max_growth)
    }

    fn update_timers(&mut self, worth: &Worth, needed: f64, now: Instant) {
        let set = |timer: &mut Option<Instant>, holds: bool| match (holds, &timer) {
            (true, None) => *timer = Some(now),
            (false, _) => *timer = None,
            _ => {}
        };
        let available = worth.after_reclaim();
        set(&mut self.missing_since, available <= needed - 1.0);
        set(&mut self.superfluous_since, available >= needed + self.options.ebb_margin);
    }

    /// Returns an order for a data centre that is below its minimum.
    fn minimum_order(&self, service: &ServiceSnapshot, now: Instant) -> Option<(Subject, u32)> {
        let names = self.ledger.data_centres().into_iter();
        let mut below = names.filter_map(|data_centre| {
            let spot = self.ledger.ordered(&data_centre, SpotKind::Spot);
            let minimum = service.scaling.min_targets.saturating_sub(spot);
            let is_below = self.ledger.ordered(&data_centre, SpotKind::Regular) < minimum
                && self.ledger.is_available(&data_centre, SpotKind::Regular, now);
            is_below.then_some((Subject { data_centre, kind: SpotKind::Regular }, minimum))
        });
        below.next()
    }

    /// Returns the largest of the orders that together supply the missing targets.
    fn rise_order(
        &self,
        service: &ServiceSnapshot,
        worth: &Worth,
        needed: f64,
        now: Instant,
    ) -> Option<(Subject, u32)> {
        let mut worth = Worth { total: worth.total, spot: worth.spot.clone() };
        let mut added: BTreeMap<Subject, u32> = BTreeMap::new();
        let max_total = f64::from(self.ledger.total_present()) * self.options.max_growth;
        let max_spot = (needed * self.options.max_spot_fraction).ceil() as u32;
        while worth.after_reclaim() <= needed - 1.0 {
            let ordered = |data_centre: &DataCentreId, kind| {
                let subject = Subject { data_centre: data_centre.clone(), kind };
                let added = added.get(&subject).copied().unwrap_or(0);
                self.ledger.ordered(data_centre, kind) + added
            };
            let names = self.ledger.data_centres();
            let both = |name| ordered(name, SpotKind::Spot) + ordered(name, SpotKind::Regular);
            if f64::from(names.iter().map(both).sum::<u32>()) >= max_total {
                break;
            }
            let added_spot = added.iter().filter(|(subject, _)| subject.kind == SpotKind::Spot);
            let spot =
                self.ledger.total_spot(now) + added_spot.map(|(_, added)| added).sum::<u32>();
            let has_spot = service.scaling.spot_price_ratio.is_some() && spot < max_spot;
            // The spare for a reclaim consists of spot targets only.
            let is_spare = worth.total > needed - 1.0;
            let kinds: &[SpotKind] = match (has_spot, is_spare) {
                (true, true) => &[SpotKind::Spot],
                (true, false) => &[SpotKind::Spot, SpotKind::Regular],
                (false, true) => break,
                (false, false) => &[SpotKind::Regular],
            };
            let mut candidates = Vec::new();
            for data_centre in &names {
                if both(data_centre) >= service.scaling.max_targets {
                    continue;
                }
                for kind in kinds {
                    if self.ledger.is_available(data_centre, *kind, now) {
                        let extra =
                            both(data_centre).saturating_sub(self.ledger.present(data_centre));
                        let price = self.price(service, data_centre);
                        candidates.push((*kind, extra, price, data_centre.clone()));
                    }
                }
            }
            let best = candidates.into_iter().min_by(|a, b| {
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3))
            });
            let Some((kind, _, _, data_centre)) = best else { break };
            let subject = Subject { data_centre, kind };
            worth.add(&subject, 1.0);
            *added.entry(subject).or_default() += 1;
        }
        let (subject, added) = added.into_iter().max_by_key(|(_, added)| *added)?;
        let count = self.ledger.ordered(&subject.data_centre, subject.kind) + added;
        Some((subject, count))
    }

    /// Returns an order that gives up superfluous targets of the dearest data centre, of those that
    /// were not present before the first order.
    fn ebb_order(
        &self,
        service: &ServiceSnapshot,
        worth: &Worth,
        needed: f64,
    ) -> Option<(Subject, u32)> {
        let superfluous = (worth.after_reclaim() - needed).floor().max(0.0) as u32;
        let mut candidates = Vec::new();
        for data_centre in self.ledger.data_centres() {
            let price = self.price(service, &data_centre);
            for kind in [SpotKind::Regular, SpotKind::Spot] {
                let present = match kind {
                    SpotKind::Regular => self.ledger.present(&data_centre),
                    SpotKind::Spot => 0,
                };
                let ordered = self.ledger.ordered(&data_centre, kind);
                let others = match kind {
                    SpotKind::Regular => self.ledger.ordered(&data_centre, SpotKind::Spot),
                    SpotKind::Spot => self.ledger.ordered(&data_centre, SpotKind::Regular),
                };
                let lowest = present.max(service.scaling.min_targets.saturating_sub(others));
                let given_up = ordered.saturating_sub(lowest).min(superfluous);
                if given_up > 0 {
                    let ratio = match kind {
                        SpotKind::Regular => 1.0,
                        SpotKind::Spot => service.scaling.spot_price_ratio.unwrap_or(1.0),
                    };
                    let subject = Subject { data_centre: data_centre.clone(), kind };
                    candidates.push((price * ratio, subject, ordered - given_up));
                }
            }
        }
        let dearest = candidates.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
        dearest.map(|(_, subject, count)| (subject, count))
    }

    fn price(&self, service: &ServiceSnapshot, data_centre: &DataCentreId) -> f64 {
        service.scaling.data_centre_prices.get(data_centre).copied().unwrap_or(1.0)
    }
}

/// Returns whether a state has held for `time`.
fn is_over(since: Option<Instant>, time: Duration, now: Instant) -> bool {
    since.is_some_and(|since| now >= since + time)
}
