//! Maintenance of the usage totals in the status objects of organisations.
//!
//! Every VM publishes its usage counters; one elected VM adds them to the totals.

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

/// Interval at which the usage totals are updated.
const USAGE_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a stopping process checks whether the totals include its final counters.
const TOTALS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the VM that updates the usage totals: the first live member by rendezvous rank, or the
/// first leaving one if none is live.
pub fn elect_usage_writer(members: &[Member]) -> Option<&str> {
    let first_ranked = |state: MemberState| {
        let in_state = members.iter().filter(|member| member.state == state);
        rendezvous_rank("usage-writer", in_state.map(|member| member.vm.as_str())).first().copied()
    };
    first_ranked(MemberState::Live).or_else(|| first_ranked(MemberState::Leaving))
}

/// Usage totals and the status object that contains them.
struct StoredUsage {
    object: Option<Object>,
    usage: OrganisationUsageTotals,
}

/// Usage report of one VM.
struct VmUsageReport {
    vm: VmId,
    report: UsageReport,
}

/// Publishes the usage counters of this process to other VMs.
pub(crate) fn publish_report(shared: &SharedRef) {
    let report = shared.usage.report(shared.options.incarnation);
    if !report.entries.is_empty() {
        shared.peer.publish(Topic::Usage, report.encode());
    }
}

/// Periodically adds the usage counters that VMs publish to the usage totals while this VM is the
/// elected writer.
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
            // The previous writer may have written just now, so a new one starts an interval later.
            None => last_totals = Some(HashMap::new()),
        }
    }
}

/// Waits until the usage totals in the status objects include the counters of this process.
pub(crate) async fn wait_until_counted(shared: &SharedRef) {
    let report = shared.usage.report(shared.options.incarnation);
    for (organisation, ..) in shared.config.organisation_shares() {
        let is_of_organisation =
            |entry: &crate::usage::UsageEntry| entry.key.organisation == organisation;
        if !report.entries.iter().any(is_of_organisation) {
            continue;
        }
        loop {
            let read_result = read_totals(shared, &organisation).await;
            if read_result.is_ok_and(|stored| {
                stored.usage.includes_report(&organisation, &shared.options.vm, &report)
            }) {
                break;
            }
            monoio::time::sleep(TOTALS_CHECK_INTERVAL).await;
        }
    }
}

/// Adds the published usage reports to the usage totals of all organisations.
async fn update_all_totals(
    shared: &SharedRef,
    members: &[Member],
    last_totals: &mut HashMap<OrganisationId, OrganisationUsageTotals>,
) {
    let published = shared.peer.published_values(Topic::Usage).into_iter();
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
    for (organisation, ..) in shared.config.organisation_shares() {
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
                // The write may have taken effect. Removing the cached totals makes the next tick
                // read the object again.
                last_totals.remove(&organisation);
                log::debug!(target: "call",
                    "failed to write usage totals organisation={organisation} error={error}");
            }
        }
    }
}

/// Applies `update` to the stored usage totals with a conditional write. Writes nothing if the
/// totals do not change.
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
    let StoredUsage { object, usage: stored_totals } = read_totals(shared, organisation).await?;
    let mut usage = stored_totals.clone();
    update(&mut usage);
    if usage == stored_totals {
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

/// Reads the usage totals of an organisation from its status object.
async fn read_totals(
    shared: &SharedRef,
    organisation: &OrganisationId,
) -> Result<StoredUsage, StoreError> {
    let kind = Kind::OrganisationShare.status_kind();
    let object = shared.store.get(kind, organisation).await?;
    // Totals that cannot be parsed are an error, so that they are never overwritten.
    let usage = serde_json::from_value(Value::Object(status_fields(object.as_ref())))
        .map_err(|error| StoreError::Decode(format!("usage of {organisation}: {error}")))?;
    Ok(StoredUsage { object, usage })
}

/// Returns the fields of a status object; empty if there is none.
fn status_fields(object: Option<&Object>) -> Map<String, Value> {
    let fields = object.and_then(|object| object.value.get("spec")?.as_object());
    fields.cloned().unwrap_or_default()
}

fn to_value(value: &impl serde::Serialize) -> Result<Value, StoreError> {
    serde_json::to_value(value).map_err(|error| StoreError::Decode(error.to_string()))
}
