//! Weighted max-min fair division of slots among claims.

/// Claim of one claimant on the slots to divide.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight relative to the other claims, such as a promised share in percent.
    pub weight: f64,
    /// Number of slots that the claimant can use.
    pub demand: f64,
}

/// Result of a division.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Division {
    /// Number of slots of each claimant, in the order of the claims. Invariant: at most its demand.
    pub parts: Vec<f64>,
    /// Number of slots that exceed the demand of all claimants.
    pub unclaimed: f64,
}

/// Divides `slots` by weighted max-min fairness. Each claimant gets its demand, but at most its part
/// by weight. Slots that some claimants do not need are divided among the others in the same way.
pub fn divide(slots: f64, claims: &[Claim]) -> Division {
    let mut parts = vec![0.0; claims.len()];
    let mut remaining = slots.max(0.0);
    let mut unsatisfied: Vec<usize> =
        (0..claims.len()).filter(|i| claims[*i].weight > 0.0).collect();
    // Each iteration satisfies at least one claim or divides all remaining slots.
    while remaining > 1e-9 && !unsatisfied.is_empty() {
        let weights: f64 = unsatisfied.iter().map(|index| claims[*index].weight).sum();
        let slots_per_weight = remaining / weights;
        let is_satisfied =
            |index: &usize| claims[*index].demand <= claims[*index].weight * slots_per_weight;
        let (satisfied_now, still_unsatisfied): (Vec<_>, Vec<_>) =
            unsatisfied.iter().copied().partition(is_satisfied);
        if satisfied_now.is_empty() {
            for index in still_unsatisfied {
                parts[index] = claims[index].weight * slots_per_weight;
            }
            return Division { parts, unclaimed: 0.0 };
        }
        for index in satisfied_now {
            parts[index] = claims[index].demand;
            remaining -= claims[index].demand;
        }
        unsatisfied = still_unsatisfied;
    }
    Division { parts, unclaimed: remaining.max(0.0) }
}
