//! Failure detection as in the SWIM protocol.
//!
//! Each VM probes the VMs to which it has links. If a VM does not answer, it is probed on a direct
//! connection and then indirectly, by other VMs. If it does not answer these probes either, it
//! becomes a suspect, and is declared dead unless it refutes the suspicion in time.

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
    peer::SharedState,
    request,
    wire::{Message, ProbeFor},
};

/// Number of consecutive unanswered probes after which a link is closed, even if its VM answers on
/// other connections.
const MAX_MISSED_PROBES: u32 = 2;

/// Upper limit of the health penalty. Probe timeouts are multiplied by one plus the penalty.
const MAX_HEALTH_PENALTY: u32 = 8;
/// Longest time after a pause of this process in which it raises no suspicions; the time is as long
/// as the pause if that was shorter.
const MAX_SUSPICION_PAUSE: Duration = Duration::from_secs(5);

/// In each probe period, probes the VM of the next link and declares suspects dead after their
/// timeout.
pub(crate) async fn run(shared: Rc<SharedState>, mut ticks: Ticks) {
    let mut last_tick = Instant::now();
    let mut probe_order = Vec::new();
    while ticks.next().await.is_some() {
        let now = Instant::now();
        let tick_gap = now.saturating_duration_since(last_tick);
        last_tick = now;
        if tick_gap > shared.options.probe_period + shared.options.probe_timeout {
            // This process was paused or short of CPU time. It may not have read answers that have
            // arrived, so a missing answer is no evidence of a failure.
            log::warn!(target: "peer", "process was paused gap_ms={}", tick_gap.as_millis());
            shared.suspicion_paused_until.set(now + tick_gap.min(MAX_SUSPICION_PAUSE));
            shared.members.borrow_mut().extend_suspicions(now);
            continue;
        }
        shared.expire_members(now);
        if let Some(link) = next_link(&shared, &mut probe_order) {
            let probe = probe_link(shared.clone(), link);
            let cancel = shared.cancel.clone();
            monoio::spawn(async move {
                cancel.run_until_cancelled(probe).await;
            });
        }
    }
}

/// Returns the probe timeout, scaled by the health penalty of this process.
///
/// If all probes of a VM fail, the VM itself is more likely to be slow than all others to be dead,
/// so it waits longer before it suspects others ("Lifeguard: Local Health Awareness for More
/// Accurate Failure Detection", A. Dadgar, J. Phillips, J. Currey).
fn probe_timeout(shared: &SharedState) -> Duration {
    shared.options.probe_timeout * (1 + shared.health_penalty.get())
}

/// Lowers the penalty after a probe that was answered in time.
fn decrease_health_penalty(shared: &SharedState) {
    shared.health_penalty.set(shared.health_penalty.get().saturating_sub(1));
}

/// Raises the penalty after a sign that this process is slow: an unanswered probe, or a report that
/// suspects this VM.
pub(crate) fn increase_health_penalty(shared: &SharedState) {
    shared.health_penalty.set((shared.health_penalty.get() + 1).min(MAX_HEALTH_PENALTY));
}

/// Returns the next link to probe. Each round visits all links in a new random order.
///
/// If all VMs used the same order, VMs that started together would probe the same VM at the same
/// time, and a dead one could stay unprobed for a whole round.
fn next_link(shared: &SharedState, probe_order: &mut Vec<VmId>) -> Option<Rc<Link>> {
    let links = shared.links.borrow();
    loop {
        match probe_order.pop() {
            Some(vm) => {
                if let Some(link) = links.get(&vm) {
                    return Some(link);
                }
            }
            None if links.len() == 0 => return None,
            None => {
                probe_order.extend(links.all().iter().map(|link| link.vm.clone()));
                probe_order.shuffle(&mut rand::rng());
            }
        }
    }
}

/// Probes a VM on its link. If there is no answer, probes the VM in other ways; after
/// [`MAX_MISSED_PROBES`], closes the link first.
async fn probe_link(shared: Rc<SharedState>, link: Rc<Link>) {
    let pending_probe = PendingProbe::register(&shared);
    link.send(&shared, &Message::Ping(pending_probe.id));
    if pending_probe.wait_answered(probe_timeout(&shared)).await {
        decrease_health_penalty(&shared);
        link.missed_probes.set(0);
        notify_suspect(&shared, &link);
        return;
    }
    increase_health_penalty(&shared);
    link.missed_probes.set(link.missed_probes.get() + 1);
    if link.missed_probes.get() >= MAX_MISSED_PROBES {
        // The task of the link calls `verify_member` when the link has ended.
        link.close_requested.cancel();
    } else {
        verify_member(shared, link.vm.clone()).await;
    }
}

