//! What this process uses.

use std::time::{Duration, Instant};

use procfs::WithCurrentSystemInfo;
use procfs::process::Process;

use crate::StandinError;

/// Processor time and memory of this process at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time of all threads since the start.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// When it was read.
    pub at: Instant,
}

impl Usage {
    /// Asks the kernel.
    ///
    /// # Errors
    ///
    /// When the kernel's tables cannot be read.
    pub fn read() -> Result<Self, StandinError> {
        let wrap = |error: procfs::ProcError| StandinError::new("read", &"process usage", &error);
        let stat = Process::myself().and_then(|p| p.stat()).map_err(wrap)?;
        let ticks = stat.utime + stat.stime;
        let nanos = u128::from(ticks) * 1_000_000_000 / u128::from(procfs::ticks_per_second());
        Ok(Self {
            processor: Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)),
            resident: stat.rss_bytes().get(),
            at: Instant::now(),
        })
    }

    /// Returns the processor time used since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Duration {
        self.processor.saturating_sub(earlier.processor)
    }
}
