//! The body of a call or reply while its parts arrive.

use std::rc::Rc;

use bytes::Bytes;
use marigold_dispatch::Claimant;

use crate::{Body, Charge, MemoryBudget};

/// The parts of a body received so far, or none of them once there was no memory for one.
#[derive(Debug)]
pub struct IncomingBody {
    memory: Rc<MemoryBudget>,
    parts: Vec<Bytes>,
    /// `None` once a part did not fit.
    charge: Option<Charge>,
}

impl IncomingBody {
    /// Creates a body without parts.
    pub fn new(memory: &Rc<MemoryBudget>) -> Self {
        Self {
            memory: memory.clone(),
            parts: Vec::new(),
            charge: Some(memory.charge()),
        }
    }

    /// Adds a part, or drops the body if it does not fit.
    pub async fn push(&mut self, part: &[u8]) {
        let Some(charge) = &mut self.charge else {
            return;
        };
        if part.is_empty() {
            return;
        }
        let bytes = charge.bytes() + part.len();
        let grown = self.memory.grow(charge, bytes, Claimant::Transit).await;
        if grown.is_ok() {
            // The part shares the read buffer of the link, which must not be kept for it.
            self.parts.push(Bytes::copy_from_slice(part));
        } else {
            self.charge = None;
            self.parts = Vec::new();
        }
    }

    /// Adds the last part. Returns the whole body, or `None` if it did not fit.
    pub async fn finish(mut self, last: &[u8]) -> Option<Body> {
        self.push(last).await;
        let charge = self.charge?;
        if self.parts.is_empty() {
            return Some(Body::default());
        }
        Some(charge.attach(&Body::from_iter(self.parts)))
    }
}
