//! The limit of requests per second that the backend server names.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use marigold_dispatch::{AdmissionController, NamedLimit, RequestLimit};
use marigold_types::ParseError;
use tokio::time::Instant;

use super::exchange::BackendStatement;
use crate::events::{EventLog, Severity};

/// Minimum time between two reports that the limit allows requests again.
const ROOM_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Interprets the limits in the responses of the current instance, and decides when ingresses are told of room.
#[derive(Default)]
pub struct LimitWatch {
    /// The last limit that could not be parsed.
    invalid: RefCell<Option<Arc<str>>>,
    /// When ingresses were last told that the limit allows requests, and the room that there was.
    room_reported: Cell<Option<(Instant, (u64, usize))>>,
}

impl LimitWatch {
    /// Returns the limit after a response, or `None` if the response says nothing that changes it.
    pub fn interpret(&self, statement: &BackendStatement, events: &EventLog) -> Option<NamedLimit> {
        let Some(text) = &statement.request_limit else {
            return statement.has_run.then_some(NamedLimit::None);
        };
        match RequestLimit::parse_fields(text) {
            Ok(limit) => {
                self.invalid.borrow_mut().take();
                Some(NamedLimit::Limit(limit))
            }
            Err(error) => {
                self.record_invalid(text, &error, events);
                None
            }
        }
    }

    /// Logs a limit that cannot be parsed, once for each value.
    fn record_invalid(&self, text: &Arc<str>, error: &ParseError, events: &EventLog) {
        let previous = self.invalid.replace(Some(text.clone()));
        if previous.as_ref() != Some(text) {
            let fields = [("cause", error.to_string().into())];
            events.emit("backend_limit_invalid", Severity::Warn, &fields);
        }
    }

    /// Returns whether ingresses are to be told now that the limit allows requests. They send few to a nearly full
    /// backend server, and replies to requests since the last report may have told them that it is full.
    pub fn is_room_due(&self, controller: &AdmissionController, now: Instant) -> bool {
        if controller.request_limit().is_none() || !controller.is_within_limit(now) {
            return false;
        }
        let room = controller.room(now);
        let is_due = self.room_reported.get().is_none_or(|(at, known)| {
            known != room && now.saturating_duration_since(at) >= ROOM_REPORT_INTERVAL
        });
        if is_due {
            self.room_reported.set(Some((now, room)));
        }
        is_due
    }

    /// Logs and counts a changed limit.
    pub fn record_change(
        previous: Option<RequestLimit>,
        limit: Option<RequestLimit>,
        events: &EventLog,
    ) {
        let rate = limit.map_or(f64::INFINITY, RequestLimit::rate);
        metrics::gauge!("marigold_backend_request_limit").set(rate);
        let text = |limit: Option<RequestLimit>| {
            limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
        };
        let fields = [
            ("limit", text(limit).into()),
            ("previous", text(previous).into()),
        ];
        events.emit("backend_limit_changed", Severity::Info, &fields);
    }
}
