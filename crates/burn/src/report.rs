//! Error budgets, burn rates and alerts.
//!
//! A burn rate of 1 spends the error budget in exactly the window of the objective. Each alert uses two
//! windows: the long one detects a significant burn, the short one that the burn still continues
//! (Google, "The Site Reliability Workbook", chapter 5, "Alerting on SLOs").

use deck_core::object::{Indicator, ServiceObjective};
use serde::{Deserialize, Serialize};

use crate::{
    history::Scrape,
    indicator::{Counts, contribution},
    series::{Gap, Increments, compute_increments},
};

const HOUR_MS: u64 = 3_600_000;
/// Maximum number of points in the plot of an objective.
const MAX_PLOT_POINTS: u64 = 120;

/// Rule of an alert on the burn rate. Its threshold is the burn rate that spends `budget_percent` of
/// the budget in the long window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AlertRule {
    /// Name of the alert in the report.
    pub name: &'static str,
    /// Budget that is spent in the long window at the threshold, in percent of the whole budget.
    pub budget_percent: f64,
    /// Length of the long window, the time before the evaluation over which a significant burn is
    /// detected.
    pub long_window_ms: u64,
    /// Length of the short window. Its burn rate must reach the threshold too, so that the alert stops
    /// soon after the burn ends.
    pub short_window_ms: u64,
}

/// Alert rules from the source named in the module documentation, for an objective window of 30 days.
pub const ALERT_RULES: &[AlertRule] = &[
    AlertRule {
        name: "page_fast",
        budget_percent: 2.0,
        long_window_ms: HOUR_MS,
        short_window_ms: HOUR_MS / 12,
    },
    AlertRule {
        name: "page_slow",
        budget_percent: 5.0,
        long_window_ms: 6 * HOUR_MS,
        short_window_ms: HOUR_MS / 2,
    },
    AlertRule {
        name: "ticket",
        budget_percent: 10.0,
        long_window_ms: 72 * HOUR_MS,
        short_window_ms: 6 * HOUR_MS,
    },
];

/// Burn report of all objectives.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the first scrape; absent if the history is empty.
    pub from_ms: Option<u64>,
    /// Time of the last scrape, at which all windows end; absent if the history is empty.
    pub to_ms: Option<u64>,
    /// Reports of the objectives, in the order in which they were given.
    pub objectives: Vec<ObjectiveReport>,
    /// Periods in which a process was not scraped.
    pub gaps: Vec<Gap>,
}

/// Burn report of one objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// Name of the objective.
    pub name: String,
    /// Organisation whose requests or jobs are measured.
    pub organisation: String,
    /// Target pool whose requests or jobs are measured.
    pub pool: String,
    /// Indicator that is measured.
    pub indicator: Indicator,
    /// Goal: percentage of the events that have to be good.
    pub objective_percent: f64,
    /// Event counts in the part of the objective's window that the history covers.
    pub counts: Counts,
    /// Spent error budget, in percent of the budget of the whole window; absent if there were no events.
    pub budget_spent_percent: Option<f64>,
    /// Part of the objective's window that the history covers, in percent.
    pub covered_percent: f64,
    /// States of the alerts whose long window fits into the objective's window.
    pub alerts: Vec<Alert>,
    /// Percentage of bad events over time, for the plot.
    pub points: Vec<Point>,
}

/// State of one alert.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Alert {
    /// Name of its rule.
    pub name: String,
    /// Burn rate at which the alert fires.
    pub threshold: f64,
    /// Burn rate in the long window; absent if there were no events.
    pub long_burn: Option<f64>,
    /// Burn rate in the short window; absent if there were no events.
    pub short_burn: Option<f64>,
    /// Whether both burn rates are at or above the threshold.
    pub firing: bool,
}

/// Point of a plot: the events of one interval.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Point {
    /// End of the interval.
    pub at_ms: u64,
    /// Percentage of bad events; absent if there were no events.
    pub bad_percent: Option<f64>,
}

