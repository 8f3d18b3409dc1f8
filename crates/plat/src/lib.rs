//! Clients of the platform: object API, leases and VM list.

pub mod backoff;
pub mod lease;
pub mod metered;
pub mod native;
pub mod relay;
pub mod status;
pub mod store;
pub mod vmlist;

pub use backoff::Backoff;
pub use lease::{Acquire, HeldLease, Kept, LeaseCandidate, LeaseOptions, LeaseToken};
pub use metered::MeteredApi;
pub use native::HttpObjectApi;
pub use relay::{RelayNodes, RelayedApi};
pub use store::{
    Freshness, Object, ObjectApi, Precondition, Store, StoreError, Watch, WatchEvent, WriteTo,
};
