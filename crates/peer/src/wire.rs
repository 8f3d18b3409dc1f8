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

/// Version of the protocol between VMs; connections between VMs with different versions are
/// refused.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// Purpose of a connection, chosen by the VM that opens it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ConnectionPurpose {
    /// Long-lived link for members, configuration, published values and probes.
    Link,
    /// Connection for requests and probes by the VM that opened it.
    Direct,
}

/// First message in each direction of a connection.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) protocol_version: u32,
    pub(crate) purpose: ConnectionPurpose,
    /// Record of the sender in its own member table.
    pub(crate) member: MemberRecord,
}

/// State of a member, as sent between VMs.
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
    /// Number that the VM raises to refute a suspicion. The incarnation cannot be raised instead,
    /// because tickets and claims identify the process that issued them by it.
    #[serde(rename = "f")]
    pub(crate) refutation: u64,
    #[serde(rename = "s")]
    pub(crate) state: MemberState,
}

impl MemberRecord {
    /// Returns the key by which two records of a VM are compared; the one with the higher key is
    /// newer.
    pub(crate) fn precedence(&self) -> (Incarnation, u64, MemberState) {
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

/// Identifies one version of a configuration object.
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

/// Digests of the configuration known to the sender.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigDigest {
    /// Whether the sender is synced. If it is not, the receiver replies with a summary of all
    /// buckets even if the digests are equal.
    pub(crate) synced: bool,
    /// One 64-bit digest, little-endian, for each bucket of objects.
    pub(crate) buckets: ByteBuf,
}

/// Object versions known to the sender in some of the digest buckets.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfigSummary {
    /// Whether the sender is synced and `keys` contains the versions of all objects.
    pub(crate) complete: bool,
    /// Bit mask of the buckets whose versions are in `keys`.
    pub(crate) bucket_mask: u64,
    pub(crate) keys: Vec<VersionKey>,
}

/// A published value, as sent between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueRecord {
    #[serde(rename = "v")]
    pub(crate) vm: VmId,
    #[serde(rename = "t")]
    pub(crate) topic: Topic,
    #[serde(rename = "i")]
    pub(crate) incarnation: Incarnation,
    /// Sequence number among the values of this VM, incarnation and topic; the highest is the
    /// newest.
    #[serde(rename = "n")]
    pub(crate) sequence: u64,
    #[serde(rename = "b")]
    pub(crate) value: ByteBuf,
}

/// Versions of published values known to the sender.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueSummary {
    /// For each value a 32-bit key hash and the low 32 bits of the sequence number, little-endian.
    pub(crate) pairs: ByteBuf,
    /// Whether the summary covers only recent changes. If the receiver lacks one of them, the link
    /// becomes eager.
    pub(crate) recent: bool,
}

/// Request for published values.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ValueFetch {
    /// 32-bit key hashes of the values, little-endian.
    pub(crate) keys: ByteBuf,
    /// Whether the receiver should make this link eager, that is, send changed values on it.
    pub(crate) eager: bool,
}

/// Request to the handler of a topic on another VM.
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
    pub(crate) outcome: RequestOutcome,
}

/// Outcome of a [`Request`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(crate) enum RequestOutcome {
    /// The handler returned this response body.
    Body(ByteBuf),
    /// The topic has no handler; the request was not handled.
    NotServed,
    /// The handler ran, but its response exceeds the message size limit; holds its size in bytes.
    TooLarge(usize),
}

/// Request to probe the VM `vm` for the sender, and to acknowledge with `id` if it answers.
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
    /// First message in each direction of a connection.
    Hello(Hello) "hello";
    /// Probe, with its id.
    Ping(u64) "ping";
    /// Acknowledgement of the probe with this id.
    Ack(u64) "ack";
    /// Request for an indirect probe.
    ProbeFor(ProbeFor) "probe_for";
    /// Member records that changed.
    Members(Vec<MemberRecord>) "members";
    /// All member records of the sender, sent if the digests of the member tables differ.
    MembersTable(Vec<MemberRecord>) "members_table";
    /// Digest of the sender's member table, without dead members.
    MembersDigest(u64) "members_digest";
    /// Announcement of object versions that the sender has.
    ConfigNews(Vec<VersionKey>) "config_news";
    /// Request for object versions.
    ConfigFetch(Vec<VersionKey>) "config_fetch";
    /// Object versions with their values.
    ConfigObjects(Vec<ObjectVersion>) "config_objects";
    /// Digests of the sender's configuration, sent for comparison.
    ConfigDigest(ConfigDigest) "config_digest";
    /// Reply to [`ConfigDigest`]: the object versions in the buckets that differ.
    ConfigSummary(ConfigSummary) "config_summary";
    /// Published values.
    Values(Vec<ValueRecord>) "values";
    /// Versions of published values, sent so that the receiver can fetch those that it lacks.
    ValueSummary(ValueSummary) "value_summary";
    /// Request for published values.
    ValueFetch(ValueFetch) "value_fetch";
    /// Asks the receiver to make this link lazy, because its values arrive first on other links.
    Prune(()) "prune";
    /// Request to a topic handler of the receiver.
    Request(Request) "request";
    /// Response of the topic handler.
    Response(Response) "response";
}

impl Message {
    /// Returns the position of the message's type in [`Message::LABELS`].
    pub(crate) fn type_index(&self) -> usize {
        let label = self.label();
        Self::LABELS.iter().position(|type_label| *type_label == label).unwrap_or(0)
    }

    /// Encodes the message as CBOR.
    pub(crate) fn encode(&self) -> Result<Bytes, String> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(|error| error.to_string())?;
        Ok(bytes.into())
    }

    /// Decodes a message from CBOR.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|error| error.to_string())
    }
}
