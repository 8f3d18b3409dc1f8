//! Checks of invariants. Each check returns a description of every violation that it finds.

use std::collections::{BTreeMap, BTreeSet};

use crate::records::{
    Booking, JournalEntry, ObjectWrite, OrganisationTokens, Sample, Span, TokenRange,
};

/// Returns the number of executions of each idempotency key. Executions without a key are ignored.
pub fn executions_by_key(entries: &[JournalEntry]) -> BTreeMap<&str, u64> {
    let mut execution_counts = BTreeMap::new();
    for entry in entries {
        if let JournalEntry::Execution(execution) = entry
            && let Some(key) = &execution.key
        {
            *execution_counts.entry(key.as_str()).or_default() += 1;
        }
    }
    execution_counts
}

/// Checks that no key was executed more than once.
pub fn check_executions(entries: &[JournalEntry]) -> Vec<String> {
    let execution_counts = executions_by_key(entries);
    let repeated = execution_counts.iter().filter(|(_, count)| **count > 1);
    repeated.map(|(key, count)| format!("key {key} ran {count} times")).collect()
}

/// Checks that a confirmed booking was executed exactly once, and that a booking that was only ever
/// refused as not run was not executed.
pub fn check_bookings(bookings: &[Booking], entries: &[JournalEntry]) -> Vec<String> {
    let execution_counts = executions_by_key(entries);
    let mut violations = check_executions(entries);
    for booking in bookings {
        let Some(key) = &booking.key else { continue };
        let count = execution_counts.get(key.as_str()).copied().unwrap_or(0);
        if booking.outcome == "ok" && count != 1 {
            violations.push(format!("booking {key} was confirmed but ran {count} times"));
        }
        if booking.never_run && count > 0 {
            violations.push(format!("booking {key} was refused as not run but ran {count} times"));
        }
    }
    violations
}

