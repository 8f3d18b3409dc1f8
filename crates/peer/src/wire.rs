//! Messages between VMs and their encoding.
//!
//! Messages are CBOR in binary WebSocket frames. Frequent records have one-letter field names:
//! at 330 nodes, full names would take about a third of the bytes of the published values.

use std::net::SocketAddr;

use bytes::Bytes;
use deck_core::{
    id::{DataCentreId, Incarnation, RegionId, Revision, VmId},
    object::Kind,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{Member, MemberState, Topic, config::ObjectVersion};

/// Version of the protocol; a connection between different versions is refused.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Purpose {
    /// Long-lived link between partners.
    Link,
    /// Requests and probes of the VM that opened the connection.
    Direct,
}

/// First message in each direction.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) protocol_version: u32,
    pub(crate) purpose: Purpose,
    pub(crate) member: MemberRecord,
}

/// A member as it travels between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    #[serde(rename = "v")]
    pub(crate) vm: VmId,
    #[serde(rename = "d")]
    pub(crate) data_centre: DataCentreId,
    #[serde(rename = "r")]
    pub(crate) region: RegionId,
    #[serde(rename = "a")]
    pub(crate) address: SocketAddr,
    #[serde(rename = "i")]
    pub(crate) incarnation: Incarnation,
    /// Number of suspicions that the VM refuted in this incarnation. It is separate from the
    /// incarnation, which must keep naming the process that issued a ticket or claim.
    #[serde(rename = "f")]
    pub(crate) refutation: u64,
    #[serde(rename = "s")]
    pub(crate) state: MemberState,
}

impl MemberRecord {
    /// Returns the part by which records of a VM are ordered: the highest one wins.
    pub(crate) fn rank(&self) -> (Incarnation, u64, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }

    pub(crate) fn to_member(&self) -> Member {
        Member {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            address: self.address,
            incarnation: self.incarnation,
            state: self.state,
        }
    }
}

/// Name and revision of an object version.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct VersionKey {
    #[serde(rename = "k")]
    pub(crate) kind: Kind,
    #[serde(rename = "n")]
    pub(crate) name: String,
    #[serde(rename = "r")]
    pub(crate) revision: Revision,
}

/// Digests of the configuration that a VM has.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigDigest {
    /// Whether the VM has been complete once. One that has not always gets a summary.
    pub(crate) synced: bool,
    /// One 64-bit digest for each bucket of objects.
    pub(crate) buckets: ByteBuf,
}

/// Versions that a VM has in some buckets.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigSummary {
    /// Whether the sender is synced and `keys` has all its objects.
    pub(crate) complete: bool,
    /// Buckets whose versions are in `keys`, one bit for each.
    pub(crate) bucket_mask: u64,
    pub(crate) keys: Vec<VersionKey>,
}

/// A published value as it travels between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueRecord {
    #[serde(rename = "v")]
    pub(crate) vm: VmId,
    #[serde(rename = "t")]
    pub(crate) topic: Topic,
    #[serde(rename = "i")]
    pub(crate) incarnation: Incarnation,
    /// Number of the value among those of this VM, incarnation and topic.
    #[serde(rename = "n")]
    pub(crate) sequence: u64,
    #[serde(rename = "b")]
    pub(crate) value: ByteBuf,
}

/// Versions of values: pairs of a 32-bit key hash and the low 32 bits of the sequence number.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueSummary {
    pub(crate) pairs: ByteBuf,
    /// Whether only recent changes are in it; the link becomes eager if one is missing.
    pub(crate) recent: bool,
}

/// Request for the values with these 32-bit key hashes.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueFetch {
    pub(crate) keys: ByteBuf,
    /// Whether the sender should send values on this link at once from now on.
    pub(crate) eager: bool,
}

/// Request to another VM.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) topic: Topic,
    pub(crate) body: ByteBuf,
}

/// Response to a [`Request`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Response {
    pub(crate) id: u64,
    pub(crate) outcome: Outcome,
}

/// Outcome of a [`Request`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Outcome {
    Body(ByteBuf),
    /// The topic has no handler; nothing ran.
    NotServed,
    /// The handler ran, but its response is larger than a message may be.
    TooLarge(usize),
}

/// Request to probe another VM.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ProbeFor {
    pub(crate) id: u64,
    pub(crate) vm: VmId,
}

macro_rules! messages {
    ($($(#[$doc:meta])* $name:ident($content:ty) $label:literal;)*) => {
        /// A message between VMs.
        #[derive(Debug, Clone)]
        #[derive(Serialize, Deserialize)]
        pub(crate) enum Message {
            $($(#[$doc])* $name($content),)*
        }

        impl Message {
            /// Labels of all message types, in the order of [`Message::type_index`].
            pub(crate) const LABELS: &'static [&'static str] = &[$($label,)*];

            /// Returns the label of the message's type.
            pub(crate) fn label(&self) -> &'static str {
                match self {
                    $(Self::$name(_) => $label,)*
                }
            }
        }
    };
}

messages! {
    /// First message in each direction.
    Hello(Hello) "hello";
    /// Probe.
    Ping(u64) "ping";
    /// Answer to a probe.
    Ack(u64) "ack";
    /// Request for an indirect probe.
    ProbeFor(ProbeFor) "probe_for";
    /// Members that changed.
    Members(Vec<MemberRecord>) "members";
    /// All members.
    MembersTable(Vec<MemberRecord>) "members_table";
    /// Digest of all members.
    MembersDigest(u64) "members_digest";
    /// Versions that the sender has now.
    ConfigNews(Vec<VersionKey>) "config_news";
    /// Request for versions.
    ConfigFetch(Vec<VersionKey>) "config_fetch";
    /// Versions with their values.
    ConfigObjects(Vec<ObjectVersion>) "config_objects";
    /// Digests of the configuration.
    ConfigDigest(ConfigDigest) "config_digest";
    /// Versions of the buckets that differ.
    ConfigSummary(ConfigSummary) "config_summary";
    /// Published values.
    Values(Vec<ValueRecord>) "values";
    /// Versions of published values.
    ValueSummary(ValueSummary) "value_summary";
    /// Request for published values.
    ValueFetch(ValueFetch) "value_fetch";
    /// Values sent on this link arrived elsewhere first: stop sending them at once.
    Prune(()) "prune";
    /// Request to the other VM.
    Request(Request) "request";
    /// Response to a request.
    Response(Response) "response";
}

impl Message {
    /// Returns the position of the message's type in [`Message::LABELS`].
    pub(crate) fn type_index(&self) -> usize {
        let label = self.label();
        Self::LABELS.iter().position(|known| *known == label).unwrap_or(0)
    }

    /// Returns the encoded message.
    pub(crate) fn encode(&self) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(|error| error.to_string())?;
        Ok(bytes.into())
    }

    /// Reads an encoded message.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|error| error.to_string())
    }
}
