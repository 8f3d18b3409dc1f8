//! Learned capacity of a target: how its time per unit of work grows with its occupancy, and the
//! concurrency from which further work adds little throughput.
//!
//! A unit of work is an event of a generated text, or a plain response. Occupancy is the number of
//! runs or calls in progress. The estimate answers the load of a service whose targets slow down at
//! different concurrencies, which fixed weights and slot counts do not describe.
//!
//! Only times before and after a change of the occupancy are compared, with each other. A target that
//! turns slow as a whole, at once or by and by, changes both and is not taken for one that its load
//! slows down. The slowdowns are those that fit all these differences best.

use std::time::{Duration, Instant};

/// Highest occupancy with a slowdown of its own; higher ones share it.
pub const MAX_OCCUPANCY: usize = 16;

/// Time constant of the mean before a change of the occupancy; shorter than most changes of a target's
/// speed.
const SEGMENT_WINDOW: Duration = Duration::from_millis(300);
/// Time after a change of the occupancy whose samples are compared with the mean before it.
const COMPARED_TIME: Duration = Duration::from_millis(300);
/// Time without a sample after which the times before and after it are not compared.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Number of samples above which more do not make a mean more certain, because the speed varies.
const MAX_SAMPLES: f64 = 8.0;
/// Time constant with which differences are forgotten.
const FORGET_TIME: Duration = Duration::from_secs(10);
/// Age of the last difference from which nothing is known of a target.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Weight of differences with an occupancy from which its slowdown counts.
const MIN_EVIDENCE: f64 = 8.0;
/// Weight, as that of a difference, of the assumption that a target is not slowed by its load.
const PRIOR_WEIGHT: f64 = 1.0;
/// Bound of the ratio of two compared times, so that a stall is no measurement of speed.
const MAX_RATIO: f64 = 4.0;
/// Largest slowdown.
const MAX_SLOWDOWN: f64 = 64.0;
/// Slowdown from which a target counts as sensitive to its occupancy. Smaller ones change little for
/// callers.
const MIN_SLOWDOWN: f64 = 1.3;
/// Number of standard errors by which the slowdown has to differ from none.
const MIN_STANDARD_ERRORS: f64 = 4.0;
/// Variance of a difference of weight 1 that is assumed at least.
const MIN_VARIANCE: f64 = 0.01;
/// Slowdown below which a sensitive target no longer counts as sensitive.
const MIN_KEPT_SLOWDOWN: f64 = 1.2;
/// Fraction of the highest throughput that the concurrency that a target takes well has to reach.
const KNEE_THROUGHPUT: f64 = 0.9;
/// Minimum time between two evaluations of the slowdowns.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// Running estimate of the slowdown of one target at each occupancy.
#[derive(Debug, Clone, Default)]
pub struct CapacityEstimator {
    /// Samples at the present occupancy.
    segment: Option<Segment>,
    /// Mean and number of samples at the occupancy before, until the two are compared.
    previous: Option<SegmentMean>,
    differences: Differences,
    evaluated_at: Option<Instant>,
    slowdown: Option<Slowdown>,
}

/// Consecutive samples at one occupancy.
#[derive(Debug, Clone, Copy)]
struct Segment {
    /// Index of the occupancy.
    index: usize,
    started_at: Instant,
    mean: Option<SegmentMean>,
}

/// Mean of the samples of a segment, of which later ones have more weight.
#[derive(Debug, Clone, Copy)]
struct SegmentMean {
    index: usize,
    /// Mean of the natural logarithm of the time per unit of work in milliseconds.
    log_ms: f64,
    samples: f64,
    updated_at: Instant,
}

/// Sums over the differences between segments, as the normal equations of a least-squares fit.
#[derive(Debug, Clone, Default)]
struct Differences {
    /// Weight of the differences between each two occupancies. Symmetric, zero on the diagonal.
    weights: [[f64; MAX_OCCUPANCY]; MAX_OCCUPANCY],
    /// For each occupancy, the weighted sum of its log time minus that of the other one.
    sums: [f64; MAX_OCCUPANCY],
    /// Weighted sum of the squares of the differences.
    square_sum: f64,
    /// Number of differences.
    count: f64,
    updated_at: Option<Instant>,
}

