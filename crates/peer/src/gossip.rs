//! Dissemination of published values over the links, as in Plumtree (epidemic broadcast trees).
//!
//! Each end of a link is eager or lazy. Changed values are sent on eager links, which form a
//! spanning tree: a VM that receives only values that it already has makes the link lazy, which is
//! called pruning. On lazy links only summaries with the versions of recently changed values are
//! sent, on one random link about every second. A VM that lacks one of these versions fetches it
//! and makes that link eager, which repairs the tree.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    links::Link,
    peer::SharedState,
    wire::{Message, ValueFetch, ValueRecord, ValueSummary},
};

/// Mean time between two summaries of recently changed values, each sent on one random lazy link.
const RECENT_SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// Number of eager links from which on a VM makes no further link eager at the request of another
/// VM, and above which it makes one lazy. Otherwise some VMs would have many branches of the tree
/// and send many times as much as others. A VM that loses an eager link by this finds another one
/// through the summaries.
const MAX_EAGER_LINKS: usize = 4;
/// Time between two summaries of all known values, each sent on one random link.
const FULL_SUMMARY_PERIOD: Duration = Duration::from_secs(30);

/// In each `value_send_period`, sends the values that changed since the last one on the eager
/// links.
pub(crate) async fn send_value_changes(shared: Rc<SharedState>) {
    loop {
        monoio::time::sleep(shared.options.value_send_period).await;
        let member_count = shared.active_member_count().max(1);
        let own_budget_bytes_per_s =
            shared.options.values_budget_bytes_per_s as f64 / member_count as f64;
        shared.values.borrow_mut().release_own_values(Instant::now(), own_budget_bytes_per_s);
        for link in shared.links.borrow().all() {
            send_changes_on_link(&shared, &link);
        }
    }
}

/// Sends the changes that have not been handled for this link yet if it is eager, and only marks
/// them as handled if it is lazy.
fn send_changes_on_link(shared: &SharedState, link: &Link) {
    let last_handled = link.last_handled_change.get();
    let values = shared.values.borrow();
    link.last_handled_change.set(values.last_change());
    if last_handled == values.last_change() || !link.is_eager.get() {
        return;
    }
    let records = values.changed_after(last_handled, link.id);
    drop(values);
    if !records.is_empty() {
        link.send(shared, &Message::Values(records));
    }
}

/// Sends a summary of recent changes on a random lazy link about every [`RECENT_SUMMARY_PERIOD`],
/// and a summary of all values on a random link every [`FULL_SUMMARY_PERIOD`].
pub(crate) async fn send_summaries(shared: Rc<SharedState>) {
    // Numbers of the last change at the start of each of the last four summary periods, oldest
    // first.
    let mut period_start_changes = [0; 4];
    let mut next_full = Instant::now() + FULL_SUMMARY_PERIOD;
    loop {
        // Jitter, so that VMs that started together do not send at the same time.
        let jitter = rand::rng().random_range(0.5..1.5);
        monoio::time::sleep(RECENT_SUMMARY_PERIOD.mul_f64(jitter)).await;
        if next_full <= Instant::now() {
            next_full = Instant::now() + FULL_SUMMARY_PERIOD;
            if let Some(link) = shared.random_link(|_| true) {
                send_full_summary(&shared, &link);
            }
        }
        // The changes of two periods, but not of the two latest ones: the receiver would also fetch
        // values that are still in flight to it on eager links, and needlessly make this link
        // eager.
        let recent_changes = period_start_changes[0] + 1..=period_start_changes[2];
        if !recent_changes.is_empty()
            && let Some(link) = shared.random_link(|link| !link.is_eager.get())
        {
            let pairs = shared.values.borrow().summary(recent_changes);
            link.send(&shared, &Message::ValueSummary(ValueSummary { pairs, recent: true }));
        }
        prune_surplus_eager_link(&shared);
        period_start_changes.rotate_left(1);
        period_start_changes[3] = shared.values.borrow().last_change();
    }
}

/// Returns the number of eager links.
fn eager_link_count(shared: &SharedState) -> usize {
    shared.links.borrow().all().iter().filter(|link| link.is_eager.get()).count()
}

/// Makes one random eager link lazy if there are more than [`MAX_EAGER_LINKS`]; the VM at its other
/// end finds another eager link through the next summaries.
fn prune_surplus_eager_link(shared: &SharedState) {
    if eager_link_count(shared) > MAX_EAGER_LINKS
        && let Some(link) = shared.random_link(|link| link.is_eager.get())
    {
        link.is_eager.set(false);
        link.send(shared, &Message::Prune(()));
    }
}

/// Sends a summary of the versions of all known values on a link.
pub(crate) fn send_full_summary(shared: &SharedState, link: &Link) {
    let values = shared.values.borrow();
    link.last_handled_change.set(values.last_change());
    let pairs = values.summary(0..=values.last_change());
    drop(values);
    link.send(shared, &Message::ValueSummary(ValueSummary { pairs, recent: false }));
}

/// Handles received values. If none of them is new, makes the link lazy at both ends, unless it is
/// the only eager link.
pub(crate) fn on_values(shared: &SharedState, link: &Link, records: Vec<ValueRecord>) {
    let now = Instant::now();
    let mut has_new_value = records.is_empty();
    {
        let mut values = shared.values.borrow_mut();
        for record in records {
            has_new_value |= values.merge(record, link.id, now);
        }
    }
    if !has_new_value
        && shared
            .random_link(|candidate| candidate.id != link.id && candidate.is_eager.get())
            .is_some()
    {
        link.is_eager.set(false);
        link.send(shared, &Message::Prune(()));
    }
}

/// Handles a summary: fetches the values of which this VM has no version or an older one. If the
/// summary is one of recent changes, the link becomes eager.
pub(crate) fn on_summary(shared: &SharedState, link: &Link, summary: &ValueSummary) {
    let keys = shared.values.borrow().missing_key_hashes(&summary.pairs);
    if keys.is_empty() {
        return;
    }
    if summary.recent {
        link.is_eager.set(true);
    }
    link.send(shared, &Message::ValueFetch(ValueFetch { keys, eager: summary.recent }));
}

/// Handles a request for values. Makes the link eager if the request asks for it and this VM has
/// fewer than [`MAX_EAGER_LINKS`].
pub(crate) fn on_fetch(shared: &SharedState, link: &Link, fetch: &ValueFetch) {
    let eager_count = shared.links.borrow().all().iter().filter(|link| link.is_eager.get()).count();
    if fetch.eager && eager_count < MAX_EAGER_LINKS {
        link.is_eager.set(true);
    }
    let records = shared.values.borrow().records_by_hash(&fetch.keys);
    if !records.is_empty() {
        link.send(shared, &Message::Values(records));
    }
}
