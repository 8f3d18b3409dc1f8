//! Identifiers and counters used across crates.

use rand::RngExt;

use crate::wall_clock::unix_time_ms;

/// Name of a VM that runs the daemons, unique in the deployment.
pub type VmId = String;
/// Name of a data centre, for example `sofia-a`.
pub type DataCentreId = String;
/// Name of a region, for example `sofia`.
pub type RegionId = String;
/// Name of an organisation that owns a share of the targets.
pub type OrganisationId = String;
/// Name of a target, unique in its pool.
pub type TargetId = String;
/// Name of a target pool.
pub type PoolName = String;
/// Name of a rollout job.
pub type JobName = String;
/// Identifier of a request, set by the caller or generated where the request is received.
pub type RequestId = String;
/// Revision of the object store: one counter for all objects, which increases with every write.
pub type Revision = u64;
/// Fencing number of a lease: it increases with each acquisition, so that requests of an
/// earlier holder can be refused.
pub type FencingNumber = u64;
/// Version of a model's weights.
pub type WeightVersion = u64;
/// Version of the software that a target runs. Versions have no order.
pub type SoftwareVersion = String;
/// Number that distinguishes two runs of the same process; a later run has a higher one.
pub type Incarnation = u64;

/// Returns a random 128-bit identifier as 32 hexadecimal digits.
pub fn random_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// Returns an incarnation for a process that starts now: the milliseconds since the Unix epoch.
pub fn new_incarnation() -> Incarnation {
    unix_time_ms()
}
