//! Writes of usage into the status of organisations.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use deck_core::{
    hash::rendezvous_rank,
    id::{OrganisationId, VmId},
    object::{Envelope, Kind},
    timer::TimerService,
};
use deck_peer::{Member, MemberState, Topic};
use deck_plat::{Object, Precondition, StoreError};
use serde_json::{Map, Value};

use crate::{fold::OrganisationUsage, shared::SharedRef, usage::UsageReport};

/// Time between two writes of one organisation's usage.
const FOLD_PERIOD: Duration = Duration::from_secs(5);
/// Time between two checks whether the last counters of a stopping process are folded.
const FOLDED_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Returns the VM that writes usage: the first by rendezvous rank among live members, or among
/// leaving ones if none is live.
pub fn usage_writer(members: &[Member]) -> Option<&str> {
    let first = |state: MemberState| {
        let in_state = members.iter().filter(|member| member.state == state);
        rendezvous_rank("usage-writer", in_state.map(|member| member.vm.as_str())).first().copied()
    };
    first(MemberState::Live).or_else(|| first(MemberState::Leaving))
}

/// Usage and the object in which it is stored.
struct Stored {
    object: Option<Object>,
    usage: OrganisationUsage,
}

/// Report of one VM.
struct VmReport {
    vm: VmId,
    report: UsageReport,
}

/// Publishes the counters of this process.
pub(crate) fn publish(shared: &SharedRef) {
    let report = shared.usage.report(shared.options.incarnation);
    if !report.entries.is_empty() {
        shared.peer.publish(Topic::Usage, report.encode());
    }
}

/// Folds the published counters into the status objects while this VM is the usage writer.
pub(crate) async fn write_usage(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(FOLD_PERIOD);
    let mut known = None;
    while ticks.next().await.is_some() {
        let members = shared.peer.members();
        if usage_writer(&members) != Some(shared.options.vm.as_str()) {
            known = None;
            continue;
        }
        match &mut known {
            Some(known) => fold_all(&shared, &members, known).await,
            // The earlier writer may just have written: a new one starts a period later.
            None => known = Some(HashMap::new()),
        }
    }
}

/// Waits until the counters of this process are in the status objects.
pub(crate) async fn wait_folded(shared: &SharedRef) {
    let report = shared.usage.report(shared.options.incarnation);
    for (organisation, ..) in shared.config.shares() {
        let counts = |entry: &crate::usage::UsageEntry| entry.key.organisation == organisation;
        if !report.entries.iter().any(counts) {
            continue;
        }
        loop {
            let stored = read(shared, &organisation).await;
            if stored.is_ok_and(|stored| {
                stored.usage.contains(&organisation, &shared.options.vm, &report)
            }) {
                break;
            }
            monoio::time::sleep(FOLDED_CHECK_PERIOD).await;
        }
    }
}

async fn fold_all(
    shared: &SharedRef,
    members: &[Member],
    known: &mut HashMap<OrganisationId, OrganisationUsage>,
) {
    let published = shared.peer.published(Topic::Usage).into_iter();
    let reports: Vec<_> = published
        .filter_map(|value| {
            Some(VmReport { report: UsageReport::decode(&value.value)?, vm: value.vm })
        })
        .collect();
    let is_present = |vm: &VmId| {
        reports.iter().any(|report| report.vm == *vm)
            || members.iter().any(|m| m.vm == *vm && m.state != MemberState::Dead)
    };
    let now_unix_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    for (organisation, ..) in shared.config.shares() {
        let update = |usage: &mut OrganisationUsage| {
            for VmReport { vm, report } in &reports {
                usage.fold(&organisation, vm, report);
            }
            usage.drop_absent(is_present, now_unix_s);
        };
        let result = fold_one(shared, &organisation, known.get(&organisation), update).await;
        match result {
            Ok(usage) => drop(known.insert(organisation, usage)),
            Err(error) => {
                // Whether the write took effect is seen when the object is read at the next tick.
                known.remove(&organisation);
                log::debug!(target: "call",
                    "usage not written organisation={organisation} error={error}");
            }
        }
    }
}

/// Applies `update` to the stored usage by one conditional write; none if nothing changes.
async fn fold_one(
    shared: &SharedRef,
    organisation: &OrganisationId,
    known: Option<&OrganisationUsage>,
    update: impl Fn(&mut OrganisationUsage),
) -> Result<OrganisationUsage, StoreError> {
    if let Some(known) = known {
        let mut usage = known.clone();
        update(&mut usage);
        if usage == *known {
            return Ok(usage);
        }
    }
    let Stored { object, usage: stored } = read(shared, organisation).await?;
    let mut usage = stored.clone();
    update(&mut usage);
    if usage == stored {
        return Ok(usage);
    }
    let condition = match &object {
        Some(object) => Precondition::Revision(object.revision),
        None => Precondition::Absent,
    };
    let mut spec = spec(object.as_ref());
    if let Value::Object(fields) = to_value(&usage)? {
        spec.extend(fields);
    }
    let value = to_value(&Envelope::new(spec))?;
    let kind = Kind::OrganisationShare.status_kind();
    shared.store.put(kind, organisation, condition, &value).await?;
    Ok(usage)
}

async fn read(shared: &SharedRef, organisation: &OrganisationId) -> Result<Stored, StoreError> {
    let kind = Kind::OrganisationShare.status_kind();
    let object = shared.store.get(kind, organisation).await?;
    // Totals that cannot be read are an error, so that they are never replaced by new ones.
    let usage = serde_json::from_value(Value::Object(spec(object.as_ref())))
        .map_err(|error| StoreError::Decode(format!("usage of {organisation}: {error}")))?;
    Ok(Stored { object, usage })
}

fn spec(object: Option<&Object>) -> Map<String, Value> {
    let spec = object.and_then(|object| object.value.get("spec")?.as_object());
    spec.cloned().unwrap_or_default()
}

fn to_value(value: &impl serde::Serialize) -> Result<Value, StoreError> {
    serde_json::to_value(value).map_err(|error| StoreError::Decode(error.to_string()))
}
