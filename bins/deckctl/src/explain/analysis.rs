//! Collects the log lines about a request, item or batch job and derives causes from them.

use std::collections::{BTreeSet, HashMap};

use time::{Duration, OffsetDateTime};

use crate::explain::line::{LogLine, names_job};

/// Minimum time that items waited for an engine for the wait to be reported as a cause.
const MIN_REPORTED_WAIT: Duration = Duration::milliseconds(1000);
/// Minimum generation time of an item's text for the text to be reported as a cause.
const MIN_REPORTED_TEXT_TIME: Duration = Duration::milliseconds(4000);
/// Context lines are shown from this long before the first line about the id.
const CONTEXT_LEAD_TIME: Duration = Duration::seconds(2);
/// Components that log a node's state and its connections, shown as context.
const CONTEXT_COMPONENTS: [&str; 4] = ["fleet", "lead", "node", "store"];

/// Log lines and causes found for an id.
pub struct Explanation<'a> {
    /// Lines about the id and its job, and context lines of the nodes that wrote them.
    pub lines: Vec<&'a LogLine>,
    /// Causes as sentences without repetitions, in the order in which they were found.
    pub causes: Vec<String>,
}

/// Collects the lines about an id and derives causes; returns `None` if no line refers to the id.
///
/// `lines` must be sorted by timestamp.
pub fn explain_id<'a>(lines: &'a [LogLine], id: &str) -> Option<Explanation<'a>> {
    let id_lines: Vec<&LogLine> = lines.iter().filter(|line| line.refers_to(id)).collect();
    let (first, last) = (id_lines.first()?, id_lines.last()?);
    // Lines about an item also name its job. For other ids, the id itself is taken as the job.
    let job = id_lines.iter().find_map(|line| line.field("job")).unwrap_or(id);
    let is_job = names_job(job, id);
    let is_job_line =
        |line: &&LogLine| line.field("job") == Some(job) && line.field("item").is_none();
    let nodes: BTreeSet<&str> = id_lines.iter().map(|line| line.node.as_str()).collect();
    let is_context = |line: &LogLine| {
        CONTEXT_COMPONENTS.contains(&line.component.as_str())
            && nodes.contains(line.node.as_str())
            && line.timestamp >= first.timestamp - CONTEXT_LEAD_TIME
            && line.timestamp <= last.timestamp
    };
    let is_shown = |line: &&LogLine| {
        let is_item_of_job =
            is_job && line.field("item").is_some() && line.event != "item given up";
        (line.refers_to(id) && !is_item_of_job) || is_job_line(line) || is_context(line)
    };
    let shown_lines: Vec<&LogLine> = lines.iter().filter(is_shown).collect();
    let mut causes = Vec::new();
    request_causes(&id_lines, &mut causes);
    let runs = item_runs(lines, job, (!is_job).then_some(id));
    job_causes(lines, job, &runs, &mut causes);
    if !is_job {
        item_causes(&id_lines, &mut causes);
    }
    let context_lines: Vec<&LogLine> = lines.iter().filter(|line| is_context(line)).collect();
    node_causes(&context_lines, nodes.len(), first.timestamp, &mut causes);
    let mut causes = merge_repeated(causes);
    if causes.is_empty() {
        causes.push("Nothing in these logs went wrong.".to_owned());
    }
    Some(Explanation { lines: shown_lines, causes })
}

/// Merges equal causes into one that states how often it occurred.
fn merge_repeated(causes: Vec<String>) -> Vec<String> {
    let mut counted: Vec<(String, usize)> = Vec::new();
    for cause in causes {
        match counted.iter_mut().find(|(counted_cause, _)| *counted_cause == cause) {
            Some((_, count)) => *count += 1,
            None => counted.push((cause, 1)),
        }
    }
    let format_cause = |(cause, count): (String, usize)| match count {
        1 => cause,
        _ => format!("{} ({count} times).", cause.trim_end_matches('.')),
    };
    counted.into_iter().map(format_cause).collect()
}

