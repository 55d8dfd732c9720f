//! What the measurements ran on.

use std::num::NonZero;

use procfs::{Current, Meminfo};
use serde::{Deserialize, Serialize};

use crate::StandinError;

/// The size of the machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Processor cores.
    pub cores: usize,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Runnable processes in the minute before the start, as the kernel counts them; what else runs
    /// on the machine shows in the figures.
    pub load: f32,
    /// The processor's name, as the kernel gives it.
    pub processor: String,
}

impl Machine {
    /// Asks the kernel.
    ///
    /// # Errors
    ///
    /// When the kernel's tables cannot be read.
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
