//! Usage totals: every published count is included exactly once.

use deck_call::{
    usage::{UsageCounters, UsageEntry, UsageKey, UsageReport},
    usage_totals::{ABSENT_VM_RETENTION_S, OrganisationUsageTotals},
    usage_writer::elect_usage_writer,
};
use deck_peer::{Member, MemberState};
use test_case::test_case;

const ORGANISATION: &str = "jonotuoli";

fn entry(organisation: &str, job: &str, tokens: u64) -> UsageEntry {
    let key = UsageKey {
        organisation: organisation.to_owned(),
        job: job.to_owned(),
        pool: "rank".to_owned(),
    };
    UsageEntry { key, counters: UsageCounters { calls: 1, tokens, engine_ms: 2 * tokens } }
}

fn report(incarnation: u64, tokens: u64) -> UsageReport {
    UsageReport { incarnation, entries: vec![entry(ORGANISATION, "j", tokens)] }
}

fn add_report(usage: &mut OrganisationUsageTotals, vm: &str, report: &UsageReport) {
    usage.add_report(&ORGANISATION.to_owned(), &vm.to_owned(), report);
}

fn tokens(usage: &OrganisationUsageTotals) -> u64 {
    usage.usage.iter().map(|usage| usage.tokens).sum()
}

/// Guards against counts that are added twice or lost. Each case lists the reports of one VM as
/// (incarnation, tokens) and the expected total.
#[test_case(&[(1, 10)], 10; "first report")]
#[test_case(&[(1, 10), (1, 10)], 10; "repeated report")]
#[test_case(&[(1, 10), (1, 25)], 25; "later report")]
#[test_case(&[(1, 25), (1, 10), (1, 26)], 26; "older report after a newer one")]
#[test_case(&[(1, 25), (2, 10)], 35; "restart, lower counter")]
#[test_case(&[(1, 25), (2, 40)], 65; "restart, higher counter")]
#[test_case(&[(1, 25), (2, 10), (1, 30), (2, 11)], 36; "late report of the earlier process")]
fn reports_of_one_vm_are_counted_once(reports: &[(u64, u64)], total: u64) {
    let mut usage = OrganisationUsageTotals::default();
    for &(incarnation, tokens) in reports {
        add_report(&mut usage, "a", &report(incarnation, tokens));
    }
    assert_eq!(tokens(&usage), total);
    assert_eq!(usage.usage[0].engine_ms, 2 * total);
}

/// Guards against usage that is counted for another pool, job or organisation.
#[test]
fn pools_jobs_and_organisations_are_counted_separately() {
    let entries = vec![entry(ORGANISATION, "j", 3), entry(ORGANISATION, "", 4), entry("b", "j", 9)];
    let mut usage = OrganisationUsageTotals::default();
    add_report(&mut usage, "a", &UsageReport { incarnation: 1, entries });
    let found: Vec<_> = usage.usage.iter().map(|u| (u.job.as_str(), u.tokens)).collect();
    assert_eq!(found, [("", 4), ("j", 3)]);
}

/// Guards against counting usage twice when the writer changes or the response to a write is lost:
/// adding the same reports again gives the same totals, whether or not the write took effect.
#[test_case(true; "lost write took effect")]
#[test_case(false; "lost write took no effect")]
fn next_writer_continues_from_stored_totals(write_took_effect: bool) {
    let mut stored_totals = OrganisationUsageTotals::default();
    add_report(&mut stored_totals, "a", &report(1, 10));
    let mut written = stored_totals.clone();
    add_report(&mut written, "a", &report(1, 30));
    add_report(&mut written, "b", &report(7, 5));
    if write_took_effect {
        stored_totals = written;
    }
    let text = serde_json::to_string(&stored_totals).expect("text");
    let mut next: OrganisationUsageTotals = serde_json::from_str(&text).expect("usage");
    add_report(&mut next, "b", &report(7, 6));
    add_report(&mut next, "a", &report(1, 30));
    assert_eq!(tokens(&next), 36);
    assert!(next.includes_report(&ORGANISATION.to_owned(), &"a".to_owned(), &report(1, 30)));
    assert!(!next.includes_report(&ORGANISATION.to_owned(), &"a".to_owned(), &report(1, 31)));
}

/// Guards against entries of absent VMs that are never removed, and against losing their usage.
#[test]
fn absent_vms_are_removed_and_their_usage_is_kept() {
    let mut usage = OrganisationUsageTotals::default();
    add_report(&mut usage, "a", &report(1, 10));
    add_report(&mut usage, "b", &report(1, 20));
    usage.remove_absent_vms(|vm| vm == "b", 100);
    usage.remove_absent_vms(|vm| vm == "b", 99 + ABSENT_VM_RETENTION_S);
    assert_eq!(usage.usage_folded.len(), 2, "entries are kept for the retention time");
    usage.remove_absent_vms(|_| true, 100 + ABSENT_VM_RETENTION_S);
    assert_eq!(usage.usage_folded.len(), 2, "the absence starts again after a VM returned");
    usage.remove_absent_vms(|vm| vm == "b", 200 + ABSENT_VM_RETENTION_S);
    usage.remove_absent_vms(|vm| vm == "b", 200 + 2 * ABSENT_VM_RETENTION_S);
    let vms: Vec<_> = usage.usage_folded.iter().map(|vm_usage| vm_usage.vm.as_str()).collect();
    assert_eq!(vms, ["b"]);
    assert_eq!(tokens(&usage), 30);
}

/// Guards against a writer that is leaving, dead or suspect while a live member exists, and against
/// having no writer when only a leaving member remains.
#[test]
fn elected_writer_is_a_live_member() {
    let member = |vm: &str, state| Member {
        vm: vm.to_owned(),
        data_centre: "fi-south-a".to_owned(),
        region: "fi-south".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        state,
    };
    let mut members: Vec<_> = ["a", "b", "c"].map(|vm| member(vm, MemberState::Live)).into();
    for new_state in [MemberState::Leaving, MemberState::Dead, MemberState::Suspect] {
        let first = elect_usage_writer(&members).expect("writer").to_owned();
        let index = members.iter().position(|m| m.vm == first).expect("member");
        members[index].state = new_state;
        assert_ne!(elect_usage_writer(&members), Some(first.as_str()));
    }
    let last = elect_usage_writer(&members).expect("a leaving VM").to_owned();
    assert!(members.iter().any(|m| m.vm == last && m.state == MemberState::Leaving));
}
