//! Accounting of the requests in flight.

use std::rc::Rc;

use super::Ingress;

/// Counts a request as in flight until dropped, including when the caller disconnects.
pub(super) struct InFlightRequest {
    ingress: Rc<Ingress>,
}

impl InFlightRequest {
    pub(super) fn new(ingress: &Rc<Ingress>) -> Self {
        ingress.in_flight.set(ingress.in_flight.get() + 1);
        Self {
            ingress: ingress.clone(),
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let in_flight = &self.ingress.in_flight;
        in_flight.set(in_flight.get() - 1);
    }
}
