//! Clients of the platform: object API, leases and list of VMs.

pub mod backoff;
pub mod http_api;
pub mod lease;
pub mod metered;
pub mod relay;
pub mod status;
pub mod store;
pub mod vmlist;

pub use backoff::Backoff;
pub use http_api::HttpObjectApi;
pub use lease::{Acquire, HeldLease, Kept, LeaseCandidate, LeaseOptions, LeaseToken};
pub use metered::MeteredApi;
pub use relay::{RelayNodes, RelayedApi};
pub use store::{
    Freshness, Object, ObjectApi, Precondition, Store, StoreError, Watch, WatchEvent, WriteTo,
};
