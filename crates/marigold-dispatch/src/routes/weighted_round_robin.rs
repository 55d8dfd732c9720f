//! Weighted traffic splitting.

use crate::Target;

/// Smooth weighted round robin: after any number of requests, each target is off its exact share by less
/// than one request.
///
/// Random selection would be off by the square root of the count, which is too much for the few requests
/// that one daemon handles.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the next target in `targets`, or `None` if the list is empty.
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
        let indices = 0..targets.len();
        let best = indices.max_by_key(|index| (self.credit[*index], std::cmp::Reverse(*index)))?;
        self.credit[best] -= total;
        Some(best)
    }
}
