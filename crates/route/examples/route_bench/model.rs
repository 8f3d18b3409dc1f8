//! Simulation of targets and callers in virtual time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use deck_core::priority::Priority;
use deck_limit::{HedgeBudget, Permit};
use deck_route::{InFlightGuard, LoadReport, Outcome};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::policy::Policy;

/// Generation time per token of a call that runs alone.
const SINGLE_CALL_TOKEN_S: f64 = 0.008;
/// Relative increase of the generation time per token when the batch is full.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;
/// Interval between load reports, and the delay with which they are delivered.
const REPORT_INTERVAL_S: f64 = 0.5;
/// Delay before a call for which no target was available is tried again.
const RETRY_INTERVAL_S: f64 = 0.05;

/// One call of the simulated workload.
#[derive(Debug, Clone)]
pub struct SimulatedCall {
    pub arrival_s: f64,
    pub vm: usize,
    pub organisation: usize,
    pub priority: Priority,
    pub tokens: u32,
    /// Expected generation length that the router receives; differs from `tokens` by an error.
    pub expected_tokens: u64,
    pub deadline_s: f64,
}

/// Deployment size and faults of a simulation run.
#[derive(Debug, Clone)]
pub struct SimulationConfig {
    pub targets: usize,
    pub vms: usize,
    pub data_centres: usize,
    pub slots: u32,
    pub duration_s: f64,
    pub time_step_s: f64,
    /// Additional round-trip time between a VM and a target in different data centres.
    pub cross_dc_delay_s: f64,
    /// Number of targets that are slow now and then without showing it in their load reports.
    pub slowed_targets: usize,
    /// Factor by which a target generates more slowly while it is slow.
    pub slow_factor: f64,
    pub seed: u64,
}

/// Result of one completed call.
#[derive(Debug, Clone, Copy)]
pub struct CompletedCall {
    pub call_index: usize,
    pub first_byte_s: f64,
    pub total_s: f64,
    pub within_deadline: bool,
}

/// Result of a simulation run.
#[derive(Debug, Default)]
pub struct SimulationResults {
    pub completed: Vec<CompletedCall>,
    pub refused: usize,
    pub attempts: usize,
    pub hedges: usize,
    /// Slot time used by each organisation after the first quarter of the run.
    pub slot_time_s: [f64; 2],
}

/// Settings of hedged requests for interactive calls.
pub struct Hedging {
    /// Time from the start of a call until its hedge is sent if no first byte has arrived.
    pub hedge_delay_s: f64,
    pub budget: HedgeBudget,
}

/// One attempt of a call at a target.
struct Attempt {
    call_index: usize,
    target: usize,
    start_s: f64,
    remaining_tokens: f64,
    first_byte_s: Option<f64>,
    in_flight_guard: Option<InFlightGuard>,
    permit: Option<Permit>,
    cross_dc_delay_s: f64,
    is_hedge: bool,
    ended: bool,
}

/// Target that generates tokens for its running attempts.
#[derive(Default)]
struct SimulatedEngine {
    /// Indexes of the running attempts, at most one for each slot.
    running: Vec<usize>,
    /// Indexes of the attempts that wait for a slot, by priority.
    waiting: [VecDeque<usize>; 3],
    /// End of the current or last period in which the engine is slow.
    slow_until_s: f64,
    /// Start of the next such period.
    next_slow_s: f64,
    /// Running and waiting calls at the last report; the next report delivers them.
    last_counts: [u32; 2],
}

/// One simulation run of a workload under a policy.
pub struct Simulation<'a> {
    config: &'a SimulationConfig,
    calls: &'a [SimulatedCall],
    policy: Policy,
    hedging: Option<Hedging>,
    start_instant: Instant,
    engines: Vec<SimulatedEngine>,
    attempts: Vec<Attempt>,
    /// Index in `attempts` of the first attempt of each call.
    first_attempt: Vec<Option<usize>>,
    is_completed: Vec<bool>,
    /// Due times in seconds and call indexes of calls for which no target was available.
    retry_queue: VecDeque<(f64, usize)>,
    /// Due times in seconds and call indexes of possible hedges.
    hedge_queue: VecDeque<(f64, usize)>,
    rng: StdRng,
    results: SimulationResults,
}

