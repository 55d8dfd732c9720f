//! Cache of idempotency keys for at-most-once calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use marigold_types::ServiceName;
use serde::Deserialize;

use super::Caller;
use crate::StandinError;

/// The maximum number of unused keys cached for each service. In a larger cache, keys would
/// expire unused.
const MAX_CACHED_KEYS: usize = 1_000;
/// The number of keys in one request to the daemon.
const KEYS_PER_BATCH: u32 = 16;

#[derive(Deserialize)]
struct KeyResponse {
    keys: Vec<String>,
}

/// Fetches keys in batches and hands out each key once.
#[derive(Debug, Default)]
pub struct KeyCache {
    unused: Mutex<HashMap<ServiceName, Vec<String>>>,
}

impl KeyCache {
    /// Returns an unused key for `service`. Fetches a batch from `daemon` if none is cached.
    ///
    /// # Errors
    ///
    /// If the request fails or the response contains no keys.
    pub async fn take(
        &self,
        caller: &Caller,
        daemon: SocketAddr,
        service: &ServiceName,
    ) -> Result<String, StandinError> {
        if let Some(key) = self.pop(service) {
            return Ok(key);
        }
        let mut keys = Self::fetch(caller, daemon, service, KEYS_PER_BATCH).await?;
        let key = keys.pop().ok_or_else(|| {
            StandinError::new("fetch keys", &daemon, &"the daemon returned no keys")
        })?;
        self.store(service, keys);
        Ok(key)
    }

    /// Fetches `count` keys for `service` from `daemon` without using the cache.
    ///
    /// # Errors
    ///
    /// If the request fails or the response cannot be parsed.
    pub async fn fetch(
        caller: &Caller,
        daemon: SocketAddr,
        service: &ServiceName,
        count: u32,
    ) -> Result<Vec<String>, StandinError> {
        let path = format!("/.marigold/keys?service={service}&count={count}");
        let body = caller.post(daemon, &path).await?;
        let response: KeyResponse = serde_json::from_slice(&body)
            .map_err(|error| StandinError::new("fetch keys", &daemon, &error))?;
        Ok(response.keys)
    }

    /// Drops every cached key. For use after the set of executors has changed.
    pub fn clear(&self) {
        self.unused
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    fn pop(&self, service: &ServiceName) -> Option<String> {
        let mut unused = self.unused.lock().unwrap_or_else(PoisonError::into_inner);
        unused.get_mut(service)?.pop()
    }

    fn store(&self, service: &ServiceName, keys: Vec<String>) {
        let mut unused = self.unused.lock().unwrap_or_else(PoisonError::into_inner);
        let list = unused.entry(service.clone()).or_default();
        list.extend(keys);
        list.truncate(MAX_CACHED_KEYS);
    }
}
