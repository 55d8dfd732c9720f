//! The operators' side: plans, confirmations, status, metrics and announcements, over HTTP.
