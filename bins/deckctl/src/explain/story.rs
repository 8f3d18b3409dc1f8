//! What logs say about one request, item or batch job.

use std::collections::{BTreeSet, HashMap};

use time::{Duration, OffsetDateTime};

use crate::explain::line::LogLine;

/// Wait for an engine from which on it is named as a cause.
const LONG_WAIT: Duration = Duration::milliseconds(1000);
/// Time of a text from which on it is named as a cause.
const LONG_TEXT: Duration = Duration::milliseconds(4000);
/// Time before the first line on an id in which changes of its nodes are shown.
const BEFORE: Duration = Duration::seconds(2);
/// Components whose lines tell what a node believes and whom it reaches.
const CONTEXT: [&str; 4] = ["fleet", "lead", "node", "store"];

/// What logs say about an id.
pub struct Story<'a> {
    /// Lines about the id and about its job, and the changes of the nodes that wrote them.
    pub lines: Vec<&'a LogLine>,
    /// Causes in plain words, the first one first.
    pub causes: Vec<String>,
}

/// Returns what `lines` say about an id; `None` if they do not name it. The lines are in the order
/// of their time.
pub fn tell<'a>(lines: &'a [LogLine], id: &str) -> Option<Story<'a>> {
    let about: Vec<&LogLine> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (first, last) = (about.first()?, about.last()?);
    // The id of an item leads to its job.
    let job = about.iter().find_map(|line| line.field("job")).unwrap_or(id);
    let is_job = job == id;
    let of_job = |line: &&LogLine| line.field("job") == Some(job) && line.field("item").is_none();
    let nodes: BTreeSet<&str> = about.iter().map(|line| line.node.as_str()).collect();
    let is_context = |line: &LogLine| {
        CONTEXT.contains(&line.component.as_str())
            && nodes.contains(line.node.as_str())
            && line.at >= first.at - BEFORE
            && line.at <= last.at
    };
    let shown = |line: &&LogLine| {
        let of_item = is_job && line.field("item").is_some() && line.event != "item given up";
        (line.is_about(id) && !of_item) || of_job(line) || is_context(line)
    };
    let shown: Vec<&LogLine> = lines.iter().filter(shown).collect();
    let mut causes = Vec::new();
    plain_causes(&about, &mut causes);
    let runs = runs(lines, job, (!is_job).then_some(id));
    job_causes(lines, job, &runs, &mut causes);
    if !is_job {
        item_causes(&about, &mut causes);
    }
    let context: Vec<&LogLine> = lines.iter().filter(|line| is_context(line)).collect();
    node_causes(&context, nodes.len(), first.at, &mut causes);
    let mut causes = count_repeats(causes);
    if causes.is_empty() {
        causes.push("Nothing in these logs went wrong.".to_owned());
    }
    Some(Story { lines: shown, causes })
}

/// Gives each cause once, with the number of its repetitions.
fn count_repeats(causes: Vec<String>) -> Vec<String> {
    let mut counted: Vec<(String, usize)> = Vec::new();
    for cause in causes {
        match counted.iter_mut().find(|(known, _)| *known == cause) {
            Some((_, count)) => *count += 1,
            None => counted.push((cause, 1)),
        }
    }
    let text = |(cause, count): (String, usize)| match count {
        1 => cause,
        _ => format!("{} ({count} times).", cause.trim_end_matches('.')),
    };
    counted.into_iter().map(text).collect()
}

/// Causes that the nodes saw meanwhile: outages of the object API and restarts.
fn node_causes(
    context: &[&LogLine],
    node_count: usize,
    start: OffsetDateTime,
    causes: &mut Vec<String>,
) {
    let of = |event: &str| -> Vec<&&LogLine> {
        context.iter().filter(|line| line.event == event && line.at >= start).collect()
    };
    let since = |line: &LogLine| (line.at - start).as_seconds_f64();
    let lost = of("object API lost");
    if let Some(first) = lost.first() {
        let nodes: BTreeSet<&str> = lost.iter().map(|line| line.node.as_str()).collect();
        let end = match of("object API is back").last() {
            Some(back) => format!("until {:.1} s", since(back)),
            None => "to the end".to_owned(),
        };
        let (count, from) = (nodes.len(), since(first));
        causes.push(format!(
            "The object API did not answer {count} of these {node_count} nodes, from {from:.1} s after the first line {end}."
        ));
    }
    let started: BTreeSet<&str> = of("start").iter().map(|line| line.node.as_str()).collect();
    if !started.is_empty() {
        let nodes: Vec<&str> = started.into_iter().collect();
        causes.push(format!("Started again meanwhile: {}.", nodes.join(", ")));
    }
}

