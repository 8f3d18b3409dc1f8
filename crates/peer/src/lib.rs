//! Communication between VMs: gossip membership, configuration relay, published values and
//! requests.
//!
//! Each VM keeps long-lived WebSocket connections, called links, to a few partner VMs. Three kinds
//! of data spread from VM to VM over the links: the members of the deployment and whether they are
//! alive, configuration objects, which a few watchers in each data centre read from the object API,
//! and published values, which are small reports that each VM writes for all others. Requests from
//! one VM to another use separate direct connections.

pub mod config;
mod connection;
mod dispatch;
pub mod error;
mod gossip;
mod links;
pub mod local;
pub mod member;
mod membership;
pub mod options;
pub mod ownership;
pub mod partners;
pub mod peer;
mod probe;
mod relay;
mod request;
mod shared;
mod status;
mod table;
pub mod topic;
pub mod traffic;
mod values;
mod watcher;
mod wire;

pub use config::ConfigView;
pub use error::PeerError;
pub use local::LocalStateClient;
pub use member::{Member, MemberState};
pub use options::PeerOptions;
pub use peer::PeerService;
pub use topic::{PublishedValue, Topic};
pub use traffic::MessageTraffic;
