//! Clients of the platform: object API, leases and list of VMs.

pub mod backoff;
pub mod http_api;
pub mod lease;
pub mod lease_decision;
pub mod metered;
pub mod raw_json;
pub mod relay;
pub mod status;
pub mod store;
pub mod vmlist;

pub use backoff::Backoff;
pub use http_api::HttpObjectApi;
pub use lease::{AcquireResult, HeldLease, LeaseCandidate, LeaseEnd, LeaseOptions, LeaseToken};
pub use metered::MeteredApi;
pub use raw_json::{RawJson, RawMembers};
pub use relay::{RelayPeers, RelayedApi};
pub use store::{
    Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, Store, StoreError, Watch,
    WatchEvent,
};
