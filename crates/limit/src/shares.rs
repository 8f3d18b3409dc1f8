//! Division of the room of services among organisations, by what one node sees of them.
//!
//! A node does not know how much room a service has. It knows what the service took from it, and that
//! the service is short of room when all targets refuse a request. Only then does the account count:
//! an organisation is held to its part while another one gets less than its own. The room that is
//! divided is an estimate, which each refusal by all targets lowers and time raises.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{
    hash::hash64,
    id::{OrganisationId, PoolName},
};

use crate::{
    TokenBucket,
    fair_division::{Claim, divide},
};

/// Options of [`Shares`].
#[derive(Debug, Clone)]
pub struct ShareOptions {
    /// How long a service counts as short of room after all its targets have refused a request or
    /// items have found no slot.
    pub shortage_duration: Duration,
    /// Time constant with which past use and refusals lose their weight. Long enough for a node that
    /// sees one request a second of an organisation.
    pub memory: Duration,
    /// Fraction of the room that is divided by demand, the rest being divided equally. An
    /// organisation is served at least this fraction as often as all together.
    pub by_demand_fraction: f64,
    /// Maximum Retry-After value of a refusal.
    pub max_retry_after: Duration,
    /// Maximum number of organisations whose use of a service is tracked.
    pub max_accounts: usize,
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            shortage_duration: Duration::from_millis(500),
            memory: Duration::from_secs(5),
            // Twice the quarter that is promised, as a node knows past demand only.
            by_demand_fraction: 0.5,
            max_retry_after: Duration::from_secs(2),
            max_accounts: 1024,
        }
    }
}

/// Refusal of a request whose organisation has taken more than its part of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareExceeded {
    /// Time after which the caller should try again; differs between requests.
    pub retry_after: Duration,
    /// Recent use of the service by the organisation, in seconds of its slots.
    pub taken_s: f64,
    /// Part of the organisation, in seconds of slots.
    pub part_s: f64,
}

/// Use of services by organisations, as seen by this node. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    options: Rc<ShareOptions>,
    services: Rc<RefCell<HashMap<PoolName, ServiceAccounts>>>,
}

/// Accounts of the organisations that use a service.
#[derive(Debug, Default)]
struct ServiceAccounts {
    /// Invariant: at most [`ShareOptions::max_accounts`] entries.
    organisations: HashMap<OrganisationId, Account>,
    /// Expected duration of what the service took lately, with [`RECENT_TIME`] as its memory.
    recently_taken: DecayingSum,
    /// Last shortage of room; `None` if there was none.
    shortage: Option<Shortage>,
    pruned_at: Option<Instant>,
}

/// Shortage of room of a service.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// When the service last had no room.
    last_at: Instant,
    /// When the estimate of the room was last lowered.
    lowered_at: Instant,
    /// Number of slots that this node could use at `lowered_at`.
    room_slots: f64,
}

impl Shortage {
    fn lasts(&self, options: &ShareOptions, now: Instant) -> bool {
        now.saturating_duration_since(self.last_at) < options.shortage_duration
    }

    /// Returns the estimate of the number of slots that this node can use.
    fn room_slots(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.lowered_at).min(MAX_RAISE_TIME);
        let steps = age.as_secs_f64() / ESTIMATE_STEP.as_secs_f64();
        self.room_slots * (1.0 + ROOM_RAISE_RATIO).powf(steps)
    }
}

/// Recent use of a service by an organisation, in seconds of its slots.
#[derive(Debug, Default)]
struct Account {
    /// Expected duration of the requests and runs that the service took.
    taken: DecayingSum,
    /// Expected duration of the requests that were refused.
    refused: DecayingSum,
    /// Requests that the organisation may send while it is held to its part.
    bucket: Option<TokenBucket>,
}

/// Sum whose terms decay exponentially.
#[derive(Debug, Default, Clone, Copy)]
struct DecayingSum {
    sum_at_update: f64,
    updated_at: Option<Instant>,
}

impl DecayingSum {
    fn add(&mut self, term: f64, memory: Duration, now: Instant) {
        self.sum_at_update = (self.value(memory, now) + term).max(0.0);
        self.updated_at = Some(now);
    }

    fn value(&self, memory: Duration, now: Instant) -> f64 {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.sum_at_update * (-age.as_secs_f64() / memory.as_secs_f64()).exp()
    }
}

