//! Counter of the runs of each request.

use std::collections::HashMap;

use super::RunReport;

/// The maximum number of ids of each kind. Runs with further ids add to the total and the overflow only.
const MAX_IDS: usize = 1_000_000;

/// Counts runs by the id of the load generator and by the request id of the mesh.
#[derive(Debug, Default)]
pub struct RunCounter {
    loads: HashMap<String, u32>,
    requests: HashMap<String, u32>,
    total: u64,
    overflow: u64,
}

impl RunCounter {
    /// Counts the start of a run.
    pub fn count(&mut self, load: Option<&str>, request: Option<&str>) {
        self.total += 1;
        let stored = [
            load.is_none_or(|id| increment(&mut self.loads, id)),
            request.is_none_or(|id| increment(&mut self.requests, id)),
        ];
        self.overflow += u64::from(stored.contains(&false));
    }

    /// Resets all counts.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Reports the runs whose `Load-Id` starts with `prefix`.
    #[must_use]
    pub fn report(&self, prefix: &str) -> RunReport {
        let matching = self.loads.iter().filter(|(id, _)| id.starts_with(prefix));
        RunReport {
            total: self.total,
            loads: matching.map(|(id, runs)| (id.clone(), *runs)).collect(),
            doubled_requests: self.requests.values().filter(|runs| **runs > 1).count() as u64,
            overflow: self.overflow,
        }
    }
}

/// Counts a run of `id`. Returns whether the id is stored.
fn increment(counts: &mut HashMap<String, u32>, id: &str) -> bool {
    if let Some(runs) = counts.get_mut(id) {
        *runs += 1;
        return true;
    }
    if counts.len() >= MAX_IDS {
        return false;
    }
    counts.insert(id.to_owned(), 1);
    true
}
