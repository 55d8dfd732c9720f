//! Resource usage of this process.

use std::time::{Duration, Instant};

use procfs::WithCurrentSystemInfo;
use procfs::process::Process;

use crate::StandinError;

/// Processor time and memory of this process at one point in time.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// User and system time of all threads since the process started.
    pub cpu_time: Duration,
    /// Resident set size in bytes.
    pub resident_bytes: u64,
    /// Time of the reading.
    pub read_at: Instant,
}

impl Usage {
    /// Reads the current values from procfs.
    ///
    /// # Errors
    ///
    /// Returns an error if procfs cannot be read.
    pub fn read() -> Result<Self, StandinError> {
        let wrap = |error: procfs::ProcError| StandinError::new("read", &"process usage", &error);
        let stat = Process::myself().and_then(|p| p.stat()).map_err(wrap)?;
        let ticks = stat.utime + stat.stime;
        let nanos = u128::from(ticks) * 1_000_000_000 / u128::from(procfs::ticks_per_second());
        Ok(Self {
            cpu_time: Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)),
            resident_bytes: stat.rss_bytes().get(),
            read_at: Instant::now(),
        })
    }

    /// Returns the processor time used since `earlier`.
    #[must_use]
    pub fn cpu_time_since(&self, earlier: &Self) -> Duration {
        self.cpu_time.saturating_sub(earlier.cpu_time)
    }
}
