//! Links between VMs: membership, configuration relay, published values and requests.

pub mod config;
pub mod error;
pub mod local;
pub mod member;
pub mod options;
pub mod peer;
pub mod topic;
mod watcher;

pub use config::ConfigView;
pub use error::PeerError;
pub use local::LocalView;
pub use member::{Member, MemberState};
pub use options::PeerOptions;
pub use peer::Peer;
pub use topic::{Published, Topic};
