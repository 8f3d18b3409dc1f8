//! Invariant checkers. Each returns its violations; none means that the invariant holds.

use std::collections::{BTreeMap, BTreeSet};

use crate::records::{Booking, Entry, Received, Sample, Span, Tokens, Write};

/// Counts the executions by key.
pub fn executions_by_key(entries: &[Entry]) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for entry in entries {
        if let Entry::Execution(execution) = entry
            && let Some(key) = &execution.key
        {
            *counts.entry(key.as_str()).or_default() += 1;
        }
    }
    counts
}

/// Each key ran at most once.
pub fn executions(entries: &[Entry]) -> Vec<String> {
    let counts = executions_by_key(entries);
    let doubled = counts.iter().filter(|(_, count)| **count > 1);
    doubled.map(|(key, count)| format!("key {key} ran {count} times")).collect()
}

/// A booking that was answered ran exactly once; one whose refusals all said `not_run` did not run.
pub fn bookings(bookings: &[Booking], entries: &[Entry]) -> Vec<String> {
    let counts = executions_by_key(entries);
    let mut violations = executions(entries);
    for booking in bookings {
        let Some(key) = &booking.key else { continue };
        let count = counts.get(key.as_str()).copied().unwrap_or(0);
        if booking.outcome == "ok" && count != 1 {
            violations.push(format!("booking {key} was answered and ran {count} times"));
        }
        if booking.never_run && count > 0 {
            violations.push(format!("booking {key} was refused as not run and ran {count} times"));
        }
    }
    violations
}

