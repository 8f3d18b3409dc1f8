//! Builders of admission controls and requests for tests.

use std::time::{Duration, Instant};

use deck_core::{
    object::{OrganisationShare, PoolShare},
    priority::Priority,
};
use deck_limit::{
    Admission, AdmissionOptions, AdmitRequest, Permit, PoolCapacity, ShareAssignment,
};

pub const POOL: &str = "engines";

/// Returns an admission control of `vm` with one pool and the promised shares in percent.
pub fn admission(vm: &str, slots: u32, shares: &[(&str, u32)]) -> Admission {
    let admission =
        Admission::new(AdmissionOptions { vm: vm.to_owned(), ..AdmissionOptions::default() });
    admission.set_capacity(POOL, PoolCapacity { slots });
    let shares: Vec<_> = shares
        .iter()
        .map(|(organisation, share_percent)| ShareAssignment {
            organisation: (*organisation).to_owned(),
            share: OrganisationShare {
                shares: vec![PoolShare { pool: POOL.to_owned(), share_percent: *share_percent }],
            },
        })
        .collect();
    admission.set_shares(&shares);
    admission
}

/// Returns a request for 100 tokens with a deadline after 600 s.
pub fn request(organisation: &str, priority: Priority, now: Instant) -> AdmitRequest<'_> {
    let deadline = now + Duration::from_secs(600);
    AdmitRequest { pool: POOL, organisation, cost_tokens: 100, priority, deadline, now }
}

/// Admits up to 1,000 calls until one is refused.
#[allow(dead_code, reason = "not every test file uses it")]
pub fn fill(
    admission: &Admission,
    organisation: &str,
    priority: Priority,
    now: Instant,
) -> Vec<Permit> {
    let request = request(organisation, priority, now);
    std::iter::repeat_with(|| admission.admit(&request)).take(1000).map_while(Result::ok).collect()
}
