//! Weighted max-min fair division of slots among claims.

/// Weight and demand of one claimant, such as an organisation, of the slots to divide.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight relative to the other claims, such as a promised share in percent.
    pub weight: f64,
    /// Number of slots that the claimant can use.
    pub demand: f64,
}

/// Slots that [`divide`] allocates to the claimants, and those that none of them needs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Division {
    /// Number of slots of each claimant, in the order of the claims. Invariant: at most its demand.
    pub allocations: Vec<f64>,
    /// Number of slots that exceed the demand of all claimants.
    pub surplus_slots: f64,
}

/// Divides `slots` by weighted max-min fairness. Each claimant gets its demand, but at most its
/// proportion by weight. Slots that some claimants do not need are divided among the other claimants in
/// the same way.
pub fn divide(slots: f64, claims: &[Claim]) -> Division {
    let mut allocations = vec![0.0; claims.len()];
    let mut remaining_slots = slots.max(0.0);
    let mut unsatisfied_claims: Vec<usize> =
        (0..claims.len()).filter(|i| claims[*i].weight > 0.0).collect();
    // Each iteration satisfies at least one claim or divides all remaining slots.
    while remaining_slots > 1e-9 && !unsatisfied_claims.is_empty() {
        let weights: f64 = unsatisfied_claims.iter().map(|index| claims[*index].weight).sum();
        let slots_per_weight = remaining_slots / weights;
        let is_satisfied =
            |index: &usize| claims[*index].demand <= claims[*index].weight * slots_per_weight;
        let (satisfied_claims, other_claims): (Vec<_>, Vec<_>) =
            unsatisfied_claims.iter().copied().partition(is_satisfied);
        if satisfied_claims.is_empty() {
            for index in other_claims {
                allocations[index] = claims[index].weight * slots_per_weight;
            }
            return Division { allocations, surplus_slots: 0.0 };
        }
        for index in satisfied_claims {
            allocations[index] = claims[index].demand;
            remaining_slots -= claims[index].demand;
        }
        unsatisfied_claims = other_claims;
    }
    Division { allocations, surplus_slots: remaining_slots.max(0.0) }
}