/// Slowdown of a target at each occupancy, for a target that is sensitive to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    /// Time per unit of work at each occupancy relative to that at the lowest one measured.
    /// Invariant: at least 1 and not decreasing.
    factors: [f64; MAX_OCCUPANCY],
    /// Largest concurrency that the target takes well; `None` if its throughput still rises at the
    /// highest occupancy measured.
    knee: Option<u32>,
}

impl CapacityEstimator {
    /// Records that one unit of work that ends at `now` took `time_ms` while `occupancy` units were in
    /// progress. Returns the previous and the new knee if it has changed.
    pub fn record(
        &mut self,
        occupancy: u32,
        time_ms: f64,
        now: Instant,
    ) -> Option<(Option<u32>, Option<u32>)> {
        let index = index(occupancy);
        let mut segment = match self.segment {
            Some(segment) if segment.index == index => segment,
            ended => {
                let mean = ended.and_then(|segment| segment.mean);
                self.compare(mean);
                self.previous = mean.or(self.previous);
                // The occupancy has changed since the last sample; work that began before that is
                // not counted below.
                Segment { index, started_at: now, mean: None }
            }
        };
        let age = now.saturating_duration_since(segment.started_at);
        if age.as_secs_f64() * 1000.0 >= time_ms {
            let mean = SegmentMean::after(segment.mean, index, time_ms, now);
            segment.mean = Some(mean);
            if age >= COMPARED_TIME {
                self.compare(segment.mean);
            }
        }
        self.segment = Some(segment);
        self.evaluate_if_due(now)
    }

    /// Records that a call which ends at `now` took `time_ms`, and that `occupancy` calls were in progress
    /// when it started, itself included. Unlike the events of a text, calls last longer than the
    /// occupancy stays the same, so each is compared with the one that ended before it.
    pub fn record_call(
        &mut self,
        occupancy: u32,
        time_ms: f64,
        now: Instant,
    ) -> Option<(Option<u32>, Option<u32>)> {
        let mean = SegmentMean::after(None, index(occupancy), time_ms, now);
        self.compare(Some(mean));
        self.previous = Some(mean);
        self.evaluate_if_due(now)
    }

    /// Returns the slowdowns; `None` while the target has not shown that it is sensitive to its
    /// occupancy, and after the last measurement is forgotten.
    pub fn slowdown(&self, now: Instant) -> Option<Slowdown> {
        let updated_at = self.differences.updated_at?;
        let is_recent = now.saturating_duration_since(updated_at) < MAX_AGE;
        self.slowdown.filter(|_| is_recent)
    }

    /// Records the difference between the previous segment and `mean`, once.
    fn compare(&mut self, mean: Option<SegmentMean>) {
        let (Some(after), Some(before)) = (mean, self.previous) else { return };
        self.previous = None;
        let gap = after.updated_at.saturating_duration_since(before.updated_at);
        if before.index != after.index && gap <= MAX_GAP + COMPARED_TIME {
            self.differences.add(&before, &after);
        }
    }

    fn evaluate_if_due(&mut self, now: Instant) -> Option<(Option<u32>, Option<u32>)> {
        let is_due = self
            .evaluated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= EVALUATION_INTERVAL);
        if !is_due {
            return None;
        }
        self.evaluated_at = Some(now);
        let old_knee = self.slowdown.and_then(|slowdown| slowdown.knee);
        self.slowdown = self.evaluate();
        let knee = self.slowdown.and_then(|slowdown| slowdown.knee);
        (knee != old_knee).then_some((old_knee, knee))
    }

    fn evaluate(&self) -> Option<Slowdown> {
        let evidence = self.differences.evidence();
        let measured: Vec<usize> =
            (0..MAX_OCCUPANCY).filter(|index| evidence[*index] >= MIN_EVIDENCE).collect();
        let (Some(_), Some(highest)) = (measured.get(1), measured.last().copied()) else {
            return None;
        };
        let log_slowdowns = self.differences.fit();
        let points: Vec<(f64, f64)> =
            measured.iter().map(|index| (log_slowdowns[*index], evidence[*index])).collect();
        let values = monotone_fit(&points);
        let (min_log, max_log) = (values[0], values[values.len() - 1]);
        let min_slowdown = if self.slowdown.is_some() { MIN_KEPT_SLOWDOWN } else { MIN_SLOWDOWN };
        let standard_error = self.differences.standard_error(&log_slowdowns, measured[0], highest);
        if max_log - min_log < min_slowdown.ln().max(standard_error * MIN_STANDARD_ERRORS) {
            return None;
        }
        let factor = |value: &f64| (value - min_log).exp().clamp(1.0, MAX_SLOWDOWN);
        let points: Vec<(usize, f64)> =
            measured.iter().copied().zip(values.iter().map(factor)).collect();
        let mut factors = [1.0; MAX_OCCUPANCY];
        for (index, factor) in factors.iter_mut().enumerate() {
            *factor = interpolate(&points, index);
        }
        let throughput = |index: usize| (index + 1) as f64 / factors[index];
        let max_throughput = (0..=highest).map(throughput).fold(0.0, f64::max);
        let knee = (0..=highest)
            .find(|index| throughput(*index) >= max_throughput * KNEE_THROUGHPUT)
            .filter(|index| *index < highest);
        Some(Slowdown { factors, knee: knee.map(|index| index as u32 + 1) })
    }
}