/// Adds causes that affect whole nodes: outages of the object API and restarts after `start`.
fn node_causes(
    context_lines: &[&LogLine],
    node_count: usize,
    start: OffsetDateTime,
    causes: &mut Vec<String>,
) {
    let lines_with_event = |event: &str| -> Vec<&&LogLine> {
        context_lines.iter().filter(|line| line.event == event && line.timestamp >= start).collect()
    };
    let seconds_since_start = |line: &LogLine| (line.timestamp - start).as_seconds_f64();
    let lost_lines = lines_with_event("object API lost");
    if let Some(first) = lost_lines.first() {
        let nodes: BTreeSet<&str> = lost_lines.iter().map(|line| line.node.as_str()).collect();
        let end = match lines_with_event("object API is back").last() {
            Some(back) => format!("until {:.1} s", seconds_since_start(back)),
            None => "to the end".to_owned(),
        };
        let (count, from) = (nodes.len(), seconds_since_start(first));
        causes.push(format!(
            "The object API did not answer {count} of these {node_count} nodes, from {from:.1} s after the first line {end}."
        ));
    }
    let restarted_nodes: BTreeSet<&str> =
        lines_with_event("start").iter().map(|line| line.node.as_str()).collect();
    if !restarted_nodes.is_empty() {
        let nodes: Vec<&str> = restarted_nodes.into_iter().collect();
        causes.push(format!("Started again meanwhile: {}.", nodes.join(", ")));
    }
}

/// Adds the causes that are named in the log lines of a request.
fn request_causes(id_lines: &[&LogLine], causes: &mut Vec<String>) {
    for line in id_lines {
        match (line.component.as_str(), line.event.as_str()) {
            ("forward", "attempt failed") => {
                // The line is logged as `target={target} {error:?}`, so the field's value includes
                // the error.
                let target_and_error = line.field("target").unwrap_or_default();
                let (target, error) =
                    target_and_error.split_once(' ').unwrap_or((target_and_error, ""));
                let execution =
                    if error.starts_with("NotRun") { "did not run" } else { "may have run" };
                causes.push(format!("Target {target} {execution} the request: {error}."));
            }
            ("front", "refused") => {
                let error = line.field("error").unwrap_or("no reason given");
                let version = line.field("configuration").unwrap_or("none");
                causes.push(format!(
                    "{} refused the request by configuration {version}: {error}.",
                    line.node
                ));
            }
            ("forward", "target crashed") => {
                let target = line.field("target").unwrap_or_default();
                causes.push(format!("Target {target} crashed while it ran the request."));
            }
            ("forward", "not served") => {
                let tried = line.number("tried").unwrap_or_default();
                let error = line.field("error").unwrap_or("no reason given");
                causes.push(format!("{} gave up; targets tried: {tried}; {error}.", line.node));
            }
            _ => {}
        }
    }
}

/// Execution of an item within a job, over all its runs.
struct ItemRun<'a> {
    item: &'a str,
    /// Start of the first run.
    started: OffsetDateTime,
    /// Time at which the text was complete, and its number of stream events.
    completed: Option<(OffsetDateTime, u64)>,
}

/// Returns the executions of a job's items, or of the item `only_item`.
///
/// An item may occur again in a later job, so a completion counts for the job that last started it.
fn item_runs<'a>(lines: &'a [LogLine], job: &str, only_item: Option<&str>) -> Vec<ItemRun<'a>> {
    let mut job_by_item: HashMap<&str, &str> = HashMap::new();
    let mut runs: Vec<ItemRun<'a>> = Vec::new();
    for line in lines.iter().filter(|line| line.component == "batch") {
        let Some(item) = line.field("item") else { continue };
        if only_item.is_some_and(|only_item| only_item != item) {
            continue;
        }
        match (line.event.as_str(), line.field("job")) {
            ("run starts", Some(run_job)) => {
                job_by_item.insert(item, run_job);
                if run_job == job && !runs.iter().any(|run| run.item == item) {
                    runs.push(ItemRun { item, started: line.timestamp, completed: None });
                }
            }
            ("run complete", _) if job_by_item.get(item) == Some(&job) => {
                let run = runs.iter_mut().find(|run| run.item == item);
                if let Some(run) = run.filter(|run| run.completed.is_none()) {
                    run.completed =
                        Some((line.timestamp, line.number("event").unwrap_or_default()));
                }
            }
            _ => {}
        }
    }
    runs
}

