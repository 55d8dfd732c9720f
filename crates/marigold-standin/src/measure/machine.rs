//! Description of the machine that the measurements ran on.

use std::num::NonZero;

use procfs::{Current, Meminfo};
use serde::{Deserialize, Serialize};

use crate::StandinError;

/// Hardware and load of the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Number of cores available to this process.
    pub cores: usize,
    /// Total memory in MiB.
    pub memory_mb: u64,
    /// One-minute load average at the start; other work on the machine affects the figures.
    pub load: f32,
    /// Processor model name as reported by the kernel.
    pub processor: String,
}

impl Machine {
    /// Reads the values from procfs.
    ///
    /// # Errors
    ///
    /// Returns an error if procfs cannot be read.
    pub fn read() -> Result<Self, StandinError> {
        let wrap = |error: procfs::ProcError| StandinError::new("read", &"machine size", &error);
        let memory = Meminfo::current().map_err(wrap)?;
        let info = procfs::CpuInfo::current().map_err(wrap)?;
        Ok(Self {
            cores: std::thread::available_parallelism().map_or(1, NonZero::get),
            memory_mb: memory.mem_total >> 20,
            load: procfs::LoadAverage::current().map_err(wrap)?.one,
            processor: info.model_name(0).unwrap_or("unnamed").to_owned(),
        })
    }
}
