//! Weighted max-min fair division of slots.

/// One claim on the slots to divide.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight; promised percentages are weights.
    pub weight: f64,
    /// Slots that the claimant can use.
    pub demand: f64,
}

/// Result of a division.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Division {
    /// Slots of each claimant, in the order of the claims. Invariant: at most its demand.
    pub parts: Vec<f64>,
    /// Slots that nobody demands.
    pub left: f64,
}

/// Divides `slots`: each claimant gets what it demands up to its weighted part; what some do not
/// demand is divided among the others in the same way.
pub fn divide(slots: f64, claims: &[Claim]) -> Division {
    let mut parts = vec![0.0; claims.len()];
    let mut left = slots.max(0.0);
    let mut open: Vec<usize> = (0..claims.len()).filter(|i| claims[*i].weight > 0.0).collect();
    // Each round satisfies at least one claim or divides everything.
    while left > 1e-9 && !open.is_empty() {
        let weights: f64 = open.iter().map(|index| claims[*index].weight).sum();
        let per_weight = left / weights;
        let satisfied = |index: &usize| claims[*index].demand <= claims[*index].weight * per_weight;
        let (done, rest): (Vec<_>, Vec<_>) = open.iter().copied().partition(satisfied);
        if done.is_empty() {
            for index in rest {
                parts[index] = claims[index].weight * per_weight;
            }
            return Division { parts, left: 0.0 };
        }
        for index in done {
            parts[index] = claims[index].demand;
            left -= claims[index].demand;
        }
        open = rest;
    }
    Division { parts, left: left.max(0.0) }
}