/// Adds causes that concern a whole job.
fn job_causes(lines: &[LogLine], job: &str, runs: &[ItemRun<'_>], causes: &mut Vec<String>) {
    let job_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("job") == Some(job)).collect();
    for line in &job_lines {
        let reason = line.field("error").unwrap_or("no reason given");
        match line.event.as_str() {
            "job refused" => {
                causes
                    .push(format!("{} refused the job, nothing of it runs: {reason}.", line.node));
            }
            "job in doubt" => causes
                .push(format!("{} does not know whether the job is stored: {reason}.", line.node)),
            "results not stored" => {
                causes.push(format!("{} could not store results: {reason}.", line.node));
            }
            "job taken over" => {
                let from = line.field("from").unwrap_or_default();
                causes.push(format!("{} took the job over, as {from} was silent.", line.node));
            }
            _ => {}
        }
    }
    delay_causes(lines, &job_lines, runs, causes);
}

/// Adds causes of late results: a long wait for an engine and a long text.
fn delay_causes(
    lines: &[LogLine],
    job_lines: &[&LogLine],
    runs: &[ItemRun<'_>],
    causes: &mut Vec<String>,
) {
    let Some(accepted) = job_lines.iter().find(|line| line.event == "job accepted") else { return };
    let last_start = runs.iter().map(|run| run.started).max();
    let long_wait = last_start
        .map(|started_at| started_at - accepted.timestamp)
        .filter(|wait| *wait >= MIN_REPORTED_WAIT);
    if let Some(wait) = long_wait {
        let model = accepted.field("model").unwrap_or_default();
        let min_version = accepted.number("min_version").unwrap_or_default();
        let swap_orders = lines.iter().filter(|line| {
            line.component == "swap"
                && line.event == "order"
                && line.field("model") == Some(model)
                && line.number("version") >= Some(min_version)
                && line.timestamp >= accepted.timestamp
                && Some(line.timestamp) <= last_start
        });
        causes.push(format!(
            "Items waited up to {:.1} s for an engine with version {min_version} or newer of {model}; {} \
             engines were ordered to such a version meanwhile.",
            wait.as_seconds_f64(),
            swap_orders.count(),
        ));
    }
    let text_times = runs.iter().filter_map(|run| {
        let (completed_at, events) = run.completed?;
        Some((completed_at - run.started, run.item, events))
    });
    if let Some((time, item, events)) =
        text_times.max().filter(|(time, ..)| *time >= MIN_REPORTED_TEXT_TIME)
    {
        causes.push(format!(
            "The longest text is that of item {item}: {events} events in {:.1} s.",
            time.as_seconds_f64(),
        ));
    }
}

/// Adds the causes that are named in the log lines of an item.
fn item_causes(id_lines: &[&LogLine], causes: &mut Vec<String>) {
    for line in id_lines {
        let target = line.field("target").unwrap_or("its engine");
        match line.event.as_str() {
            "run broken" => {
                let reason = line.field("reason").unwrap_or("no reason given");
                causes.push(format!("The run on {target} broke off: {reason}."));
            }
            "run failed" => {
                let status = line.field("status").unwrap_or_default();
                causes.push(format!("{target} answered the run with {status}."));
            }
            "reward failed" => {
                let status = line.field("status").unwrap_or_default();
                causes.push(format!("The reward call was answered with {status}."));
            }
            "item impossible" => causes.push("The item can never be run.".to_owned()),
            "item given up" => {
                causes.push("The item was given up at the end of its longest wait.".to_owned());
            }
            _ => {}
        }
    }
}
