//! Weighted fair queue of calls over organisations.

use std::collections::{BTreeMap, VecDeque};

use deck_core::{id::OrganisationId, priority::Priority};

/// Start-time fair queue. Of the organisations with queued calls, the one that has received the least
/// cost relative to its weight is served next. Within an organisation, calls are served by priority,
/// then in order of arrival.
///
/// Invariant: an idle organisation accumulates no credit.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<OrganisationId, Flow<T>>,
    /// Virtual time: start tag of the last call that was served. An organisation that was idle
    /// continues from it.
    virtual_time: f64,
    len: usize,
}

/// Queued calls of one organisation.
#[derive(Debug)]
struct Flow<T> {
    /// Queued calls, with the index of their priority in [`Priority::ALL`].
    calls_by_priority: [VecDeque<QueuedItem<T>>; 3],
    /// Start tag of the flow's next call, in cost divided by weight: where the last call of the flow
    /// ended, or the virtual time if the flow was idle meanwhile. Invariant: never decreases.
    next_start_tag: f64,
    weight: f64,
}

/// Queued call and its cost.
#[derive(Debug)]
struct QueuedItem<T> {
    /// Cost by which the call counts against its organisation, such as its expected tokens.
    cost: f64,
    item: T,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { flows: BTreeMap::new(), virtual_time: 0.0, len: 0 }
    }
}

impl<T> Flow<T> {
    fn new(weight: f64, virtual_time: f64) -> Self {
        let calls_by_priority = [VecDeque::new(), VecDeque::new(), VecDeque::new()];
        Self { calls_by_priority, next_start_tag: virtual_time, weight }
    }

    fn len(&self) -> usize {
        self.calls_by_priority.iter().map(VecDeque::len).sum()
    }

    /// Returns the index of the most urgent priority with queued calls.
    fn first_priority(&self) -> Option<usize> {
        self.calls_by_priority.iter().position(|calls| !calls.is_empty())
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of queued calls of an organisation.
    pub fn len_of(&self, organisation: &str) -> usize {
        self.flows.get(organisation).map_or(0, Flow::len)
    }

    /// Queues a call. `weight` replaces the weight of the organisation.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: f64,
        priority: Priority,
        cost: f64,
        item: T,
    ) {
        let virtual_time = self.virtual_time;
        let new_flow = || Flow::new(weight, virtual_time);
        let flow = self.flows.entry(organisation.to_owned()).or_insert_with(new_flow);
        if flow.len() == 0 {
            flow.next_start_tag = flow.next_start_tag.max(virtual_time);
        }
        flow.weight = weight.max(1e-6);
        flow.calls_by_priority[priority as usize].push_back(QueuedItem { cost, item });
        self.len += 1;
    }

    /// Records the cost of a call that was admitted without queueing, so that later calls of its
    /// organisation are served after those of organisations that have received less.
    pub fn charge(&mut self, organisation: &str, weight: f64, cost: f64) {
        let virtual_time = self.virtual_time;
        let new_flow = || Flow::new(weight, virtual_time);
        let flow = self.flows.entry(organisation.to_owned()).or_insert_with(new_flow);
        let start_tag = flow.next_start_tag.max(virtual_time);
        flow.weight = weight.max(1e-6);
        flow.next_start_tag = start_tag + cost / flow.weight;
        if self.len == 0 {
            self.virtual_time = start_tag;
        }
    }

    /// Removes and returns the next call. Skips organisations for which `may_run`, given the
    /// organisation and the priority of its first call, returns `false`.
    pub fn pop(&mut self, may_run: impl Fn(&str, Priority) -> bool) -> Option<(OrganisationId, T)> {
        let runnable_flows = self.flows.iter().filter_map(|(organisation, flow)| {
            let priority_index = flow.first_priority()?;
            may_run(organisation, Priority::ALL[priority_index]).then_some((
                organisation,
                flow,
                priority_index,
            ))
        });
        let (organisation, _, priority_index) =
            runnable_flows.min_by(|a, b| a.1.next_start_tag.total_cmp(&b.1.next_start_tag))?;
        let organisation = organisation.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let queued = flow.calls_by_priority[priority_index].pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.next_start_tag);
        flow.next_start_tag += queued.cost / flow.weight;
        self.len -= 1;
        Some((organisation, queued.item))
    }

    /// Removes the calls for which `keep` returns `false`, and organisations without queued calls whose
    /// earlier cost no longer affects the order. If no call is left, these are all organisations.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        for calls in self.flows.values_mut().flat_map(|flow| &mut flow.calls_by_priority) {
            calls.retain(|queued| keep(&queued.item));
        }
        self.len = self.flows.values().map(Flow::len).sum();
        let virtual_time = self.virtual_time;
        let has_queued = self.len > 0;
        self.flows
            .retain(|_, flow| flow.len() > 0 || (has_queued && flow.next_start_tag > virtual_time));
    }
}
