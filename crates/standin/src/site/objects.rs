//! Operator client for the platform's objects.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use camphorwinch_core::object::{
    Certificate, KEYS_OBJECT_NAME, KeySpec, KeyUse, Keys, Kind, Object,
};
use http::{Method, StatusCode};
use rand::{Rng, RngCore, rngs::StdRng};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time;

use super::{http::HttpClient, pki::Leaf};

const MAX_TRIES: u32 = 80;
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Client for the platform's object API.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    http: HttpClient,
    address: SocketAddr,
}

impl ObjectClient {
    /// Creates a client for the platform at this address.
    pub fn new(http: HttpClient, address: SocketAddr) -> ObjectClient {
        ObjectClient { http, address }
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn get(&self, kind: Kind, name: &str) -> anyhow::Result<Option<Object>> {
        let path = path(kind, name);
        let (status, body) = self.http.call(Method::GET, self.address, &path, None).await?;
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice(&body).context("read an object")?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => bail!("read {kind}/{name}: status {status}"),
        }
    }

    /// Reads an object that must exist; retries during outages.
    pub async fn read(&self, kind: Kind, name: &str) -> anyhow::Result<Object> {
        for _ in 0..MAX_TRIES {
            if let Ok(Some(object)) = self.get(kind, name).await {
                return Ok(object);
            }
            time::sleep(RETRY_INTERVAL).await;
        }
        bail!("read {kind}/{name}: failed {MAX_TRIES} times")
    }

    /// Writes an object at any version; retries conflicts, outages and lost responses.
    pub async fn put<S>(&self, kind: Kind, name: &str, spec: &S) -> anyhow::Result<Object>
    where
        S: Serialize,
    {
        let spec = serde_json::to_value(spec).with_context(|| format!("write {kind}/{name}"))?;
        let writer = new_writer_id();
        let mut last = anyhow::anyhow!("not tried");
        for _ in 0..MAX_TRIES {
            match self.try_put(kind, name, &spec, &writer).await {
                Ok(object) => return Ok(object),
                Err(error) => last = error,
            }
            time::sleep(RETRY_INTERVAL).await;
        }
        Err(last.context(format!("write {kind}/{name}: failed {MAX_TRIES} times")))
    }

    /// Deletes an object at any version; retries conflicts and outages.
    pub async fn delete(&self, kind: Kind, name: &str) -> anyhow::Result<()> {
        let mut last = anyhow::anyhow!("not tried");
        for _ in 0..MAX_TRIES {
            match self.try_delete(kind, name).await {
                Ok(()) => return Ok(()),
                Err(error) => last = error,
            }
            time::sleep(RETRY_INTERVAL).await;
        }
        Err(last.context(format!("delete {kind}/{name}: failed {MAX_TRIES} times")))
    }

    async fn try_put(
        &self,
        kind: Kind,
        name: &str,
        spec: &Value,
        writer: &str,
    ) -> anyhow::Result<Object> {
        let stored = self.get(kind, name).await?;
        if let Some(object) = &stored
            && object.writer == writer
        {
            return Ok(object.clone());
        }
        let version = stored.map_or(0, |it| it.version);
        let body = json!({ "version": version, "writer": writer, "spec": spec });
        let response = self.http.put(self.address, &path(kind, name), &body).await?;
        serde_json::from_value(response).context("read the written object")
    }

    async fn try_delete(&self, kind: Kind, name: &str) -> anyhow::Result<()> {
        let Some(object) = self.get(kind, name).await? else {
            return Ok(());
        };
        let path = format!("{}?version={}", path(kind, name), object.version);
        let (status, _) = self.http.call(Method::DELETE, self.address, &path, None).await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        bail!("delete {kind}/{name}: status {status}")
    }
}

/// Generates the keys of a fleet.
pub fn new_keys(rng: &mut StdRng) -> Keys {
    let mut reset = [0; 32];
    rng.fill_bytes(&mut reset);
    Keys { reset, keys: vec![key(rng, 1, KeyUse::Seal)] }
}

/// Generates a key.
pub fn key(rng: &mut StdRng, epoch: u8, usage: KeyUse) -> KeySpec {
    let mut secret = [0; 32];
    rng.fill_bytes(&mut secret);
    KeySpec { epoch, secret, usage }
}

/// Certificate object of a service.
pub fn certificate(leaf: &Leaf) -> Certificate {
    Certificate { chain_pem: leaf.chain.clone(), key_pem: leaf.key.clone() }
}

/// Name of the keys object.
pub fn keys_name() -> &'static str {
    KEYS_OBJECT_NAME
}

/// Path of an object.
pub fn path(kind: Kind, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

/// Generates a writer id.
pub fn new_writer_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}
