//! Small model of targets and callers in virtual time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use deck_core::priority::Priority;
use deck_limit::{HedgeBudget, Permit};
use deck_route::{InFlightGuard, LoadReport, Outcome};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::policy::Policy;

/// Time of one token of a call that runs alone.
const TOKEN_S: f64 = 0.008;
/// Part by which a full batch is slower than a single call.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Time between two load reports, and the lag with which they arrive.
const REPORT_S: f64 = 0.5;
/// Time after which a rollout that found no room asks again.
const RETRY_S: f64 = 0.05;

/// One call of the workload.
#[derive(Debug, Clone)]
pub struct Job {
    pub arrival_s: f64,
    pub vm: usize,
    pub organisation: usize,
    pub priority: Priority,
    pub tokens: u32,
    /// Tokens that the caller expects.
    pub expected_tokens: u64,
    pub deadline_s: f64,
}

/// Size and disturbances of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    pub targets: usize,
    pub vms: usize,
    pub data_centres: usize,
    pub slots: u32,
    pub duration_s: f64,
    pub step_s: f64,
    /// Extra time between VMs and targets of different data centres, both ways.
    pub remote_s: f64,
    /// Targets with moments of slowness that no report shows.
    pub slowed_targets: usize,
    pub slow_factor: f64,
    pub seed: u64,
}

/// Result of one call.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    pub job: usize,
    pub first_byte_s: f64,
    pub total_s: f64,
    pub in_time: bool,
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Results {
    pub ended: Vec<Ended>,
    pub refused: usize,
    pub attempts: usize,
    pub hedges: usize,
    /// Slot time by organisation, from a quarter of the run on.
    pub slot_s: [f64; 2],
}

/// Hedging of interactive calls.
pub struct Hedging {
    pub delay_s: f64,
    pub budget: HedgeBudget,
}

struct Attempt {
    job: usize,
    target: usize,
    start_s: f64,
    left_tokens: f64,
    first_byte_s: Option<f64>,
    guard: Option<InFlightGuard>,
    permit: Option<Permit>,
    remote_s: f64,
    hedge: bool,
    over: bool,
}

#[derive(Default)]
struct Engine {
    running: Vec<usize>,
    waiting: [VecDeque<usize>; 3],
    slow_until_s: f64,
    next_slow_s: f64,
    reported: [u32; 2],
}

/// One run of a workload under a policy.
pub struct Run<'a> {
    setup: &'a Setup,
    jobs: &'a [Job],
    policy: Policy,
    hedging: Option<Hedging>,
    base: Instant,
    engines: Vec<Engine>,
    attempts: Vec<Attempt>,
    /// First attempt of each job, and whether it has been answered.
    first: Vec<Option<usize>>,
    answered: Vec<bool>,
    backlog: VecDeque<(f64, usize)>,
    hedge_queue: VecDeque<(f64, usize)>,
    rng: StdRng,
    results: Results,
}

