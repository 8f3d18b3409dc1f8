//! Calls the handler of each message that arrives on a link.

use std::{collections::HashMap, rc::Rc};

use crate::{
    gossip,
    links::Link,
    peer::SharedState,
    probe, relay,
    wire::{MemberRecord, Message},
};

/// Handles a message that arrived on a link. Messages that belong to direct connections close the
/// link.
pub(crate) fn on_link_message(shared: &Rc<SharedState>, link: &Rc<Link>, message: Message) {
    match message {
        Message::Ping(id) => link.send(shared, &Message::Ack(id)),
        Message::Ack(id) => probe::complete_probe(shared, id),
        Message::ProbeFor(request) => {
            let (shared, link) = (shared.clone(), link.clone());
            monoio::spawn(async move {
                if probe::probe_directly(&shared, &request.vm).await {
                    link.send(&shared, &Message::Ack(request.id));
                }
            });
        }
        Message::Members(records) => shared.merge_members(records, Some(link.id)),
        Message::MembersTable(records) => {
            let newer_own_records = newer_records(shared.members.borrow().records(), &records);
            shared.merge_members(records, Some(link.id));
            if !newer_own_records.is_empty() {
                link.send(shared, &Message::Members(newer_own_records));
            }
        }
        Message::MembersDigest(digest) => on_members_digest(shared, link, digest),
        Message::ConfigNews(keys) => relay::on_announcement(shared, link, keys),
        Message::ConfigFetch(keys) => relay::on_fetch(shared, link, &keys),
        Message::ConfigObjects(versions) => relay::on_objects(shared, link, versions),
        Message::ConfigDigest(digest) => relay::on_digest(shared, link, &digest),
        Message::ConfigSummary(summary) => relay::on_summary(shared, link, summary),
        Message::Values(records) => gossip::on_values(shared, link, records),
        Message::ValueSummary(summary) => gossip::on_summary(shared, link, &summary),
        Message::ValueFetch(fetch) => gossip::on_fetch(shared, link, &fetch),
        Message::Prune(()) => link.is_eager.set(false),
        Message::Hello(_) | Message::Request(_) | Message::Response(_) => {
            log::warn!(target: "peer", "unexpected message peer={}", link.vm);
            link.close_requested.cancel();
        }
    }
}

/// Sends all member records if the digest of the other VM differs from that of this VM. The other
/// VM merges them and replies with its newer records.
fn on_members_digest(shared: &SharedState, link: &Link, digest: u64) {
    let table = shared.members.borrow();
    if digest != table.digest() {
        let records = table.records();
        drop(table);
        link.send(shared, &Message::MembersTable(records));
    }
}

/// Returns the records of `own_records` that are newer than those of the same VM in
/// `received_records`, or missing there.
fn newer_records(
    own_records: Vec<MemberRecord>,
    received_records: &[MemberRecord],
) -> Vec<MemberRecord> {
    let received_precedence: HashMap<_, _> =
        received_records.iter().map(|record| (record.vm.as_str(), record.precedence())).collect();
    let is_newer = |record: &MemberRecord| {
        received_precedence
            .get(record.vm.as_str())
            .is_none_or(|precedence| record.precedence() > *precedence)
    };
    own_records.into_iter().filter(is_newer).collect()
}
