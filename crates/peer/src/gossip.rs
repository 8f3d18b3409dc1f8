//! Spread of published values over the links.
//!
//! Values are sent at once on the eager links, which form a spanning tree: a VM that receives a
//! value twice prunes the link of the second copy. Versions of recent values go to one of the other
//! links now and then; a VM that lacks one fetches it and makes that link eager, which repairs the
//! tree.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt;

use crate::{
    links::Link,
    peer::Shared,
    wire::{Message, ValueFetch, ValueRecord, ValueSummary},
};

/// Time between summaries of recent changes.
const RECENT_SUMMARY_PERIOD: Duration = Duration::from_secs(1);
/// Eager links above which a VM takes no further one, so that no VM becomes the hub of the tree and
/// sends many times as much as the others. A VM that is turned away finds another link.
const MAX_EAGER_LINKS: usize = 4;
/// Time between summaries of all values.
const FULL_SUMMARY_PERIOD: Duration = Duration::from_secs(30);

/// Sends changed values on the eager links in each gossip period.
pub(crate) async fn send_changes(shared: Rc<Shared>) {
    loop {
        monoio::time::sleep(shared.options.gossip_period).await;
        let member_count = shared.active_member_count().max(1);
        let part = shared.options.values_budget_bytes_per_s as f64 / member_count as f64;
        shared.values.borrow_mut().admit_own(Instant::now(), part);
        for link in shared.links.borrow().all() {
            send_changes_on(&shared, &link);
        }
    }
}

fn send_changes_on(shared: &Shared, link: &Link) {
    let after = link.sent_change.get();
    let values = shared.values.borrow();
    link.sent_change.set(values.last_change());
    if after == values.last_change() || !link.eager.get() {
        return;
    }
    let records = values.changed_after(after, link.id);
    drop(values);
    if !records.is_empty() {
        link.send(shared, &Message::Values(records));
    }
}

/// Sends summaries: of recent changes to one link that is not eager, and rarely of all values.
pub(crate) async fn send_summaries(shared: Rc<Shared>) {
    // Last changes at the starts of the last periods, the oldest first.
    let mut marks = [0; 4];
    let mut next_full = Instant::now() + FULL_SUMMARY_PERIOD;
    loop {
        // Spread, so that VMs that started together do not send at the same time.
        let factor = rand::rng().random_range(0.5..1.5);
        monoio::time::sleep(RECENT_SUMMARY_PERIOD.mul_f64(factor)).await;
        if next_full <= Instant::now() {
            next_full = Instant::now() + FULL_SUMMARY_PERIOD;
            if let Some(link) = shared.random_link(|_| true) {
                send_full_summary(&shared, &link);
            }
        }
        // Two periods, without the latest two: a value that is still on its way on the eager links
        // would be fetched too, and the fetch would add a link to the tree for nothing.
        let recent = marks[0] + 1..=marks[2];
        if !recent.is_empty()
            && let Some(link) = shared.random_link(|link| !link.eager.get())
        {
            let pairs = shared.values.borrow().summary(recent);
            link.send(&shared, &Message::ValueSummary(ValueSummary { pairs, recent: true }));
        }
        shed_eager_link(&shared);
        marks.rotate_left(1);
        marks[3] = shared.values.borrow().last_change();
    }
}

/// Returns the number of eager links.
fn eager_link_count(shared: &Shared) -> usize {
    shared.links.borrow().all().iter().filter(|link| link.eager.get()).count()
}

/// Prunes one eager link if there are too many; its VM finds another one by the next summaries.
fn shed_eager_link(shared: &Shared) {
    if eager_link_count(shared) > MAX_EAGER_LINKS
        && let Some(link) = shared.random_link(|link| link.eager.get())
    {
        link.eager.set(false);
        link.send(shared, &Message::Prune(()));
    }
}

/// Sends the versions of all values.
pub(crate) fn send_full_summary(shared: &Shared, link: &Link) {
    let values = shared.values.borrow();
    link.sent_change.set(values.last_change());
    let pairs = values.summary(0..=values.last_change());
    drop(values);
    link.send(shared, &Message::ValueSummary(ValueSummary { pairs, recent: false }));
}

/// Merges received values.
pub(crate) fn on_values(shared: &Shared, link: &Link, records: Vec<ValueRecord>) {
    let now = Instant::now();
    let mut is_new = records.is_empty();
    {
        let mut values = shared.values.borrow_mut();
        for record in records {
            is_new |= values.merge(record, link.id, now);
        }
    }
    if !is_new && shared.random_link(|other| other.id != link.id && other.eager.get()).is_some() {
        link.eager.set(false);
        link.send(shared, &Message::Prune(()));
    }
}

/// Fetches the values of a summary that are not known here.
pub(crate) fn on_summary(shared: &Shared, link: &Link, summary: &ValueSummary) {
    let keys = shared.values.borrow().missing(&summary.pairs);
    if keys.is_empty() {
        return;
    }
    if summary.recent {
        link.eager.set(true);
    }
    link.send(shared, &Message::ValueFetch(ValueFetch { keys, eager: summary.recent }));
}

/// Answers a fetch of values.
pub(crate) fn on_fetch(shared: &Shared, link: &Link, fetch: &ValueFetch) {
    let eager_count = shared.links.borrow().all().iter().filter(|link| link.eager.get()).count();
    if fetch.eager && eager_count < MAX_EAGER_LINKS {
        link.eager.set(true);
    }
    let records = shared.values.borrow().fetch(&fetch.keys);
    if !records.is_empty() {
        link.send(shared, &Message::Values(records));
    }
}