impl SegmentMean {
    /// Returns the mean after a further sample.
    fn after(mean: Option<Self>, index: usize, time_ms: f64, now: Instant) -> Self {
        let log_ms = time_ms.max(1e-3).ln();
        let Some(mean) = mean else { return Self { index, log_ms, samples: 1.0, updated_at: now } };
        let samples = (mean.samples + 1.0).min(MAX_SAMPLES);
        let elapsed = now.saturating_duration_since(mean.updated_at);
        let sample_weight = weight(elapsed, SEGMENT_WINDOW).max(1.0 / (mean.samples + 1.0));
        let log_ms = mean.log_ms + (log_ms - mean.log_ms) * sample_weight;
        Self { index, log_ms, samples, updated_at: now }
    }
}

impl Differences {
    /// Adds the difference between two segments and lets the earlier ones fade.
    fn add(&mut self, before: &SegmentMean, after: &SegmentMean) {
        let now = after.updated_at;
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 1.0 - weight(age, FORGET_TIME);
        self.updated_at = Some(now);
        let scalars = [&mut self.square_sum, &mut self.count];
        for value in self.weights.iter_mut().flatten().chain(&mut self.sums).chain(scalars) {
            *value *= kept;
        }
        let weight = before.samples * after.samples / (before.samples + after.samples);
        let max = MAX_RATIO.ln();
        let log_ratio = (after.log_ms - before.log_ms).clamp(-max, max);
        let difference = log_ratio * weight;
        self.square_sum += log_ratio * difference;
        self.count += 1.0;
        self.weights[before.index][after.index] += weight;
        self.weights[after.index][before.index] += weight;
        self.sums[after.index] += difference;
        self.sums[before.index] -= difference;
    }

    /// Returns the weight of the differences with each occupancy.
    fn evidence(&self) -> [f64; MAX_OCCUPANCY] {
        self.weights.map(|weights| weights.iter().sum())
    }

    /// Returns the logarithm of the slowdown at each occupancy, up to a common constant, for which the
    /// weighted squares of the deviations from the differences are least.
    fn fit(&self) -> [f64; MAX_OCCUPANCY] {
        self.solve(self.sums)
    }

    /// Returns the standard error of the fitted difference between two occupancies.
    fn standard_error(&self, fit: &[f64; MAX_OCCUPANCY], low: usize, high: usize) -> f64 {
        let explained: f64 = fit.iter().zip(&self.sums).map(|(value, sum)| value * sum).sum();
        let variance = (self.square_sum - explained) / self.count.max(1.0);
        let mut contrast = [0.0; MAX_OCCUPANCY];
        contrast[high] += 1.0;
        contrast[low] -= 1.0;
        let solution = self.solve(contrast);
        (variance.max(MIN_VARIANCE) * (solution[high] - solution[low]).max(0.0)).sqrt()
    }

    /// Solves the normal equations with the right-hand side `values`.
    fn solve(&self, mut values: [f64; MAX_OCCUPANCY]) -> [f64; MAX_OCCUPANCY] {
        // The matrix is diagonally dominant by the prior, so elimination needs no pivots.
        let mut matrix = self.weights.map(|weights| weights.map(|weight| -weight));
        for (index, evidence) in self.evidence().into_iter().enumerate() {
            matrix[index][index] = evidence + PRIOR_WEIGHT;
        }
        for pivot in 0..MAX_OCCUPANCY {
            let pivot_row = matrix[pivot];
            for row in pivot + 1..MAX_OCCUPANCY {
                let ratio = matrix[row][pivot] / pivot_row[pivot];
                if ratio == 0.0 {
                    continue;
                }
                for (value, pivot_value) in matrix[row].iter_mut().zip(&pivot_row).skip(pivot) {
                    *value -= ratio * pivot_value;
                }
                values[row] -= ratio * values[pivot];
            }
        }
        for row in (0..MAX_OCCUPANCY).rev() {
            let known: f64 =
                (row + 1..MAX_OCCUPANCY).map(|column| matrix[row][column] * values[column]).sum();
            values[row] = (values[row] - known) / matrix[row][row];
        }
        values
    }
}