/// Seconds of slots below which an account is dropped.
const MIN_TRACKED_S: f64 = 1e-4;
/// Minimum charge of a request, in seconds of a slot.
const MIN_COST_S: f64 = 1e-3;
/// Minimum time between two reductions of the estimated room.
const ESTIMATE_STEP: Duration = Duration::from_millis(100);
/// Fraction by which a refusal by all targets lowers the estimated room.
const ROOM_CUT_RATIO: f64 = 0.1;
/// Fraction by which the estimated room grows in each [`ESTIMATE_STEP`] without a refusal. Smaller
/// than the reduction, so that most requests of organisations within their parts find a free slot.
const ROOM_RAISE_RATIO: f64 = 0.03;
/// Memory of the use from which the room is first estimated.
const RECENT_TIME: Duration = Duration::from_millis(500);
/// Time for which the estimated room grows.
const MAX_RAISE_TIME: Duration = Duration::from_secs(2);
/// Time whose requests an organisation may send at once.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Fraction of its part that an organisation gets before the items of others give way. Items have due
/// times, and each change of their order by slack makes some of them late.
const MIN_ITEM_PART_FRACTION: f64 = 0.5;
/// Minimum fraction of its demand that an organisation must lack for others to give way.
const MIN_UNMET_FRACTION: f64 = 0.02;

impl Shares {
    /// Returns accounts without any use.
    pub fn new(options: ShareOptions) -> Self {
        Self { options: Rc::new(options), services: Rc::default() }
    }

    /// Charges a request that is about to be sent to a service, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the service is short of room, the organisation has taken its part and
    /// another one lacks some of its own.
    pub fn admit(
        &self,
        service: &str,
        organisation: &str,
        expected_duration: Duration,
        request_id: &str,
        now: Instant,
    ) -> Result<(), ShareExceeded> {
        let cost_s = expected_duration.as_secs_f64().max(MIN_COST_S);
        let limiting_part = self.limiting_part(service, organisation, cost_s, now);
        let memory_s = self.options.memory.as_secs_f64();
        self.with_account(service, organisation, now, |account, memory| {
            let Some(part) = limiting_part else {
                account.bucket = None;
                account.taken.add(cost_s, memory, now);
                return Ok(());
            };
            let requests_per_s = part.part_s / memory_s / cost_s;
            let new_bucket = || TokenBucket::with_depth(requests_per_s, BURST_TIME, now);
            let bucket = account.bucket.get_or_insert_with(new_bucket);
            bucket.set_rate(requests_per_s, now);
            let taken = bucket.try_take(now);
            let sum = if taken.is_ok() { &mut account.taken } else { &mut account.refused };
            sum.add(cost_s, memory, now);
            let latest = self.options.max_retry_after - self.options.shortage_duration;
            taken.map_err(|wait| ShareExceeded {
                retry_after: self.spread(wait.min(latest), request_id),
                taken_s: part.taken_s,
                part_s: part.part_s,
            })
        })
    }

    /// Adds to a time up to [`ShareOptions::shortage_duration`], which depends on the request, so that
    /// callers that are refused together do not return together.
    pub fn spread(&self, retry_after: Duration, request_id: &str) -> Duration {
        let fraction = hash64(request_id.as_bytes()) as f64 / u64::MAX as f64;
        retry_after + self.options.shortage_duration.mul_f64(fraction)
    }

    /// Records that all targets of a service refused a request that was admitted.
    pub fn record_refused_by_targets(
        &self,
        service: &str,
        organisation: &str,
        expected_duration: Duration,
        now: Instant,
    ) {
        let cost_s = expected_duration.as_secs_f64().max(MIN_COST_S);
        self.with_account(service, organisation, now, |account, memory| {
            account.taken.add(-cost_s, memory, now);
            account.refused.add(cost_s, memory, now);
        });
        self.record_shortage(service, now);
    }

    /// Records that a service has no room now.
    pub fn record_shortage(&self, service: &str, now: Instant) {
        let mut services = self.services.borrow_mut();
        let Some(accounts) = services.get_mut(service) else { return };
        let memory_s = self.options.memory.as_secs_f64();
        let recent_s = accounts.recently_taken.value(RECENT_TIME, now);
        let used_slots = (accounts.taken_s(&self.options, now) / memory_s)
            .max(recent_s / RECENT_TIME.as_secs_f64());
        let lasting = accounts.shortage.filter(|shortage| shortage.lasts(&self.options, now));
        let age = |at| now.saturating_duration_since(at);
        accounts.shortage = Some(match (lasting, accounts.shortage) {
            (Some(shortage), _) if age(shortage.lowered_at) < ESTIMATE_STEP => {
                Shortage { last_at: now, ..shortage }
            }
            (Some(shortage), _) => {
                // Refusals that do not lower the use do not show that there is less room.
                let room_slots = shortage.room_slots(now).max(used_slots) * (1.0 - ROOM_CUT_RATIO);
                Shortage { last_at: now, lowered_at: now, room_slots }
            }
            (None, earlier) => {
                let earlier_room = earlier.map_or(0.0, |shortage| shortage.room_slots(now));
                let room_slots = used_slots.max(earlier_room);
                Shortage { last_at: now, lowered_at: now, room_slots }
            }
        });
    }

