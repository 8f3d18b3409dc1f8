//! Error budgets, burn rates and alerts.
//!
//! A burn rate of 1 spends the error budget exactly in the objective's window. Alerts use two windows
//! each, a long one that shows that the burn matters and a short one that shows that it goes on
//! (Google, "The Site Reliability Workbook", chapter 5, "Alerting on SLOs").

use deck_core::object::{Indicator, ServiceObjective};
use serde::{Deserialize, Serialize};

use crate::{
    history::Scrape,
    indicator::{Counts, contribution},
    series::{Gap, Increments, increments},
};

const HOUR_MS: u64 = 3_600_000;
/// Number of points of the plotted series.
const PLOT_POINTS: u64 = 120;

/// Pair of windows and the burn rate at which an alert fires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AlertRule {
    /// Name.
    pub name: &'static str,
    /// Part of the budget that the alert's long window spends at the threshold, in percent.
    pub budget_percent: f64,
    /// Long window.
    pub long_ms: u64,
    /// Short window.
    pub short_ms: u64,
}

/// Alert rules of the source named in the module's documentation, for a window of 30 days.
pub const ALERT_RULES: &[AlertRule] = &[
    AlertRule { name: "page_fast", budget_percent: 2.0, long_ms: HOUR_MS, short_ms: HOUR_MS / 12 },
    AlertRule {
        name: "page_slow",
        budget_percent: 5.0,
        long_ms: 6 * HOUR_MS,
        short_ms: HOUR_MS / 2,
    },
    AlertRule {
        name: "ticket",
        budget_percent: 10.0,
        long_ms: 72 * HOUR_MS,
        short_ms: 6 * HOUR_MS,
    },
];

/// Report over all objectives.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BurnReport {
    /// First scrape; absent if the history is empty.
    pub from_ms: Option<u64>,
    /// Last scrape, which is the time of the report.
    pub to_ms: Option<u64>,
    /// One entry for each objective.
    pub objectives: Vec<ObjectiveReport>,
    /// Times in which a process was not scraped.
    pub gaps: Vec<Gap>,
}

/// Report of one objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// Name of the objective.
    pub name: String,
    /// Organisation.
    pub organisation: String,
    /// Pool.
    pub pool: String,
    /// What is measured.
    pub indicator: Indicator,
    /// Part of the events that have to be good.
    pub objective_percent: f64,
    /// Counts in the objective's window, or in the part of it that the history covers.
    pub counts: Counts,
    /// Part of the window's error budget that is spent, in percent; absent without events.
    pub budget_spent_percent: Option<f64>,
    /// Part of the objective's window that the history covers, in percent.
    pub covered_percent: f64,
    /// Alerts.
    pub alerts: Vec<Alert>,
    /// Bad part over time for the plot; absent values are stretches without events.
    pub points: Vec<Point>,
}

/// State of one alert rule.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Alert {
    /// Name of the rule.
    pub name: String,
    /// Burn rate at which it fires.
    pub threshold: f64,
    /// Burn rate in the long window; absent without events.
    pub long_burn: Option<f64>,
    /// Burn rate in the short window; absent without events.
    pub short_burn: Option<f64>,
    /// Whether both are at or above the threshold.
    pub firing: bool,
}

/// One point of a plot.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Point {
    /// End of the stretch.
    pub at_ms: u64,
    /// Bad part in percent.
    pub bad_percent: Option<f64>,
}

/// Computes the report for the objectives, by name, from the scrapes in order of time.
pub fn burn_report(
    objectives: &[(String, ServiceObjective)],
    scrapes: &[Scrape],
    gap_after_ms: u64,
) -> BurnReport {
    let increments = increments(scrapes, gap_after_ms);
    let reports = objectives
        .iter()
        .map(|(name, objective)| objective_report(name, objective, &increments))
        .collect();
    BurnReport {
        from_ms: increments.span_ms.map(|(from_ms, _)| from_ms),
        to_ms: increments.span_ms.map(|(_, to_ms)| to_ms),
        objectives: reports,
        gaps: increments.gaps,
    }
}

fn objective_report(
    name: &str,
    objective: &ServiceObjective,
    increments: &Increments,
) -> ObjectiveReport {
    let (from_ms, to_ms) = increments.span_ms.unwrap_or_default();
    let window_ms = u64::from(objective.window_hours) * HOUR_MS;
    let covered_ms = (to_ms - from_ms).min(window_ms);
    let counts = count(objective, increments, to_ms.saturating_sub(window_ms), to_ms);
    let allowed = 1.0 - objective.objective_percent / 100.0;
    // The budget is that of the whole window at the event rate seen so far.
    let covered = covered_ms as f64 / window_ms as f64;
    let spent = counts.bad_ratio().map(|bad| 100.0 * bad / allowed * covered);
    ObjectiveReport {
        name: name.to_owned(),
        organisation: objective.organisation.clone(),
        pool: objective.pool.clone(),
        indicator: objective.indicator.clone(),
        objective_percent: objective.objective_percent,
        counts,
        budget_spent_percent: spent,
        covered_percent: 100.0 * covered,
        alerts: alerts(objective, increments, to_ms, window_ms),
        points: points(objective, increments, from_ms, to_ms),
    }
}

fn alerts(
    objective: &ServiceObjective,
    increments: &Increments,
    now_ms: u64,
    window_ms: u64,
) -> Vec<Alert> {
    let allowed = 1.0 - objective.objective_percent / 100.0;
    let burn = |length_ms: u64| {
        let counts = count(objective, increments, now_ms.saturating_sub(length_ms), now_ms);
        counts.bad_ratio().map(|bad| bad / allowed)
    };
    let usable = ALERT_RULES.iter().filter(|rule| rule.long_ms <= window_ms);
    usable
        .map(|rule| {
            let threshold = rule.budget_percent / 100.0 * window_ms as f64 / rule.long_ms as f64;
            let (long_burn, short_burn) = (burn(rule.long_ms), burn(rule.short_ms));
            let above = |burn: Option<f64>| burn.is_some_and(|burn| burn >= threshold);
            let firing = above(long_burn) && above(short_burn);
            Alert { name: rule.name.to_owned(), threshold, long_burn, short_burn, firing }
        })
        .collect()
}

fn points(
    objective: &ServiceObjective,
    increments: &Increments,
    from_ms: u64,
    to_ms: u64,
) -> Vec<Point> {
    let step_ms = (to_ms - from_ms).div_ceil(PLOT_POINTS).max(1);
    let mut points = Vec::new();
    let mut start_ms = from_ms;
    while start_ms < to_ms {
        let end_ms = (start_ms + step_ms).min(to_ms);
        let counts = count(objective, increments, start_ms, end_ms);
        let bad_percent = counts.bad_ratio().map(|bad| 100.0 * bad);
        points.push(Point { at_ms: end_ms, bad_percent });
        start_ms = end_ms;
    }
    points
}

/// Counts the events of increments that ended in `from_ms..=to_ms`, the start excluded.
fn count(
    objective: &ServiceObjective,
    increments: &Increments,
    from_ms: u64,
    to_ms: u64,
) -> Counts {
    let mut counts = Counts::default();
    let inside = increments
        .increments
        .iter()
        .filter(|increment| increment.to_ms > from_ms && increment.to_ms <= to_ms);
    for part in inside.filter_map(|increment| contribution(objective, increment)) {
        counts.add(part);
    }
    counts
}