/// Causes of a plain request.
fn plain_causes(about: &[&LogLine], causes: &mut Vec<String>) {
    for line in about {
        match (line.component.as_str(), line.event.as_str()) {
            ("forward", "attempt failed") => {
                // The target's name is followed by what the attempt ended with.
                let end = line.field("target").unwrap_or_default();
                let (target, end) = end.split_once(' ').unwrap_or((end, ""));
                let ran = if end.starts_with("NotRun") { "did not run" } else { "may have run" };
                causes.push(format!("Target {target} {ran} the request: {end}."));
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

/// Runs of an item in a job.
struct Runs<'a> {
    item: &'a str,
    /// Start of the first one.
    started: OffsetDateTime,
    /// When the text was complete, and its number of events.
    completed: Option<(OffsetDateTime, u64)>,
}

/// Returns the runs of the items of a job, or of one of them. An item may come again in a later job.
fn runs<'a>(lines: &'a [LogLine], job: &str, only: Option<&str>) -> Vec<Runs<'a>> {
    let mut job_of: HashMap<&str, &str> = HashMap::new();
    let mut runs: Vec<Runs<'a>> = Vec::new();
    for line in lines.iter().filter(|line| line.component == "batch") {
        let Some(item) = line.field("item") else { continue };
        if only.is_some_and(|only| only != item) {
            continue;
        }
        match (line.event.as_str(), line.field("job")) {
            ("run starts", Some(of)) => {
                job_of.insert(item, of);
                if of == job && !runs.iter().any(|run| run.item == item) {
                    runs.push(Runs { item, started: line.at, completed: None });
                }
            }
            ("run complete", _) if job_of.get(item) == Some(&job) => {
                let run = runs.iter_mut().find(|run| run.item == item);
                if let Some(run) = run.filter(|run| run.completed.is_none()) {
                    run.completed = Some((line.at, line.number("event").unwrap_or_default()));
                }
            }
            _ => {}
        }
    }
    runs
}

/// Causes that concern a whole job.
fn job_causes(lines: &[LogLine], job: &str, runs: &[Runs<'_>], causes: &mut Vec<String>) {
    let of_job: Vec<&LogLine> =
        lines.iter().filter(|line| line.field("job") == Some(job)).collect();
    for line in &of_job {
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
    late_causes(lines, &of_job, runs, causes);
}

/// Causes of results that come late.
fn late_causes(
    lines: &[LogLine],
    of_job: &[&LogLine],
    runs: &[Runs<'_>],
    causes: &mut Vec<String>,
) {
    let Some(accepted) = of_job.iter().find(|line| line.event == "job accepted") else { return };
    let last_start = runs.iter().map(|run| run.started).max();
    let waited = last_start.map(|at| at - accepted.at).filter(|wait| *wait >= LONG_WAIT);
    if let Some(wait) = waited {
        let model = accepted.field("model").unwrap_or_default();
        let oldest = accepted.number("min_version").unwrap_or_default();
        let loads = lines.iter().filter(|line| {
            line.component == "swap"
                && line.event == "order"
                && line.field("model") == Some(model)
                && line.number("version") >= Some(oldest)
                && line.at >= accepted.at
                && Some(line.at) <= last_start
        });
        causes.push(format!(
            "Items waited up to {:.1} s for an engine with version {oldest} or newer of {model}; {} \
             engines were ordered to such a version meanwhile.",
            wait.as_seconds_f64(),
            loads.count(),
        ));
    }
    let texts = runs.iter().filter_map(|run| {
        let (at, events) = run.completed?;
        Some((at - run.started, run.item, events))
    });
    if let Some((time, item, events)) = texts.max().filter(|(time, ..)| *time >= LONG_TEXT) {
        causes.push(format!(
            "The longest text is that of item {item}: {events} events in {:.1} s.",
            time.as_seconds_f64(),
        ));
    }
}

/// Causes that concern one item.
fn item_causes(about: &[&LogLine], causes: &mut Vec<String>) {
    for line in about {
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
