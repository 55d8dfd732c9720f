//! Splits a route's requests by weight.

use crate::Target;

/// Hands out targets so that after any number of requests each share is off by less than one request.
///
/// This is smooth weighted round robin. Random draws would be off by the square root of the count,
/// which is too much for the few requests that one daemon sees.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the place of the next target in `targets`, none of an empty list.
    pub fn next(&mut self, targets: &[Target]) -> Option<usize> {
        if targets.len() <= 1 {
            return targets.len().checked_sub(1);
        }
        self.credit.resize(targets.len(), 0);
        let mut total = 0;
        for (credit, target) in self.credit.iter_mut().zip(targets) {
            *credit += i64::from(target.weight);
            total += i64::from(target.weight);
        }
        let places = 0..targets.len();
        let best = places.max_by_key(|place| (self.credit[*place], std::cmp::Reverse(*place)))?;
        self.credit[best] -= total;
        Some(best)
    }
}