impl Slowdown {
    /// Returns the time per unit of work at an occupancy relative to that of the target at the lowest
    /// one measured; at least 1.
    pub fn factor(&self, occupancy: u32) -> f64 {
        self.factors[index(occupancy)]
    }

    /// Returns the time that one more unit of work adds at an occupancy, relative to the time that it
    /// takes alone: its own, and the delay of the `occupancy` units in progress.
    pub fn added_time(&self, occupancy: u32) -> f64 {
        let (before, after) = (self.factor(occupancy), self.factor(occupancy + 1));
        after + f64::from(occupancy) * (after - before)
    }

    /// Returns the largest concurrency that the target takes well, at least 1; `None` if its throughput
    /// still rises at the highest occupancy measured.
    pub fn knee(&self) -> Option<u32> {
        self.knee
    }

    /// Returns the slowdowns by occupancy, for a report to another node.
    pub fn factors(&self) -> &[f64; MAX_OCCUPANCY] {
        &self.factors
    }

    /// Returns the slowdowns that another node reported; `None` if they are not valid.
    pub fn from_report(factors: &[f64], knee: Option<u32>) -> Option<Self> {
        let factors: [f64; MAX_OCCUPANCY] = factors.try_into().ok()?;
        let is_valid = factors[0] >= 1.0
            && factors.is_sorted()
            && factors[MAX_OCCUPANCY - 1] <= MAX_SLOWDOWN
            && knee.is_none_or(|knee| knee > 0);
        is_valid.then_some(Self { factors, knee })
    }
}

/// Logs a change of the concurrency that a target takes well, unless it is a change by one. `part` is
/// the part of the system that has learned it.
pub fn log_capacity(part: &str, target_id: &str, old: Option<u32>, new: Option<u32>) {
    let is_small = matches!((old, new), (Some(old), Some(new)) if old.abs_diff(new) < 2);
    if is_small {
        return;
    }
    let label = |knee: Option<u32>| knee.map_or_else(|| "all".to_owned(), |runs| runs.to_string());
    log::info!(target: part, "capacity changed target={target_id} runs={} previous={}", label(new), label(old));
}

/// Returns the index of an occupancy in the tables by occupancy.
fn index(occupancy: u32) -> usize {
    (occupancy.max(1) as usize - 1).min(MAX_OCCUPANCY - 1)
}

/// Returns the weight of a sample that stands for `elapsed` in a mean with the time constant `window`.
fn weight(elapsed: Duration, window: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}

/// Returns the non-decreasing values that are closest to the points' values, given the value and
/// weight of each. Adjacent points that decrease are replaced by their weighted mean.
fn monotone_fit(points: &[(f64, f64)]) -> Vec<f64> {
    let mut blocks: Vec<(f64, f64, usize)> = Vec::new();
    for (value, weight) in points {
        blocks.push((*value, *weight, 1));
        while let [.., a, b] = blocks.as_slice()
            && a.0 > b.0
        {
            let weight = a.1 + b.1;
            let merged = ((a.0 * a.1 + b.0 * b.1) / weight, weight, a.2 + b.2);
            blocks.truncate(blocks.len() - 2);
            blocks.push(merged);
        }
    }
    blocks.into_iter().flat_map(|(value, _, count)| std::iter::repeat_n(value, count)).collect()
}

/// Returns the value at `position` of the line through the points, which are in ascending order; that
/// of the nearest point outside of their range.
fn interpolate(points: &[(usize, f64)], position: usize) -> f64 {
    let above = points.iter().find(|(at, _)| *at >= position);
    let below = points.iter().rev().find(|(at, _)| *at <= position);
    match (below, above) {
        (Some((from, low)), Some((to, high))) if from < to => {
            let fraction = (position - from) as f64 / (to - from) as f64;
            low + (high - low) * fraction
        }
        (Some((_, value)), _) | (None, Some((_, value))) => *value,
        (None, None) => 1.0,
    }
}
