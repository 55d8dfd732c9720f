//! Accounting of the requests in flight.

use std::rc::Rc;

use super::Ingress;

/// Counts a request as in flight until dropped, including when the caller disconnects.
pub(super) struct InFlightRequest {
    ingress: Rc<Ingress>,
    body_bytes: usize,
}

impl InFlightRequest {
    pub(super) fn new(ingress: &Rc<Ingress>, body_bytes: usize) -> Self {
        ingress.in_flight.set(ingress.in_flight.get() + 1);
        ingress
            .buffered_body_bytes
            .set(ingress.buffered_body_bytes.get() + body_bytes);
        Self {
            ingress: ingress.clone(),
            body_bytes,
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let ingress = &self.ingress;
        ingress.in_flight.set(ingress.in_flight.get() - 1);
        ingress
            .buffered_body_bytes
            .set(ingress.buffered_body_bytes.get() - self.body_bytes);
    }
}