/// Checks that finished steps are complete, that no trainer process received a sample or group twice,
/// and that trainers recorded no protocol violation.
pub fn check_samples(entries: &[JournalEntry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut seen = BTreeSet::new();
    let mut received_by_step: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for entry in entries {
        match entry {
            JournalEntry::Sample(sample) => {
                if !seen.insert((sample.run, sample.id.as_str())) {
                    violations.push(format!("sample {} was received twice", sample.id));
                }
                *received_by_step.entry((sample.run, sample.step)).or_default() += 1;
            }
            JournalEntry::Step(step) => {
                let received = received_by_step.get(&(step.run, step.step)).copied().unwrap_or(0);
                if received != step.samples_per_step {
                    let expected = step.samples_per_step;
                    violations
                        .push(format!("step {} has {received} of {expected} samples", step.step));
                }
            }
            JournalEntry::Duplicate(duplicate) => violations.push(format!(
                "group {} of step {} was delivered although the pull listed it as held",
                duplicate.group, duplicate.step
            )),
            JournalEntry::Violation(message) => violations.push(message.clone()),
            _ => {}
        }
    }
    violations
}

/// Checks that the oldest weight version of each sample is at most `bound_versions` behind the
/// version of its trainer.
pub fn check_staleness(entries: &[JournalEntry], bound_versions: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for sample in sample_entries(entries) {
        let oldest = sample.spans.iter().map(|span| span.weight_version).min().unwrap_or(0);
        if oldest + bound_versions < sample.trainer_version {
            violations.push(format!(
                "sample {} has version {oldest}, its trainer has {}, the bound is {bound_versions}",
                sample.id, sample.trainer_version
            ));
        }
    }
    violations
}

/// Checks that the engines generated each token of a sample with the weight version that the sample
/// reports for it.
///
/// If the engines have requests of the sample, by request id, only those are considered. Otherwise all
/// requests with the same text are, which includes other samples of the same prompt.
pub fn check_spans(trainers: &[JournalEntry], engines: &[JournalEntry]) -> Vec<String> {
    let ranges: Vec<&TokenRange> = engines
        .iter()
        .filter_map(|entry| match entry {
            JournalEntry::Tokens(range) => Some(range),
            _ => None,
        })
        .collect();
    let mut ranges_by_text: BTreeMap<&str, Vec<&TokenRange>> = BTreeMap::new();
    for range in ranges {
        ranges_by_text.entry(&range.text_key).or_default().push(range);
    }
    sample_entries(trainers).filter_map(|sample| span_violation(sample, &ranges_by_text)).collect()
}

fn span_violation(
    sample: &Sample,
    ranges_by_text: &BTreeMap<&str, Vec<&TokenRange>>,
) -> Option<String> {
    let same_text =
        ranges_by_text.iter().filter(|(key, _)| key.starts_with(sample.text_key.as_str()));
    let mut candidates: Vec<&TokenRange> =
        same_text.flat_map(|(_, ranges)| ranges).copied().collect();
    if candidates.iter().any(|range| belongs_to_sample(&range.request_id, &sample.id)) {
        candidates.retain(|range| belongs_to_sample(&range.request_id, &sample.id));
    }
    if sample.spans.is_empty() {
        return Some(format!("sample {} reports no weight version", sample.id));
    }
    let mut position = 0;
    for Span { weight_version, token_count } in sample.spans.iter().copied() {
        let end = position + token_count;
        if let Some(missing) = first_missing_token(&candidates, weight_version, position, end) {
            return Some(format!(
                "sample {}: no engine made token {missing} with version {weight_version}",
                sample.id
            ));
        }
        position = end;
    }
    None
}

/// Returns the first position in `from..to` that `ranges` do not cover with `weight_version`.
fn first_missing_token(
    ranges: &[&TokenRange],
    weight_version: u64,
    from: u32,
    to: u32,
) -> Option<u32> {
    let mut intervals: Vec<_> = ranges
        .iter()
        .filter(|range| range.weight_version == weight_version)
        .map(|range| (range.from, range.to))
        .collect();
    intervals.sort_unstable();
    let mut position = from;
    for (start, end) in intervals {
        if start <= position && position < end {
            position = end;
        }
    }
    (position < to).then_some(position)
}

/// Checks the orders in the journal of one engine: among the accepted ones, the fencing number never
/// decreases and no order switches to an older weight version.
pub fn check_versions(journal: &[JournalEntry]) -> Vec<String> {
    let mut violations = Vec::new();
    let (mut highest_fencing, mut highest_version) = (0, 0);
    for entry in journal {
        let JournalEntry::Order(order) = entry else { continue };
        if !order.accepted {
            continue;
        }
        if order.fencing < highest_fencing {
            let fencing = order.fencing;
            violations.push(format!("fencing number {fencing} accepted after {highest_fencing}"));
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

/// Checks that services executed at most `factor * sent_calls + constant` calls.
pub fn check_load_factor(
    factor: f64,
    constant: u64,
    sent_calls: u64,
    entries: &[JournalEntry],
) -> Vec<String> {
    let executed =
        entries.iter().filter(|entry| matches!(entry, JournalEntry::Execution(_))).count();
    let bound = factor * sent_calls as f64 + constant as f64;
    if executed as f64 <= bound {
        return Vec::new();
    }
    vec![format!("{executed} runs for {sent_calls} calls, at most {bound:.0} are allowed")]
}

/// Checks that an organisation received `share_percent` of the tokens of a load, plus or minus
/// `tolerance_percent` percentage points.
pub fn check_share(
    organisation: &str,
    share_percent: f64,
    tolerance_percent: f64,
    token_counts: &[OrganisationTokens],
) -> Vec<String> {
    let total: u64 = token_counts.iter().map(|entry| entry.tokens).sum();
    let own = token_counts.iter().filter(|entry| entry.organisation == organisation);
    let own: u64 = own.map(|entry| entry.tokens).sum();
    let found_percent = own as f64 * 100.0 / total as f64;
    // Without any tokens the share is NaN, which fails the comparison.
    if (found_percent - share_percent).abs() <= tolerance_percent {
        return Vec::new();
    }
    vec![format!("{organisation} received {found_percent:.1}% of the tokens, not {share_percent}%")]
}

/// Returns whether a request was sent for a sample: its id is the sample id, with or without a suffix
/// such as the number of a retry. A digit after the sample id belongs to a longer number, and so to
/// another sample.
fn belongs_to_sample(request_id: &str, sample_id: &str) -> bool {
    request_id
        .strip_prefix(sample_id)
        .is_some_and(|suffix| !suffix.starts_with(|character: char| character.is_ascii_digit()))
}

fn sample_entries(entries: &[JournalEntry]) -> impl Iterator<Item = &Sample> {
    entries.iter().filter_map(|entry| match entry {
        JournalEntry::Sample(sample) => Some(sample),
        _ => None,
    })
}

/// Checks that the accepted revision in the status of an object never decreases and is a revision of
/// that object. Revision 0 means that none is accepted yet.
pub fn check_configuration(history: &[ObjectWrite]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut revisions: BTreeMap<(&str, &str), BTreeSet<u64>> = BTreeMap::new();
    let mut highest_accepted: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for write in history {
        let Some(kind) = write.kind.strip_suffix("Status") else {
            let key = (write.kind.as_str(), write.name.as_str());
            revisions.entry(key).or_default().insert(write.revision);
            continue;
        };
        let Some(revision) = accepted_revision(write) else { continue };
        let key = (kind, write.name.as_str());
        let highest = highest_accepted.entry(key).or_default();
        if revision < *highest {
            violations.push(format!(
                "{kind} {} reverted from revision {highest} to {revision}",
                write.name
            ));
        }
        *highest = revision.max(*highest);
        let is_known = revisions.get(&key).is_some_and(|known| known.contains(&revision));
        if revision != 0 && !is_known {
            violations.push(format!("{kind} {} never had revision {revision}", write.name));
        }
    }
    violations
}

fn accepted_revision(write: &ObjectWrite) -> Option<u64> {
    let value = write.value.as_ref()?;
    let spec = value.get("spec").unwrap_or(value);
    find_number_field(spec, "accepted_revision")
}

/// Finds a number by its field name at the top level or one level below: some kinds of status nest the
/// accepted revision in another field.
fn find_number_field(value: &serde_json::Value, name: &str) -> Option<u64> {
    let top_level = value.get(name).and_then(serde_json::Value::as_u64);
    let nested = || value.as_object()?.values().find_map(|field| field.get(name)?.as_u64());
    top_level.or_else(nested)
}
