//! The only way to the backend server beside the daemon.