    /// Charges the run of an item that starts.
    pub fn charge(
        &self,
        service: &str,
        organisation: &str,
        expected_duration: Duration,
        now: Instant,
    ) {
        self.with_account(service, organisation, now, |account, memory| {
            account.taken.add(expected_duration.as_secs_f64(), memory, now);
        });
    }

    /// Returns the organisations whose items give way, because they have taken their part of a service
    /// that is short of room while another one that waits has taken less than half of its own.
    /// `waiting` has the expected durations of the items that wait.
    pub fn organisations_beyond_part(
        &self,
        service: &str,
        waiting: &HashMap<OrganisationId, Duration>,
        now: Instant,
    ) -> HashSet<OrganisationId> {
        let services = self.services.borrow();
        let is_short = |shortage: &Shortage| shortage.lasts(&self.options, now);
        let accounts = services.get(service);
        let Some(accounts) = accounts.filter(|it| it.shortage.as_ref().is_some_and(is_short))
        else {
            return HashSet::new();
        };
        let waiting_s = |name: &str| waiting.get(name).map_or(0.0, Duration::as_secs_f64);
        let room_s = accounts.taken_s(&self.options, now);
        let parts = accounts.parts(&self.options, room_s, waiting, now);
        let others_lack = parts.iter().any(|(name, part)| {
            waiting_s(name) > 0.0 && part.taken_s < MIN_ITEM_PART_FRACTION * part.part_s
        });
        let beyond = parts.iter().filter(|(name, part)| waiting_s(name) > 0.0 && part.is_used());
        beyond.filter(|_| others_lack).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of organisations whose use of a service is tracked.
    pub fn account_count(&self, service: &str) -> usize {
        self.services.borrow().get(service).map_or(0, |accounts| accounts.organisations.len())
    }

    /// Returns the part to which an organisation is held, because the service is short of room and
    /// another organisation gets less than its own part.
    fn limiting_part(
        &self,
        service: &str,
        organisation: &str,
        cost_s: f64,
        now: Instant,
    ) -> Option<Part> {
        let services = self.services.borrow();
        let accounts = services.get(service)?;
        let shortage = accounts.shortage.filter(|shortage| shortage.lasts(&self.options, now))?;
        let asked = HashMap::from([(organisation.to_owned(), Duration::from_secs_f64(cost_s))]);
        let room_s = shortage.room_slots(now) * self.options.memory.as_secs_f64();
        let parts = accounts.parts(&self.options, room_s, &asked, now);
        let own = parts.get(organisation).filter(|part| part.is_limited())?;
        let others_lack =
            parts.iter().any(|(name, part)| name != organisation && part.lacks_room());
        others_lack.then_some(*own)
    }

    /// Calls `action` with the account of an organisation and [`ShareOptions::memory`].
    fn with_account<T>(
        &self,
        service: &str,
        organisation: &str,
        now: Instant,
        action: impl FnOnce(&mut Account, Duration) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            // Services that are no longer configured get no requests, and so lose their accounts.
            services.retain(|_, accounts| {
                accounts.prune(&self.options, now);
                !accounts.organisations.is_empty()
            });
        }
        let accounts = services.entry(service.to_owned()).or_default();
        let is_new = !accounts.organisations.contains_key(organisation);
        let is_full = is_new && accounts.organisations.len() >= self.options.max_accounts;
        let is_old = |at| now.saturating_duration_since(at) >= self.options.memory;
        if is_full || accounts.pruned_at.is_none_or(is_old) {
            accounts.prune(&self.options, now);
        }
        if is_new {
            accounts.make_room(&self.options, now);
        }
        let account = accounts.organisations.entry(organisation.to_owned()).or_default();
        let taken_before_s = account.taken.value(self.options.memory, now);
        let result = action(account, self.options.memory);
        let taken_s = account.taken.value(self.options.memory, now) - taken_before_s;
        accounts.recently_taken.add(taken_s, RECENT_TIME, now);
        result
    }
}

