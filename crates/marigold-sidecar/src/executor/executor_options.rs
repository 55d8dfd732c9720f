//! Options and dependencies of an executor.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use marigold_types::{ByteSize, Version};
use tokio::sync::Semaphore;

use crate::{HeaderNames, Lifecycle, MemoryBudget};

/// The memory limit divided by this bounds a single response body.
const BODY_MEMORY_DIVISOR: u64 = 16;
/// Large bodies that are received at the same time. A buffer that grows takes up to three times its contents for a
/// moment, so that responses without end take less than half of the memory.
const MAX_LARGE_BODIES: usize = 2;

/// Called with the configuration version that a call was routed by.
pub type VersionListener = Box<dyn Fn(Version)>;

/// Returns the path of the backend server's health check, or `None` while it is not known.
pub type HealthPathSource = Box<dyn Fn() -> Option<Arc<str>>>;

/// Options of a [`LocalExecutor`](super::LocalExecutor), fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct ExecutorOptions {
    /// Names of header fields with a special meaning.
    pub names: Arc<HeaderNames>,
    /// Responses with a larger body count as failed exchanges.
    pub max_response_body_bytes: u64,
    /// Permits for receiving large bodies from the backend server.
    pub large_bodies: Arc<Semaphore>,
    /// The budget of the process.
    pub memory: Rc<MemoryBudget>,
    /// The shutdown of the daemon.
    pub lifecycle: Rc<Lifecycle>,
}

impl ExecutorOptions {
    /// Returns the options for a daemon that may use `memory` bytes and is never told to stop.
    #[must_use]
    pub fn new(names: Arc<HeaderNames>, memory: u64) -> Self {
        Self {
            names,
            max_response_body_bytes: memory / BODY_MEMORY_DIVISOR,
            large_bodies: Arc::new(Semaphore::new(MAX_LARGE_BODIES)),
            memory: MemoryBudget::for_process(ByteSize(memory)),
            lifecycle: Lifecycle::new(Duration::ZERO),
        }
    }
}