/// Sends the suspicion to a suspected VM that has answered a probe, so that it can refute it.
fn notify_suspect(shared: &SharedState, link: &Link) {
    let record = shared.members.borrow().get(&link.vm).cloned();
    if let Some(record) = record.filter(|record| record.state == MemberState::Suspect) {
        link.send(shared, &Message::Members(vec![record]));
    }
}

/// Probes a live member directly, then indirectly, and marks it as a suspect if both fail.
pub(crate) async fn verify_member(shared: Rc<SharedState>, vm: VmId) {
    if !shared.is_live(&vm) {
        return;
    }
    let started = Instant::now();
    // The direct probe takes at most one probe timeout and the indirect probe two; the fourth is a
    // margin. If they took longer, this process was slow and the result is not reliable.
    let time_limit = probe_timeout(&shared) * 4;
    if probe_directly(&shared, &vm).await || probe_indirectly(&shared, &vm).await {
        return;
    }
    let is_result_unreliable =
        started.elapsed() > time_limit || Instant::now() < shared.suspicion_paused_until.get();
    if is_result_unreliable || shared.cancel.is_cancelled() {
        return;
    }
    let suspected = shared.members.borrow_mut().suspect(&vm, Instant::now());
    if let Some(record) = suspected {
        log::info!(target: "peer", "member suspected vm={vm}");
        shared.queue_member_updates(vec![record], None);
    }
}

/// Probes a member on a direct connection; returns whether it acknowledged in time.
pub(crate) async fn probe_directly(shared: &Rc<SharedState>, vm: &VmId) -> bool {
    let probe_attempts = async {
        // The first attempt may reuse a connection that has broken since; the second opens a new
        // one.
        for _ in 0..2 {
            let Ok(direct_connection) = request::connect(shared, vm).await else { return false };
            let mut pending_probe = PendingProbe::register(shared);
            if direct_connection.send(shared, &Message::Ping(pending_probe.id)) {
                let is_answered = monoio::select! {
                    answer = &mut pending_probe.answer => answer.is_ok(),
                    () = direct_connection.closed.cancelled() => false,
                };
                if is_answered {
                    return true;
                }
            }
        }
        false
    };
    monoio::time::timeout(probe_timeout(shared), probe_attempts).await.unwrap_or(false)
}

/// Asks other VMs to probe a member; returns whether one of them reported an answer in time.
async fn probe_indirectly(shared: &Rc<SharedState>, vm: &VmId) -> bool {
    let mut intermediaries = shared.links.borrow().all();
    intermediaries.retain(|link| link.vm != *vm);
    intermediaries.shuffle(&mut rand::rng());
    intermediaries.truncate(shared.options.indirect_probes);
    if intermediaries.is_empty() {
        return false;
    }
    let pending_probe = PendingProbe::register(shared);
    for intermediary in intermediaries {
        let request = ProbeFor { id: pending_probe.id, vm: vm.clone() };
        intermediary.send(shared, &Message::ProbeFor(request));
    }
    pending_probe.wait_answered(probe_timeout(shared) * 2).await
}

/// A probe that awaits its acknowledgement; dropping it unregisters the probe.
struct PendingProbe<'a> {
    shared: &'a SharedState,
    id: u64,
    answer: oneshot::Receiver<()>,
}

impl<'a> PendingProbe<'a> {
    fn register(shared: &'a SharedState) -> Self {
        let (sender, answer) = oneshot::channel();
        let id = shared.next_id();
        shared.pending_probes.borrow_mut().insert(id, sender);
        Self { shared, id, answer }
    }

    /// Waits for the acknowledgement; returns whether it arrived within `timeout`.
    async fn wait_answered(mut self, timeout: Duration) -> bool {
        matches!(monoio::time::timeout(timeout, &mut self.answer).await, Ok(Ok(())))
    }
}

impl Drop for PendingProbe<'_> {
    fn drop(&mut self) {
        self.shared.pending_probes.borrow_mut().remove(&self.id);
    }
}

/// Handles the acknowledgement of a probe. Ids of probes that have timed out are ignored.
pub(crate) fn complete_probe(shared: &SharedState, id: u64) {
    if let Some(answer_sender) = shared.pending_probes.borrow_mut().remove(&id) {
        let _ = answer_sender.send(());
    }
}
