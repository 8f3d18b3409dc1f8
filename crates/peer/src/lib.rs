//! Links between VMs: membership, configuration relay, published values and requests.

pub mod config;
pub mod member;

pub use config::ConfigView;
pub use member::{Member, MemberState};
