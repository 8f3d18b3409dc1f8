//! Probes of other members: directly, through others, and suspicion.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{id::VmId, timer::Ticks};
use rand::seq::SliceRandom;
use tokio::sync::oneshot;

use crate::{
    MemberState,
    links::Link,
    peer::Shared,
    request,
    wire::{Message, ProbeFor},
};

/// Probes that a link may leave unanswered in a row while its VM answers elsewhere.
const MAX_MISSED_PROBES: u32 = 2;

/// Bound of the factor by which timeouts grow while this process is slow.
const MAX_POOR_HEALTH: u32 = 8;
/// Longest time for which one pause keeps this process from judging others.
const MAX_OVERLOAD: Duration = Duration::from_secs(5);

/// Probes one link in each period, one after the other, and lets suspicions expire.
pub(crate) async fn run(shared: Rc<Shared>, mut ticks: Ticks) {
    let mut last_tick = Instant::now();
    let mut order = Vec::new();
    while ticks.next().await.is_some() {
        let now = Instant::now();
        let gap = now.saturating_duration_since(last_tick);
        last_tick = now;
        if gap > shared.options.probe_period + shared.options.probe_timeout {
            // This process was paused or has too little CPU time: it may not have read the answers
            // of the others, so their silence proves nothing.
            log::warn!(target: "peer", "process was paused gap_ms={}", gap.as_millis());
            shared.overloaded_until.set(now + gap.min(MAX_OVERLOAD));
            shared.members.borrow_mut().extend_suspicions(now);
            continue;
        }
        shared.expire_members(now);
        if let Some(link) = next_link(&shared, &mut order) {
            let probe = probe_link(shared.clone(), link);
            let cancel = shared.cancel.clone();
            monoio::spawn(async move {
                cancel.run_until_cancelled(probe).await;
            });
        }
    }
}

/// Returns the time in which a probe has to be answered.
///
/// A VM whose own probes fail one after the other is more likely slow itself than surrounded by
/// dead VMs, so it waits longer before it suspects others ("Lifeguard: Local Health Awareness for
/// More Accurate Failure Detection", A. Dadgar, J. Phillips, J. Currey).
fn timeout(shared: &Shared) -> Duration {
    shared.options.probe_timeout * (1 + shared.poor_health.get())
}

fn improve_health(shared: &Shared) {
    shared.poor_health.set(shared.poor_health.get().saturating_sub(1));
}

/// Records a sign that this process is slow: an unanswered probe, or a suspicion of this VM.
pub(crate) fn worsen_health(shared: &Shared) {
    shared.poor_health.set((shared.poor_health.get() + 1).min(MAX_POOR_HEALTH));
}

/// Returns the next link of a round over all links in random order.
///
/// With the same order on all VMs, VMs that started together would all probe the same one at a
/// time, and a dead one could wait a whole round for its first probe.
fn next_link(shared: &Shared, order: &mut Vec<VmId>) -> Option<Rc<Link>> {
    let links = shared.links.borrow();
    loop {
        match order.pop() {
            Some(vm) => {
                if let Some(link) = links.get(&vm) {
                    return Some(link);
                }
            }
            None if links.len() == 0 => return None,
            None => {
                order.extend(links.all().iter().map(|link| link.vm.clone()));
                order.shuffle(&mut rand::rng());
            }
        }
    }
}

async fn probe_link(shared: Rc<Shared>, link: Rc<Link>) {
    let pending = PendingProbe::register(&shared);
    link.send(&shared, &Message::Ping(pending.id));
    if pending.wait_answered(timeout(&shared)).await {
        improve_health(&shared);
        link.missed_probes.set(0);
        remind_suspect(&shared, &link);
        return;
    }
    worsen_health(&shared);
    link.missed_probes.set(link.missed_probes.get() + 1);
    if link.missed_probes.get() >= MAX_MISSED_PROBES {
        // The end of the link starts a verification of its VM.
        link.closed.cancel();
    } else {
        verify(shared, link.vm.clone()).await;
    }
}

/// Tells a VM that it is suspected although it answers, so that it can refute.
fn remind_suspect(shared: &Shared, link: &Link) {
    let record = shared.members.borrow().get(&link.vm).cloned();
    if let Some(record) = record.filter(|record| record.state == MemberState::Suspect) {
        link.send(shared, &Message::Members(vec![record]));
    }
}

/// Suspects a live member unless it answers a direct or an indirect probe.
pub(crate) async fn verify(shared: Rc<Shared>, vm: VmId) {
    if !shared.is_live(&vm) {
        return;
    }
    let started = Instant::now();
    // The sum of the timeouts of both probes and some delay.
    let limit = timeout(&shared) * 4;
    if probe_directly(&shared, &vm).await || probe_indirectly(&shared, &vm).await {
        return;
    }
    let is_overloaded = started.elapsed() > limit || Instant::now() < shared.overloaded_until.get();
    if is_overloaded || shared.cancel.is_cancelled() {
        return;
    }
    let suspected = shared.members.borrow_mut().suspect(&vm, Instant::now());
    if let Some(record) = suspected {
        log::info!(target: "peer", "member suspected vm={vm}");
        shared.spread_members(vec![record], None);
    }
}

/// Probes a member on a direct connection; returns whether it answered in time.
pub(crate) async fn probe_directly(shared: &Rc<Shared>, vm: &VmId) -> bool {
    let probed = async {
        // The first connection may be a broken one that was open before.
        for _ in 0..2 {
            let Ok(direct) = request::connect(shared, vm).await else { return false };
            let mut pending = PendingProbe::register(shared);
            if direct.send(shared, &Message::Ping(pending.id)) {
                let answered = monoio::select! {
                    answer = &mut pending.answer => answer.is_ok(),
                    () = direct.closed.cancelled() => false,
                };
                if answered {
                    return true;
                }
            }
        }
        false
    };
    monoio::time::timeout(timeout(shared), probed).await.unwrap_or(false)
}

async fn probe_indirectly(shared: &Rc<Shared>, vm: &VmId) -> bool {
    let mut helpers = shared.links.borrow().all();
    helpers.retain(|link| link.vm != *vm);
    helpers.shuffle(&mut rand::rng());
    helpers.truncate(shared.options.indirect_probes);
    if helpers.is_empty() {
        return false;
    }
    let pending = PendingProbe::register(shared);
    for helper in helpers {
        let request = ProbeFor { id: pending.id, vm: vm.clone() };
        helper.send(shared, &Message::ProbeFor(request));
    }
    pending.wait_answered(timeout(shared) * 2).await
}

/// A probe whose answer is awaited; forgotten when it is dropped.
struct PendingProbe<'a> {
    shared: &'a Shared,
    id: u64,
    answer: oneshot::Receiver<()>,
}

impl<'a> PendingProbe<'a> {
    fn register(shared: &'a Shared) -> Self {
        let (sender, answer) = oneshot::channel();
        let id = shared.next_id();
        shared.probes.borrow_mut().insert(id, sender);
        Self { shared, id, answer }
    }

    /// Waits for the answer; returns whether it came in time.
    async fn wait_answered(mut self, limit: Duration) -> bool {
        matches!(monoio::time::timeout(limit, &mut self.answer).await, Ok(Ok(())))
    }
}

impl Drop for PendingProbe<'_> {
    fn drop(&mut self) {
        self.shared.probes.borrow_mut().remove(&self.id);
    }
}

/// Records the answer to a probe.
pub(crate) fn answered(shared: &Shared, id: u64) {
    if let Some(waiting) = shared.probes.borrow_mut().remove(&id) {
        let _ = waiting.send(());
    }
}