impl<'a> Run<'a> {
    pub fn new(
        setup: &'a Setup,
        jobs: &'a [Job],
        policy: Policy,
        hedging: Option<Hedging>,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed ^ 0x5eed);
        let engines = (0..setup.targets)
            .map(|_| Engine { next_slow_s: rng.random_range(2.0..8.0), ..Engine::default() })
            .collect();
        Self {
            setup,
            jobs,
            policy,
            hedging,
            base: Instant::now(),
            engines,
            attempts: Vec::new(),
            first: vec![None; jobs.len()],
            answered: vec![false; jobs.len()],
            backlog: VecDeque::new(),
            hedge_queue: VecDeque::new(),
            rng,
            results: Results::default(),
        }
    }

    pub fn run(mut self) -> Results {
        let mut next_job = 0;
        let mut next_report_s = REPORT_S;
        let mut now_s = 0.0;
        while now_s < self.setup.duration_s {
            if now_s >= next_report_s {
                self.report(now_s);
                next_report_s += REPORT_S;
            }
            while self.backlog.front().is_some_and(|(at, _)| *at <= now_s) {
                let (_, job) = self.backlog.pop_front().expect("checked");
                self.start(job, now_s);
            }
            while self.jobs.get(next_job).is_some_and(|job| job.arrival_s <= now_s) {
                self.start(next_job, now_s);
                next_job += 1;
            }
            self.hedge(now_s);
            for target in 0..self.engines.len() {
                self.advance(target, now_s);
            }
            now_s += self.setup.step_s;
        }
        self.results
    }

    fn at(&self, now_s: f64) -> Instant {
        self.base + Duration::from_secs_f64(now_s)
    }

    fn start(&mut self, number: usize, now_s: f64) {
        let now = self.at(now_s);
        let job = &self.jobs[number];
        let permit = match self.policy.admit(job, now, self.at(job.arrival_s + job.deadline_s)) {
            Ok(permit) => permit,
            Err(_) => {
                self.results.refused += 1;
                return;
            }
        };
        match self.policy.pick(job, None, now) {
            Some((target, guard)) => {
                self.first[number] = Some(self.attempts.len());
                self.send(number, target, guard, permit, false, now_s);
                if let Some(hedging) = &self.hedging
                    && job.priority == Priority::Interactive
                {
                    hedging.budget.record_call("p", "o");
                    self.hedge_queue.push_back((now_s + hedging.delay_s, number));
                }
            }
            // Rollouts wait for room.
            None => {
                if let Some(permit) = permit {
                    permit.release(now);
                }
                self.backlog.push_back((now_s + RETRY_S, number));
            }
        }
    }

    fn send(
        &mut self,
        job: usize,
        target: usize,
        guard: Option<InFlightGuard>,
        permit: Option<Permit>,
        hedge: bool,
        now_s: f64,
    ) {
        let spec = &self.jobs[job];
        let near = spec.vm % self.setup.data_centres == target % self.setup.data_centres;
        self.engines[target].waiting[spec.priority as usize].push_back(self.attempts.len());
        self.results.attempts += 1;
        self.attempts.push(Attempt {
            job,
            target,
            start_s: now_s,
            left_tokens: f64::from(spec.tokens),
            first_byte_s: None,
            guard,
            permit,
            remote_s: if near { 0.0 } else { self.setup.remote_s },
            hedge,
            over: false,
        });
    }

    /// Sends duplicates of calls that have no first byte in time.
    fn hedge(&mut self, now_s: f64) {
        while self.hedge_queue.front().is_some_and(|(at, _)| *at <= now_s) {
            let (_, number) = self.hedge_queue.pop_front().expect("checked");
            let Some(first) = self.first[number] else { continue };
            let late = !self.answered[number] && self.attempts[first].first_byte_s.is_none();
            let budget = &self.hedging.as_ref().expect("hedging is on").budget;
            if !late || !budget.try_take_hedge("p", "o", true) {
                continue;
            }
            let (target, now) = (self.attempts[first].target, self.at(now_s));
            if let Some((target, guard)) = self.policy.pick(&self.jobs[number], Some(target), now) {
                self.results.hedges += 1;
                self.send(number, target, guard, None, true, now_s);
            }
        }
    }

    fn advance(&mut self, target: usize, now_s: f64) {
        let slots = self.setup.slots as usize;
        let factor = self.slowness(target, now_s);
        let engine = &mut self.engines[target];
        while engine.running.len() < slots {
            let Some(next) = engine.waiting.iter_mut().find_map(VecDeque::pop_front) else { break };
            if !self.attempts[next].over {
                engine.running.push(next);
            }
        }
        let fill = engine.running.len() as f64 / slots as f64;
        let tokens = self.setup.step_s / (TOKEN_S * (1.0 + BATCH_SLOWDOWN * fill) * factor);
        let mut running = std::mem::take(&mut engine.running);
        let end_s = now_s + self.setup.step_s;
        running.retain(|number| self.progress(*number, tokens, end_s));
        self.engines[target].running = running;
    }

    fn slowness(&mut self, target: usize, now_s: f64) -> f64 {
        if target >= self.setup.slowed_targets {
            return 1.0;
        }
        let engine = &mut self.engines[target];
        if now_s >= engine.next_slow_s {
            engine.slow_until_s = now_s + self.rng.random_range(1.0..4.0);
            engine.next_slow_s = engine.slow_until_s + self.rng.random_range(3.0..10.0);
        }
        if now_s < engine.slow_until_s { self.setup.slow_factor } else { 1.0 }
    }

    /// Lets an attempt generate; `false` if it is over.
    fn progress(&mut self, number: usize, tokens: f64, end_s: f64) -> bool {
        let now = self.at(end_s);
        let attempt = &mut self.attempts[number];
        if attempt.over {
            return false;
        }
        attempt.left_tokens -= tokens;
        let made = f64::from(self.jobs[attempt.job].tokens) - attempt.left_tokens;
        if attempt.first_byte_s.is_none() && made >= 1.0 {
            attempt.first_byte_s = Some(end_s);
            if let Some(guard) = &mut attempt.guard {
                guard.first_byte(now);
            }
        }
        if attempt.left_tokens > 0.0 {
            return true;
        }
        self.end(number, end_s);
        false
    }

    fn end(&mut self, number: usize, end_s: f64) {
        let now = self.at(end_s);
        let attempt = &mut self.attempts[number];
        attempt.over = true;
        let job = attempt.job;
        let spec = &self.jobs[job];
        if let Some(guard) = attempt.guard.take() {
            guard.finish(Outcome::Ok, u64::from(spec.tokens), now);
        }
        self.policy.ended(spec, attempt.target);
        let permit = attempt.permit.take();
        if end_s > self.setup.duration_s / 4.0 {
            let from_s = attempt.start_s.max(self.setup.duration_s / 4.0);
            self.results.slot_s[spec.organisation] += end_s - from_s;
        }
        let first_byte_s =
            attempt.first_byte_s.unwrap_or(end_s) - spec.arrival_s + attempt.remote_s;
        let total_s = end_s - spec.arrival_s + attempt.remote_s;
        let was_hedge = attempt.hedge;
        if let Some(permit) = permit {
            permit.release(now);
        }
        if !std::mem::replace(&mut self.answered[job], true) {
            let in_time = total_s <= spec.deadline_s;
            self.results.ended.push(Ended { job, first_byte_s, total_s, in_time });
            self.cancel_others(job, number, was_hedge, now);
        }
    }

    /// Cancels the losing attempt.
    fn cancel_others(&mut self, job: usize, winner: usize, was_hedge: bool, now: Instant) {
        if !was_hedge && self.hedging.is_none() {
            return;
        }
        let since = self.first[job].unwrap_or(winner);
        let others = (since..self.attempts.len()).filter(|n| *n != winner);
        for number in others.collect::<Vec<_>>() {
            let attempt = &mut self.attempts[number];
            if attempt.job == job && !attempt.over {
                attempt.over = true;
                attempt.guard = None;
                let (permit, target) = (attempt.permit.take(), attempt.target);
                if let Some(permit) = permit {
                    permit.release(now);
                }
                self.policy.ended(&self.jobs[job], target);
            }
        }
    }

    /// Delivers the reports made half a second ago and makes new ones.
    fn report(&mut self, now_s: f64) {
        let now = self.at(now_s);
        for (target, engine) in self.engines.iter_mut().enumerate() {
            let waiting: usize = engine.waiting.iter().map(VecDeque::len).sum();
            let made = [engine.running.len() as u32, waiting as u32];
            let [running, waiting] = std::mem::replace(&mut engine.reported, made);
            let report = LoadReport {
                running,
                waiting,
                max_batch: self.setup.slots,
                tokens_per_s: 0.0,
                age: Duration::from_secs_f64(REPORT_S),
            };
            self.policy.report(target, report, now);
        }
        self.policy.exchange(now);
    }
}

/// Calls per second at which the targets run at full batch.
pub fn capacity_calls_per_s(setup: &Setup, mean_tokens: f64) -> f64 {
    let per_target = f64::from(setup.slots) / (TOKEN_S * (1.0 + BATCH_SLOWDOWN));
    per_target * setup.targets as f64 / mean_tokens
}