/// Computes the report of named objectives from scrapes, which have to be sorted by time.
///
/// A pause of more than `gap_after_ms` between two scrapes of a process is reported as a gap.
pub fn burn_report(
    objectives: &[(String, ServiceObjective)],
    scrapes: &[Scrape],
    gap_after_ms: u64,
) -> BurnReport {
    let increments = compute_increments(scrapes, gap_after_ms);
    let reports = objectives
        .iter()
        .map(|(name, objective)| objective_report(name, objective, &increments))
        .collect();
    BurnReport {
        from_ms: increments.time_range_ms.map(|(from_ms, _)| from_ms),
        to_ms: increments.time_range_ms.map(|(_, to_ms)| to_ms),
        objectives: reports,
        gaps: increments.gaps,
    }
}

fn objective_report(
    name: &str,
    objective: &ServiceObjective,
    increments: &Increments,
) -> ObjectiveReport {
    let (from_ms, to_ms) = increments.time_range_ms.unwrap_or_default();
    let window_ms = u64::from(objective.window_hours) * HOUR_MS;
    let covered_ms = (to_ms - from_ms).min(window_ms);
    let counts = count_events(objective, increments, to_ms.saturating_sub(window_ms), to_ms);
    let allowed_bad_ratio = 1.0 - objective.objective_percent / 100.0;
    // The budget is that of the whole window, assuming that the event rate seen so far continues.
    let covered_ratio = covered_ms as f64 / window_ms as f64;
    let spent_percent =
        counts.bad_ratio().map(|bad| 100.0 * bad / allowed_bad_ratio * covered_ratio);
    ObjectiveReport {
        name: name.to_owned(),
        organisation: objective.organisation.clone(),
        pool: objective.pool.clone(),
        indicator: objective.indicator.clone(),
        objective_percent: objective.objective_percent,
        counts,
        budget_spent_percent: spent_percent,
        covered_percent: 100.0 * covered_ratio,
        alerts: evaluate_alerts(objective, increments, to_ms, window_ms),
        points: plot_points(objective, increments, from_ms, to_ms),
    }
}

fn evaluate_alerts(
    objective: &ServiceObjective,
    increments: &Increments,
    now_ms: u64,
    window_ms: u64,
) -> Vec<Alert> {
    let allowed_bad_ratio = 1.0 - objective.objective_percent / 100.0;
    let burn_rate = |length_ms: u64| {
        let counts = count_events(objective, increments, now_ms.saturating_sub(length_ms), now_ms);
        counts.bad_ratio().map(|bad| bad / allowed_bad_ratio)
    };
    let applicable_rules = ALERT_RULES.iter().filter(|rule| rule.long_window_ms <= window_ms);
    applicable_rules
        .map(|rule| {
            let threshold =
                rule.budget_percent / 100.0 * window_ms as f64 / rule.long_window_ms as f64;
            let (long_burn, short_burn) =
                (burn_rate(rule.long_window_ms), burn_rate(rule.short_window_ms));
            let exceeds = |burn: Option<f64>| burn.is_some_and(|burn| burn >= threshold);
            let firing = exceeds(long_burn) && exceeds(short_burn);
            Alert { name: rule.name.to_owned(), threshold, long_burn, short_burn, firing }
        })
        .collect()
}

fn plot_points(
    objective: &ServiceObjective,
    increments: &Increments,
    from_ms: u64,
    to_ms: u64,
) -> Vec<Point> {
    let interval_ms = (to_ms - from_ms).div_ceil(MAX_PLOT_POINTS).max(1);
    let mut points = Vec::new();
    let mut start_ms = from_ms;
    while start_ms < to_ms {
        let end_ms = (start_ms + interval_ms).min(to_ms);
        let counts = count_events(objective, increments, start_ms, end_ms);
        let bad_percent = counts.bad_ratio().map(|bad| 100.0 * bad);
        points.push(Point { at_ms: end_ms, bad_percent });
        start_ms = end_ms;
    }
    points
}

/// Counts the events of all increments that ended after `from_ms` and at the latest at `to_ms`.
fn count_events(
    objective: &ServiceObjective,
    increments: &Increments,
    from_ms: u64,
    to_ms: u64,
) -> Counts {
    let mut counts = Counts::default();
    let in_window = increments
        .increments
        .iter()
        .filter(|increment| increment.to_ms > from_ms && increment.to_ms <= to_ms);
    for increment_counts in in_window.filter_map(|increment| contribution(objective, increment)) {
        counts.add(increment_counts);
    }
    counts
}
