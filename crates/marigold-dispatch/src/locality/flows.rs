//! Divides the room of some data centres among those that lack room.

use std::time::Duration;

/// The rounds in which what is still lacking is asked for again, from data centres that have room left.
const ROUNDS: usize = 4;
/// The amount, in slots, below which nothing is moved.
const NEGLIGIBLE: f64 = 0.01;

/// The amounts that data centres send to each other, in slots. Data centres are numbered.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Flows {
    amounts: Vec<Vec<f64>>,
}

impl Flows {
    /// Divides room. `lacks[i]` is what data centre `i` lacks and `spare[i]` what it has left; one of both is zero, so
    /// that none sends while it receives. `ways[i][j]` is the time from `i` to `j`, or `None` if the way is cut.
    ///
    /// The shortest ways are used first. Those that ask for more than there is get parts in proportion.
    pub fn divide(lacks: &[f64], spare: &[f64], ways: &[Vec<Option<Duration>>]) -> Self {
        let count = lacks.len();
        let mut flows = Self {
            amounts: vec![vec![0.0; count]; count],
        };
        let mut lacks = lacks.to_vec();
        let mut spare = spare.to_vec();
        let mut lengths: Vec<_> = ways.iter().flatten().copied().flatten().collect();
        lengths.sort_unstable();
        lengths.dedup();
        for length in lengths {
            for _ in 0..ROUNDS {
                let is_used = |from: usize, to: usize| from != to && ways[from][to] == Some(length);
                flows.divide_round(&mut lacks, &mut spare, is_used);
            }
        }
        flows
    }

    fn divide_round(
        &mut self,
        lacks: &mut [f64],
        spare: &mut [f64],
        is_used: impl Fn(usize, usize) -> bool,
    ) {
        let count = lacks.len();
        let mut asked = vec![vec![0.0; count]; count];
        for from in 0..count {
            let offers: f64 = (0..count)
                .filter(|to| is_used(from, *to))
                .map(|to| spare[to])
                .sum();
            if lacks[from] < NEGLIGIBLE || offers < NEGLIGIBLE {
                continue;
            }
            for to in (0..count).filter(|to| is_used(from, *to)) {
                asked[from][to] = lacks[from] * spare[to] / offers;
            }
        }
        for to in 0..count {
            let total: f64 = (0..count).map(|from| asked[from][to]).sum();
            if total < NEGLIGIBLE {
                continue;
            }
            let granted = (spare[to] / total).min(1.0);
            for from in 0..count {
                let amount = asked[from][to] * granted;
                self.amounts[from][to] += amount;
                lacks[from] -= amount;
            }
            spare[to] -= total * granted;
        }
    }

    /// Returns what data centre `from` sends to each.
    pub fn of(&self, from: usize) -> &[f64] {
        &self.amounts[from]
    }
}