impl<'a> Simulation<'a> {
    pub fn new(
        config: &'a SimulationConfig,
        calls: &'a [SimulatedCall],
        policy: Policy,
        hedging: Option<Hedging>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(config.seed ^ 0x5eed);
        let engines = (0..config.targets)
            .map(|_| SimulatedEngine {
                next_slow_s: rng.random_range(2.0..8.0),
                ..SimulatedEngine::default()
            })
            .collect();
        Self {
            config,
            calls,
            policy,
            hedging,
            start_instant: Instant::now(),
            engines,
            attempts: Vec::new(),
            first_attempt: vec![None; calls.len()],
            is_completed: vec![false; calls.len()],
            retry_queue: VecDeque::new(),
            hedge_queue: VecDeque::new(),
            rng,
            results: SimulationResults::default(),
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> SimulationResults {
        let mut next_call = 0;
        let mut next_report_s = REPORT_INTERVAL_S;
        let mut now_s = 0.0;
        while now_s < self.config.duration_s {
            if now_s >= next_report_s {
                self.exchange_reports(now_s);
                next_report_s += REPORT_INTERVAL_S;
            }
            while self.retry_queue.front().is_some_and(|(due_s, _)| *due_s <= now_s) {
                let (_, call_index) = self.retry_queue.pop_front().expect("checked");
                self.start(call_index, now_s);
            }
            while self.calls.get(next_call).is_some_and(|call| call.arrival_s <= now_s) {
                self.start(next_call, now_s);
                next_call += 1;
            }
            self.send_hedges(now_s);
            for target in 0..self.engines.len() {
                self.advance_engine(target, now_s);
            }
            now_s += self.config.time_step_s;
        }
        self.results
    }

    fn instant_at(&self, now_s: f64) -> Instant {
        self.start_instant + Duration::from_secs_f64(now_s)
    }

    /// Admits a call and sends its first attempt; schedules a retry if no target is available.
    fn start(&mut self, call_index: usize, now_s: f64) {
        let now = self.instant_at(now_s);
        let call = &self.calls[call_index];
        let permit =
            match self.policy.admit(call, now, self.instant_at(call.arrival_s + call.deadline_s)) {
                Ok(permit) => permit,
                Err(_) => {
                    self.results.refused += 1;
                    return;
                }
            };
        match self.policy.pick(call, None, now) {
            Some((target, in_flight_guard)) => {
                self.first_attempt[call_index] = Some(self.attempts.len());
                self.send(call_index, target, in_flight_guard, permit, false, now_s);
                if let Some(hedging) = &self.hedging
                    && call.priority == Priority::Interactive
                {
                    hedging.budget.record_call("p", "o");
                    self.hedge_queue.push_back((now_s + hedging.hedge_delay_s, call_index));
                }
            }
            // Rollout calls are retried until a target has a free rollout slot.
            None => {
                if let Some(permit) = permit {
                    permit.release(now);
                }
                self.retry_queue.push_back((now_s + RETRY_INTERVAL_S, call_index));
            }
        }
    }

    /// Queues an attempt at a target.
    fn send(
        &mut self,
        call_index: usize,
        target: usize,
        in_flight_guard: Option<InFlightGuard>,
        permit: Option<Permit>,
        is_hedge: bool,
        now_s: f64,
    ) {
        let call = &self.calls[call_index];
        let same_data_centre =
            call.vm % self.config.data_centres == target % self.config.data_centres;
        self.engines[target].waiting[call.priority as usize].push_back(self.attempts.len());
        self.results.attempts += 1;
        self.attempts.push(Attempt {
            call_index,
            target,
            start_s: now_s,
            remaining_tokens: f64::from(call.tokens),
            first_byte_s: None,
            in_flight_guard,
            permit,
            cross_dc_delay_s: if same_data_centre { 0.0 } else { self.config.cross_dc_delay_s },
            is_hedge,
            ended: false,
        });
    }

    /// Sends a hedged request for each call that has received no first byte within the hedging
    /// delay.
    fn send_hedges(&mut self, now_s: f64) {
        while self.hedge_queue.front().is_some_and(|(due_s, _)| *due_s <= now_s) {
            let (_, call_index) = self.hedge_queue.pop_front().expect("checked");
            let Some(first_index) = self.first_attempt[call_index] else { continue };
            let is_late =
                !self.is_completed[call_index] && self.attempts[first_index].first_byte_s.is_none();
            let budget = &self.hedging.as_ref().expect("hedging is on").budget;
            if !is_late || !budget.try_take_hedge("p", "o", true) {
                continue;
            }
            let (target, now) = (self.attempts[first_index].target, self.instant_at(now_s));
            if let Some((target, in_flight_guard)) =
                self.policy.pick(&self.calls[call_index], Some(target), now)
            {
                self.results.hedges += 1;
                self.send(call_index, target, in_flight_guard, None, true, now_s);
            }
        }
    }

    /// Starts waiting attempts in free slots and generates the tokens of one time step.
    fn advance_engine(&mut self, target: usize, now_s: f64) {
        let slots = self.config.slots as usize;
        let slowdown = self.slowdown_factor(target, now_s);
        let engine = &mut self.engines[target];
        while engine.running.len() < slots {
            let Some(attempt_index) = engine.waiting.iter_mut().find_map(VecDeque::pop_front)
            else {
                break;
            };
            if !self.attempts[attempt_index].ended {
                engine.running.push(attempt_index);
            }
        }
        let batch_fill = engine.running.len() as f64 / slots as f64;
        let tokens = self.config.time_step_s
            / (SINGLE_CALL_TOKEN_S * (1.0 + FULL_BATCH_SLOWDOWN * batch_fill) * slowdown);
        let mut running = std::mem::take(&mut engine.running);
        let end_s = now_s + self.config.time_step_s;
        running.retain(|attempt_index| self.advance_attempt(*attempt_index, tokens, end_s));
        self.engines[target].running = running;
    }

    /// Returns the factor by which a target is slowed now, and draws its next slow period when one
    /// begins.
    fn slowdown_factor(&mut self, target: usize, now_s: f64) -> f64 {
        if target >= self.config.slowed_targets {
            return 1.0;
        }
        let engine = &mut self.engines[target];
        if now_s >= engine.next_slow_s {
            engine.slow_until_s = now_s + self.rng.random_range(1.0..4.0);
            engine.next_slow_s = engine.slow_until_s + self.rng.random_range(3.0..10.0);
        }
        if now_s < engine.slow_until_s { self.config.slow_factor } else { 1.0 }
    }

    /// Generates tokens for an attempt; returns whether it is still running.
    fn advance_attempt(&mut self, attempt_index: usize, tokens: f64, end_s: f64) -> bool {
        let now = self.instant_at(end_s);
        let attempt = &mut self.attempts[attempt_index];
        if attempt.ended {
            return false;
        }
        attempt.remaining_tokens -= tokens;
        let generated_tokens =
            f64::from(self.calls[attempt.call_index].tokens) - attempt.remaining_tokens;
        if attempt.first_byte_s.is_none() && generated_tokens >= 1.0 {
            attempt.first_byte_s = Some(end_s);
            if let Some(in_flight_guard) = &mut attempt.in_flight_guard {
                in_flight_guard.record_first_byte(now);
            }
        }
        if attempt.remaining_tokens > 0.0 {
            return true;
        }
        self.complete_attempt(attempt_index, end_s);
        false
    }

    /// Records a completed attempt; the first of a call also completes the call.
    fn complete_attempt(&mut self, attempt_index: usize, end_s: f64) {
        let now = self.instant_at(end_s);
        let attempt = &mut self.attempts[attempt_index];
        attempt.ended = true;
        let call_index = attempt.call_index;
        let call = &self.calls[call_index];
        if let Some(in_flight_guard) = attempt.in_flight_guard.take() {
            in_flight_guard.finish(Outcome::Ok, u64::from(call.tokens), now);
        }
        self.policy.attempt_ended(call, attempt.target);
        let permit = attempt.permit.take();
        if end_s > self.config.duration_s / 4.0 {
            let from_s = attempt.start_s.max(self.config.duration_s / 4.0);
            self.results.slot_time_s[call.organisation] += end_s - from_s;
        }
        let first_byte_s =
            attempt.first_byte_s.unwrap_or(end_s) - call.arrival_s + attempt.cross_dc_delay_s;
        let total_s = end_s - call.arrival_s + attempt.cross_dc_delay_s;
        let was_hedge = attempt.is_hedge;
        if let Some(permit) = permit {
            permit.release(now);
        }
        if !std::mem::replace(&mut self.is_completed[call_index], true) {
            let within_deadline = total_s <= call.deadline_s;
            self.results.completed.push(CompletedCall {
                call_index,
                first_byte_s,
                total_s,
                within_deadline,
            });
            self.cancel_other_attempts(call_index, attempt_index, was_hedge, now);
        }
    }

    /// Cancels the remaining attempts of a call after one has completed.
    fn cancel_other_attempts(
        &mut self,
        call_index: usize,
        completed_attempt: usize,
        was_hedge: bool,
        now: Instant,
    ) {
        if !was_hedge && self.hedging.is_none() {
            return;
        }
        let first_index = self.first_attempt[call_index].unwrap_or(completed_attempt);
        let other_attempts = (first_index..self.attempts.len()).filter(|n| *n != completed_attempt);
        for attempt_index in other_attempts.collect::<Vec<_>>() {
            let attempt = &mut self.attempts[attempt_index];
            if attempt.call_index == call_index && !attempt.ended {
                attempt.ended = true;
                attempt.in_flight_guard = None;
                let (permit, target) = (attempt.permit.take(), attempt.target);
                if let Some(permit) = permit {
                    permit.release(now);
                }
                self.policy.attempt_ended(&self.calls[call_index], target);
            }
        }
    }

    /// Delivers the load reports of the previous interval, records new ones, and exchanges demand
    /// reports.
    fn exchange_reports(&mut self, now_s: f64) {
        let now = self.instant_at(now_s);
        for (target, engine) in self.engines.iter_mut().enumerate() {
            let waiting: usize = engine.waiting.iter().map(VecDeque::len).sum();
            let current_counts = [engine.running.len() as u32, waiting as u32];
            let [running, waiting] = std::mem::replace(&mut engine.last_counts, current_counts);
            let report = LoadReport {
                running,
                waiting,
                slots: self.config.slots,
                tokens_per_s: 0.0,
                age: Duration::from_secs_f64(REPORT_INTERVAL_S),
            };
            self.policy.report(target, report, now);
        }
        self.policy.exchange_demand_reports(now);
    }
}

/// Returns the calls per second that the targets can complete with full batches.
pub fn capacity_calls_per_s(config: &SimulationConfig, mean_tokens: f64) -> f64 {
    let per_target = f64::from(config.slots) / (SINGLE_CALL_TOKEN_S * (1.0 + FULL_BATCH_SLOWDOWN));
    per_target * config.targets as f64 / mean_tokens
}
