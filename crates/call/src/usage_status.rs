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

use crate::{shared::SharedRef, usage::UsageReport, usage_totals::OrganisationUsageTotals};

/// Time between two writes of one organisation's usage.
const USAGE_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks whether the last counters of a stopping process are folded.
const TOTALS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the VM that writes usage: the first by rendezvous rank among live members, or among
/// leaving ones if none is live.
pub fn elect_usage_writer(members: &[Member]) -> Option<&str> {
    let first_ranked = |state: MemberState| {
        let in_state = members.iter().filter(|member| member.state == state);
        rendezvous_rank("usage-writer", in_state.map(|member| member.vm.as_str())).first().copied()
    };
    first_ranked(MemberState::Live).or_else(|| first_ranked(MemberState::Leaving))
}

/// Usage and the object in which it is stored.
struct StoredUsage {
    object: Option<Object>,
    usage: OrganisationUsageTotals,
}

/// Report of one VM.
struct VmUsageReport {
    vm: VmId,
    report: UsageReport,
}

/// Publishes the counters of this process.
pub(crate) fn publish_report(shared: &SharedRef) {
    let report = shared.usage.report(shared.options.incarnation);
    if !report.entries.is_empty() {
        shared.peer.publish(Topic::Usage, report.encode());
    }
}

/// Folds the published counters into the status objects while this VM is the usage writer.
pub(crate) async fn run_usage_writer(shared: SharedRef, timers: TimerService) {
    let mut ticks = timers.every(USAGE_WRITE_INTERVAL);
    let mut last_totals = None;
    while ticks.next().await.is_some() {
        let members = shared.peer.members();
        if elect_usage_writer(&members) != Some(shared.options.vm.as_str()) {
            last_totals = None;
            continue;
        }
        match &mut last_totals {
            Some(last_totals) => update_all_totals(&shared, &members, last_totals).await,
            // The earlier writer may just have written: a new one starts a period later.
            None => last_totals = Some(HashMap::new()),
        }
    }
}

/// Waits until the counters of this process are in the status objects.
pub(crate) async fn wait_until_counted(shared: &SharedRef) {
    let report = shared.usage.report(shared.options.incarnation);
    for (organisation, ..) in shared.config.shares() {
        let is_of_organisation =
            |entry: &crate::usage::UsageEntry| entry.key.organisation == organisation;
        if !report.entries.iter().any(is_of_organisation) {
            continue;
        }
        loop {
            let stored = read_totals(shared, &organisation).await;
            if stored.is_ok_and(|stored| {
                stored.usage.includes_report(&organisation, &shared.options.vm, &report)
            }) {
                break;
            }
            monoio::time::sleep(TOTALS_CHECK_INTERVAL).await;
        }
    }
}

async fn update_all_totals(
    shared: &SharedRef,
    members: &[Member],
    last_totals: &mut HashMap<OrganisationId, OrganisationUsageTotals>,
) {
    let published = shared.peer.published(Topic::Usage).into_iter();
    let reports: Vec<_> = published
        .filter_map(|value| {
            Some(VmUsageReport { report: UsageReport::decode(&value.value)?, vm: value.vm })
        })
        .collect();
    let is_present = |vm: &VmId| {
        reports.iter().any(|report| report.vm == *vm)
            || members.iter().any(|m| m.vm == *vm && m.state != MemberState::Dead)
    };
    let now_unix_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    for (organisation, ..) in shared.config.shares() {
        let update = |usage: &mut OrganisationUsageTotals| {
            for VmUsageReport { vm, report } in &reports {
                usage.add_report(&organisation, vm, report);
            }
            usage.remove_absent_vms(is_present, now_unix_s);
        };
        let result =
            update_totals(shared, &organisation, last_totals.get(&organisation), update).await;
        match result {
            Ok(usage) => drop(last_totals.insert(organisation, usage)),
            Err(error) => {
                // Whether the write took effect is seen when the object is read at the next tick.
                last_totals.remove(&organisation);
                log::debug!(target: "call",
                    "usage not written organisation={organisation} error={error}");
            }
        }
    }
}

/// Applies `update` to the stored usage by one conditional write; none if nothing changes.
async fn update_totals(
    shared: &SharedRef,
    organisation: &OrganisationId,
    last_totals: Option<&OrganisationUsageTotals>,
    update: impl Fn(&mut OrganisationUsageTotals),
) -> Result<OrganisationUsageTotals, StoreError> {
    if let Some(last_totals) = last_totals {
        let mut usage = last_totals.clone();
        update(&mut usage);
        if usage == *last_totals {
            return Ok(usage);
        }
    }
    let StoredUsage { object, usage: stored } = read_totals(shared, organisation).await?;
    let mut usage = stored.clone();
    update(&mut usage);
    if usage == stored {
        return Ok(usage);
    }
    let condition = match &object {
        Some(object) => Precondition::Revision(object.revision),
        None => Precondition::Absent,
    };
    let mut fields = status_fields(object.as_ref());
    if let Value::Object(totals_fields) = to_value(&usage)? {
        fields.extend(totals_fields);
    }
    let value = to_value(&Envelope::new(fields))?;
    let kind = Kind::OrganisationShare.status_kind();
    shared.store.put(kind, organisation, condition, &value).await?;
    Ok(usage)
}

async fn read_totals(
    shared: &SharedRef,
    organisation: &OrganisationId,
) -> Result<StoredUsage, StoreError> {
    let kind = Kind::OrganisationShare.status_kind();
    let object = shared.store.get(kind, organisation).await?;
    // Totals that cannot be read are an error, so that they are never replaced by new ones.
    let usage = serde_json::from_value(Value::Object(status_fields(object.as_ref())))
        .map_err(|error| StoreError::Decode(format!("usage of {organisation}: {error}")))?;
    Ok(StoredUsage { object, usage })
}

fn status_fields(object: Option<&Object>) -> Map<String, Value> {
    let fields = object.and_then(|object| object.value.get("spec")?.as_object());
    fields.cloned().unwrap_or_default()
}

fn to_value(value: &impl serde::Serialize) -> Result<Value, StoreError> {
    serde_json::to_value(value).map_err(|error| StoreError::Decode(error.to_string()))
}
