//! Weighted fair queue over organisations.

use std::collections::{BTreeMap, VecDeque};

use deck_core::{id::OrganisationId, priority::Priority};

/// Start-time fair queue: of the organisations with waiting calls, the next is the one that has
/// received the least cost for its weight. Within an organisation urgent calls go first, and calls
/// of the same priority in the order of arrival.
///
/// Invariant: an organisation that was idle does not gain the cost that it did not use meanwhile.
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<OrganisationId, Flow<T>>,
    /// Virtual time: start tag of the last call that left the queue.
    virtual_time: f64,
    len: usize,
}

#[derive(Debug)]
struct Flow<T> {
    waiting: [VecDeque<Waiting<T>>; 3],
    /// Start tag of the flow's next call. Invariant: never falls.
    next_start: f64,
    weight: f64,
}

#[derive(Debug)]
struct Waiting<T> {
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
        let waiting = [VecDeque::new(), VecDeque::new(), VecDeque::new()];
        Self { waiting, next_start: virtual_time, weight }
    }

    fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    fn first(&self) -> Option<usize> {
        self.waiting.iter().position(|calls| !calls.is_empty())
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting calls of an organisation.
    pub fn len_of(&self, organisation: &str) -> usize {
        self.flows.get(organisation).map_or(0, Flow::len)
    }

    /// Adds a call. `weight` is the organisation's weight from now on.
    pub fn push(
        &mut self,
        organisation: &str,
        weight: f64,
        priority: Priority,
        cost: f64,
        item: T,
    ) {
        let virtual_time = self.virtual_time;
        let new = || Flow::new(weight, virtual_time);
        let flow = self.flows.entry(organisation.to_owned()).or_insert_with(new);
        if flow.len() == 0 {
            flow.next_start = flow.next_start.max(virtual_time);
        }
        flow.weight = weight.max(1e-6);
        flow.waiting[priority as usize].push_back(Waiting { cost, item });
        self.len += 1;
    }

    /// Takes note of a call that was admitted without waiting, so that its organisation's next calls
    /// rank behind those of others that received less.
    pub fn charge(&mut self, organisation: &str, weight: f64, cost: f64) {
        let virtual_time = self.virtual_time;
        let new = || Flow::new(weight, virtual_time);
        let flow = self.flows.entry(organisation.to_owned()).or_insert_with(new);
        let start = flow.next_start.max(virtual_time);
        flow.weight = weight.max(1e-6);
        flow.next_start = start + cost / flow.weight;
        if self.len == 0 {
            self.virtual_time = start;
        }
    }

    /// Returns the next call among the organisations that `may_run` accepts, given the organisation
    /// and the priority of its first call.
    pub fn pop(&mut self, may_run: impl Fn(&str, Priority) -> bool) -> Option<(OrganisationId, T)> {
        let runnable = self.flows.iter().filter_map(|(organisation, flow)| {
            let first = flow.first()?;
            may_run(organisation, Priority::ALL[first]).then_some((organisation, flow, first))
        });
        let (organisation, _, first) =
            runnable.min_by(|a, b| a.1.next_start.total_cmp(&b.1.next_start))?;
        let organisation = organisation.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let waiting = flow.waiting[first].pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.next_start);
        flow.next_start += waiting.cost / flow.weight;
        self.len -= 1;
        Some((organisation, waiting.item))
    }

    /// Removes the calls that `keep` refuses, and organisations whose earlier cost no longer matters:
    /// all while no call waits.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        for calls in self.flows.values_mut().flat_map(|flow| &mut flow.waiting) {
            calls.retain(|waiting| keep(&waiting.item));
        }
        self.len = self.flows.values().map(Flow::len).sum();
        let virtual_time = self.virtual_time;
        let any_waits = self.len > 0;
        self.flows
            .retain(|_, flow| flow.len() > 0 || (any_waits && flow.next_start > virtual_time));
    }
}
