//! The body of a call while its parts arrive.

use bytes::{Bytes, BytesMut};

use super::body_budget::BodyReservation;

/// The parts of a body received so far, or none of them once the budget is exceeded.
#[derive(Debug)]
pub struct IncomingBody {
    bytes: BytesMut,
    /// `None` once a part did not fit.
    reservation: Option<BodyReservation>,
}

impl IncomingBody {
    /// Creates a body without parts.
    pub fn new(reservation: BodyReservation) -> Self {
        Self {
            bytes: BytesMut::new(),
            reservation: Some(reservation),
        }
    }

    /// Adds a part, or drops the body if it does not fit.
    pub fn push(&mut self, part: &[u8]) {
        if self.reserve(part.len()) {
            self.bytes.extend_from_slice(part);
        }
    }

    /// Adds the last part. Returns the whole body, or `None` if it did not fit.
    pub fn finish(mut self, last: Bytes) -> Option<(Bytes, BodyReservation)> {
        self.reserve(last.len());
        let reservation = self.reservation?;
        if self.bytes.is_empty() {
            return Some((last, reservation));
        }
        self.bytes.extend_from_slice(&last);
        Some((self.bytes.freeze(), reservation))
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = (self.reservation.as_mut()).is_some_and(|reservation| reservation.grow(bytes));
        if !fits {
            self.reservation = None;
            self.bytes = BytesMut::new();
        }
        fits
    }
}