/// Finished steps are complete, no sample came twice to the same process of a trainer, and no
/// answer broke the protocol.
pub fn samples(entries: &[Entry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut seen = BTreeSet::new();
    let mut by_step: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for entry in entries {
        match entry {
            Entry::Sample(sample) => {
                if !seen.insert((sample.run, sample.id.as_str())) {
                    violations.push(format!("sample {} came twice", sample.id));
                }
                *by_step.entry((sample.run, sample.step)).or_default() += 1;
            }
            Entry::Step(step) => {
                let found = by_step.get(&(step.run, step.step)).copied().unwrap_or(0);
                if found != step.samples_per_step {
                    let expected = step.samples_per_step;
                    violations
                        .push(format!("step {} has {found} of {expected} samples", step.step));
                }
            }
            Entry::Duplicate(duplicate) => violations.push(format!(
                "group {} of step {} came although the pull named it as held",
                duplicate.group, duplicate.step
            )),
            Entry::Violation(message) => violations.push(message.clone()),
            _ => {}
        }
    }
    violations
}

/// No sample is further behind its trainer than `bound_versions`.
pub fn staleness(entries: &[Entry], bound_versions: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for sample in samples_of(entries) {
        let oldest = sample.spans.iter().map(|span| span.weight_version).min().unwrap_or(0);
        if oldest + bound_versions < sample.trainer_version {
            violations.push(format!(
                "sample {} has version {oldest}, its trainer {}, and the bound is {bound_versions}",
                sample.id, sample.trainer_version
            ));
        }
    }
    violations
}

/// Engines recorded every token of every sample under the weight version that the sample names.
///
/// If a request id begins with the sample's id, only the tokens of such requests count. Otherwise
/// those of all requests with the same text count: samples of one prompt have the same text.
pub fn spans(trainers: &[Entry], engines: &[Entry]) -> Vec<String> {
    let tokens: Vec<&Tokens> = engines
        .iter()
        .filter_map(|entry| match entry {
            Entry::Tokens(tokens) => Some(tokens),
            _ => None,
        })
        .collect();
    let mut by_key: BTreeMap<&str, Vec<&Tokens>> = BTreeMap::new();
    for tokens in tokens {
        by_key.entry(&tokens.text_key).or_default().push(tokens);
    }
    samples_of(trainers).filter_map(|sample| span_violation(sample, &by_key)).collect()
}

fn span_violation(sample: &Sample, by_key: &BTreeMap<&str, Vec<&Tokens>>) -> Option<String> {
    let same_text = by_key.iter().filter(|(key, _)| key.starts_with(sample.text_key.as_str()));
    let mut relevant: Vec<&Tokens> = same_text.flat_map(|(_, tokens)| tokens).copied().collect();
    if relevant.iter().any(|tokens| is_of_sample(&tokens.request_id, &sample.id)) {
        relevant.retain(|tokens| is_of_sample(&tokens.request_id, &sample.id));
    }
    if sample.spans.is_empty() {
        return Some(format!("sample {} names no weight version", sample.id));
    }
    let mut position = 0;
    for Span { weight_version, token_count } in sample.spans.iter().copied() {
        let end = position + token_count;
        if let Some(missing) = first_uncovered(&relevant, weight_version, position, end) {
            return Some(format!(
                "sample {}: no engine made token {missing} with version {weight_version}",
                sample.id
            ));
        }
        position = end;
    }
    None
}

/// Returns the first position in `from..to` that no engine made with `weight_version`.
fn first_uncovered(tokens: &[&Tokens], weight_version: u64, from: u32, to: u32) -> Option<u32> {
    let mut ranges: Vec<_> = tokens
        .iter()
        .filter(|tokens| tokens.weight_version == weight_version)
        .map(|tokens| (tokens.from, tokens.to))
        .collect();
    ranges.sort_unstable();
    let mut position = from;
    for (start, end) in ranges {
        if start <= position && position < end {
            position = end;
        }
    }
    (position < to).then_some(position)
}

/// The orders that one engine accepted never have a lower fencing number than an earlier one, and
/// never make it switch to an older version.
pub fn versions(engine: &[Entry]) -> Vec<String> {
    let mut violations = Vec::new();
    let (mut highest_fencing, mut highest_version) = (0, 0);
    for entry in engine {
        let Entry::Order(order) = entry else { continue };
        if !order.accepted {
            continue;
        }
        if order.fencing < highest_fencing {
            let found = order.fencing;
            violations.push(format!("fencing number {found} accepted after {highest_fencing}"));
        }
        highest_fencing = highest_fencing.max(order.fencing);
        let switches = matches!(order.action.as_str(), "switch" | "load_model");
        if let Some(version) = order.version.filter(|_| switches) {
            if version < highest_version {
                violations.push(format!("switched from version {highest_version} to {version}"));
            }
            highest_version = highest_version.max(version);
        }
    }
    violations
}

/// Targets ran at most `factor` times the calls that were sent, and `constant` more.
pub fn load_factor(factor: f64, constant: u64, sent: u64, entries: &[Entry]) -> Vec<String> {
    let ran = entries.iter().filter(|entry| matches!(entry, Entry::Execution(_))).count();
    let bound = factor * sent as f64 + constant as f64;
    if ran as f64 <= bound {
        return Vec::new();
    }
    vec![format!("{ran} runs for {sent} calls, at most {bound:.0} are allowed")]
}

/// An organisation received `share_percent` of the tokens of a load, within `tolerance_percent`.
pub fn share(
    organisation: &str,
    share_percent: f64,
    tolerance_percent: f64,
    received: &[Received],
) -> Vec<String> {
    let total: u64 = received.iter().map(|entry| entry.tokens).sum();
    let own = received.iter().filter(|entry| entry.organisation == organisation);
    let own: u64 = own.map(|entry| entry.tokens).sum();
    let found_percent = own as f64 * 100.0 / total as f64;
    // Without any tokens the share is not a number, which is not within any tolerance.
    if (found_percent - share_percent).abs() <= tolerance_percent {
        return Vec::new();
    }
    vec![format!("{organisation} received {found_percent:.1}% of the tokens, not {share_percent}%")]
}

/// Returns whether a request belongs to a sample: the same id, with or without the number of a try.
fn is_of_sample(request_id: &str, sample_id: &str) -> bool {
    request_id
        .strip_prefix(sample_id)
        .is_some_and(|rest| !rest.starts_with(|next: char| next.is_ascii_digit()))
}

fn samples_of(entries: &[Entry]) -> impl Iterator<Item = &Sample> {
    entries.iter().filter_map(|entry| match entry {
        Entry::Sample(sample) => Some(sample),
        _ => None,
    })
}

/// The accepted revision in the status of an object never falls and is a revision of the object.
pub fn configuration(history: &[Write]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut revisions: BTreeMap<(&str, &str), BTreeSet<u64>> = BTreeMap::new();
    let mut accepted: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for write in history {
        let Some(kind) = write.kind.strip_suffix("Status") else {
            let key = (write.kind.as_str(), write.name.as_str());
            revisions.entry(key).or_default().insert(write.revision);
            continue;
        };
        let Some(revision) = accepted_revision(write) else { continue };
        let key = (kind, write.name.as_str());
        let highest = accepted.entry(key).or_default();
        if revision < *highest {
            violations.push(format!(
                "{kind} {} went back from revision {highest} to {revision}",
                write.name
            ));
        }
        *highest = revision.max(*highest);
        let is_known = revisions.get(&key).is_some_and(|known| known.contains(&revision));
        if revision != 0 && !is_known {
            violations.push(format!("{kind} {} has no revision {revision}", write.name));
        }
    }
    violations
}

fn accepted_revision(write: &Write) -> Option<u64> {
    let value = write.value.as_ref()?;
    let spec = value.get("spec").unwrap_or(value);
    find_number(spec, "accepted_revision")
}

/// Looks for a number at the top or one level below it: a status may hold the acceptance in a
/// field of its own.
fn find_number(value: &serde_json::Value, name: &str) -> Option<u64> {
    let direct = value.get(name).and_then(serde_json::Value::as_u64);
    let nested = || value.as_object()?.values().find_map(|field| field.get(name)?.as_u64());
    direct.or_else(nested)
}
