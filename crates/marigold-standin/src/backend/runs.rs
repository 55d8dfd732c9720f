//! Counts how often each request ran.

use std::collections::HashMap;

use super::RunReport;

/// The most ids that are remembered; further ones are only counted.
const MAX_IDS: usize = 1_000_000;

/// Counts each run by the caller's id and by the mesh's.
#[derive(Debug, Default)]
pub struct RunCounter {
    loads: HashMap<String, u32>,
    requests: HashMap<String, u32>,
    total: u64,
    overflow: u64,
}

impl RunCounter {
    /// Counts a run that starts now.
    pub fn count(&mut self, load: Option<&str>, request: Option<&str>) {
        self.total += 1;
        let stored = [
            load.is_none_or(|id| add(&mut self.loads, id)),
            request.is_none_or(|id| add(&mut self.requests, id)),
        ];
        self.overflow += u64::from(stored.contains(&false));
    }

    /// Forgets every run.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Reports the runs whose caller's id starts with `prefix`.
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

/// Returns whether there was room for the id.
fn add(counts: &mut HashMap<String, u32>, id: &str) -> bool {
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
