//! Shares of organisations.

use serde::{Deserialize, Serialize};

use super::{
    Kind, ObjectError, Spec,
    check::{check_name, check_range, field_error},
};
use crate::id::PoolName;

/// Shares of an organisation in pools; the name of the object is the name of the organisation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShare {
    /// Guaranteed shares, at most one for each pool.
    pub shares: Vec<PoolShare>,
}

/// Guaranteed share of an organisation in a pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// Name of the pool in which the organisation has this share.
    pub pool: PoolName,
    /// Guaranteed percentage of the pool's capacity. Invariant: 1 to 100.
    pub share_percent: u32,
}

impl Spec for OrganisationShare {
    const KIND: Kind = Kind::OrganisationShare;

    fn validate(&self) -> Result<(), ObjectError> {
        for (index, share) in self.shares.iter().enumerate() {
            check_name(&format!("spec.shares[{index}].pool"), &share.pool)?;
            let field = format!("spec.shares[{index}].share_percent");
            check_range(&field, u64::from(share.share_percent), 1, 100)?;
            if self.shares[..index].iter().any(|earlier| earlier.pool == share.pool) {
                let field = format!("spec.shares[{index}].pool");
                return Err(field_error(&field, &share.pool, "each pool once"));
            }
        }
        Ok(())
    }
}
