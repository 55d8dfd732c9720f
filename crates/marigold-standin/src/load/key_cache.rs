//! Keys for calls that may run at most once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use marigold_types::ServiceName;
use serde::Deserialize;

use super::Caller;
use crate::StandinError;

/// The most keys that are kept for later; older ones expire unused.
const MAX_KEPT: usize = 1_000;
/// How many keys are asked for at once.
const BATCH: u32 = 16;

#[derive(Deserialize)]
struct KeyAnswer {
    keys: Vec<String>,
}

/// Fetches keys in batches and gives each out once.
#[derive(Debug, Default)]
pub struct KeyCache {
    kept: Mutex<HashMap<ServiceName, Vec<String>>>,
}

impl KeyCache {
    /// Returns a fresh key for `service`, asking the daemon at `daemon` for a batch when none is
    /// kept.
    ///
    /// # Errors
    ///
    /// When the daemon gives no keys.
    pub async fn take(
        &self,
        caller: &Caller,
        daemon: SocketAddr,
        service: &ServiceName,
    ) -> Result<String, StandinError> {
        if let Some(key) = self.pop(service) {
            return Ok(key);
        }
        let mut keys = Self::fetch(caller, daemon, service, BATCH).await?;
        let key = keys.pop().ok_or_else(|| {
            StandinError::new("fetch keys", &daemon, &"the daemon gave an empty batch")
        })?;
        self.keep(service, keys);
        Ok(key)
    }

    /// Asks the daemon at `daemon` for `count` keys.
    ///
    /// # Errors
    ///
    /// When the daemon gives no keys.
    pub async fn fetch(
        caller: &Caller,
        daemon: SocketAddr,
        service: &ServiceName,
        count: u32,
    ) -> Result<Vec<String>, StandinError> {
        let path = format!("/.marigold/keys?service={service}&count={count}");
        let body = caller.post(daemon, &path).await?;
        let answer: KeyAnswer = serde_json::from_slice(&body)
            .map_err(|error| StandinError::new("fetch keys", &daemon, &error))?;
        Ok(answer.keys)
    }

    /// Forgets every key, as after a change of which executors are there.
    pub fn clear(&self) {
        self.kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn pop(&self, service: &ServiceName) -> Option<String> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.get_mut(service)?.pop()
    }

    fn keep(&self, service: &ServiceName, keys: Vec<String>) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let list = kept.entry(service.clone()).or_default();
        list.extend(keys);
        list.truncate(MAX_KEPT);
    }
}