/// Recent use, demand and part of an organisation, in seconds of slots.
#[derive(Debug, Clone, Copy)]
struct Part {
    taken_s: f64,
    refused_s: f64,
    /// Whether a request was refused within [`ShareOptions::memory`].
    was_refused: bool,
    demand_s: f64,
    part_s: f64,
}

impl Part {
    fn is_used(&self) -> bool {
        self.taken_s >= self.part_s
    }

    /// Returns whether the part is smaller than the demand.
    fn is_limited(&self) -> bool {
        self.part_s < self.demand_s * (1.0 - MIN_UNMET_FRACTION)
    }

    /// Returns whether the organisation gets less than its part and than its demand.
    fn lacks_room(&self) -> bool {
        let recent_s = self.taken_s + self.refused_s;
        self.was_refused && !self.is_used() && self.refused_s > MIN_UNMET_FRACTION * recent_s
    }
}

impl ServiceAccounts {
    /// Returns the recent use of the service by all organisations.
    fn taken_s(&self, options: &ShareOptions, now: Instant) -> f64 {
        self.organisations.values().map(|account| account.taken.value(options.memory, now)).sum()
    }

    /// Divides `room_s` among the organisations. A fraction is divided by demand, the rest by max-min fairness
    /// with equal weights. `asked` is added to the demand.
    fn parts(
        &self,
        options: &ShareOptions,
        room_s: f64,
        asked: &HashMap<OrganisationId, Duration>,
        now: Instant,
    ) -> HashMap<OrganisationId, Part> {
        let untracked = asked.keys().filter(|name| !self.organisations.contains_key(*name));
        let tracked = self.organisations.iter().map(|(name, account)| {
            let value_s = |sum: &DecayingSum| sum.value(options.memory, now);
            (name, value_s(&account.taken), value_s(&account.refused))
        });
        let uses: Vec<_> = tracked.chain(untracked.map(|name| (name, 0.0, 0.0))).collect();
        let was_refused = |name: &str| {
            let refused = self.organisations.get(name).map(|account| account.refused);
            let refused_at = refused.and_then(|sum| sum.updated_at);
            refused_at.is_some_and(|at| now.saturating_duration_since(at) < options.memory)
        };
        let asked_s = |name: &str| asked.get(name).map_or(0.0, Duration::as_secs_f64);
        let demand_s = |(name, taken_s, refused_s): &(&OrganisationId, f64, f64)| {
            taken_s + refused_s + asked_s(name)
        };
        let total_demand_s: f64 = uses.iter().map(demand_s).sum::<f64>().max(MIN_TRACKED_S);
        let by_demand = (options.by_demand_fraction * room_s / total_demand_s).min(1.0);
        let remaining_claim = |organisation: &(&OrganisationId, f64, f64)| Claim {
            weight: 1.0,
            demand: demand_s(organisation) * (1.0 - by_demand),
        };
        let claims: Vec<_> = uses.iter().map(remaining_claim).collect();
        let division = divide(room_s - by_demand * total_demand_s, &claims);
        let parts = uses.iter().zip(division.allocations).map(|(organisation, equal_s)| {
            let (name, taken_s, refused_s) = *organisation;
            let demand_s = demand_s(organisation);
            let part_s = by_demand * demand_s + equal_s;
            let was_refused = was_refused(name);
            (name.clone(), Part { taken_s, refused_s, was_refused, demand_s, part_s })
        });
        parts.collect()
    }

    /// Drops the accounts whose use has decayed.
    fn prune(&mut self, options: &ShareOptions, now: Instant) {
        self.pruned_at = Some(now);
        let memory = options.memory;
        self.organisations.retain(|_, account| account.total_s(memory, now) > MIN_TRACKED_S);
    }

    /// Drops the account with the least use if there are as many as allowed.
    fn make_room(&mut self, options: &ShareOptions, now: Instant) {
        if self.organisations.len() < options.max_accounts {
            return;
        }
        let total_s = |account: &Account| account.total_s(options.memory, now);
        let least = self.organisations.iter().min_by(|a, b| total_s(a.1).total_cmp(&total_s(b.1)));
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.organisations.remove(&name);
        }
    }
}

impl Account {
    fn total_s(&self, memory: Duration, now: Instant) -> f64 {
        self.taken.value(memory, now) + self.refused.value(memory, now)
    }
}
