//! Configuration changes, as made by operators.

use std::time::Duration;

use anyhow::{Context, bail};
use camphorwinch_core::object::{KeyUse, Keys, Kind, Policy, Service};
use http::{Method, StatusCode};
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use serde_json::{Value, json};
use tokio::time;

use super::{FaultKind, Injector};
use crate::site::{objects, run::KEY_WINDOW_S};

/// Delay for a new key to reach all processes before its first use.
const KEY_ROLLOUT: Duration = Duration::from_secs(5);

impl Injector {
    pub(super) async fn configure(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        match rng.random_range(0..100) {
            0..60 => self.change_service(rng).await,
            60..80 => self.rotate_keys(rng).await,
            _ => self.rotate_certificate(rng).await,
        }
    }

    async fn change_service(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(service) = self.shared.deployment.services.choose(rng) else { return Ok(()) };
        let name = service.name;
        let Some(_reservation) = self.reservations.reserve(name) else { return Ok(()) };
        let mut spec: Service = self.spec(Kind::Service, name).await?;
        let text = match rng.random_range(0..4) {
            0 => {
                spec.policy = match spec.policy {
                    Policy::Steady => Policy::Even,
                    Policy::Even => Policy::Steady,
                };
                format!("{name} policy {:?}", spec.policy)
            }
            1 => {
                spec.connections = rng.random_range(500..2_500);
                format!("{name} connections {}", spec.connections)
            }
            2 => {
                spec.retry_budget = f64::from(rng.random_range(5..30_u8)) / 100.0;
                format!("{name} retry budget {}", spec.retry_budget)
            }
            _ => {
                let agent = format!("{name}-{}", rng.random_range(1..=service.upstreams));
                let weight = f64::from(rng.random_range(5..20_u8)) / 10.0;
                spec.weights.insert(agent.clone(), weight);
                format!("{name} weight of {agent} {weight}")
            }
        };
        let _fault = self.begin(FaultKind::Config, text);
        let object = self.shared.objects.put(Kind::Service, name, &spec).await?;
        self.track_rollout(object.version).await
    }

    async fn rotate_keys(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(_reservation) = self.reservations.reserve("keys") else { return Ok(()) };
        let name = objects::keys_name();
        let mut keys: Keys = self.spec(Kind::Keys, name).await?;
        let newest = keys.keys.iter().map(|it| it.epoch).max().unwrap_or(0);
        let Some(epoch) = newest.checked_add(1) else { return Ok(()) };
        let _fault = self.begin(FaultKind::Config, format!("key {epoch}"));
        keys.keys.push(objects::key(rng, epoch, KeyUse::Open));
        self.shared.objects.put(Kind::Keys, name, &keys).await?;
        time::sleep(KEY_ROLLOUT).await;
        for key in &mut keys.keys {
            key.usage = if key.epoch == epoch { KeyUse::Seal } else { KeyUse::Open };
        }
        let object = self.shared.objects.put(Kind::Keys, name, &keys).await?;
        self.track_rollout(object.version).await
    }

    async fn rotate_certificate(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(service) = self.shared.deployment.services.choose(rng) else { return Ok(()) };
        let name = format!("{}-cert", service.name);
        let Some(_reservation) = self.reservations.reserve(&name) else { return Ok(()) };
        let _fault = self.begin(FaultKind::Config, format!("certificate {name}"));
        let leaf = self.shared.authority.leaf(service.name, &[])?;
        let spec = objects::certificate(&leaf);
        let object = self.shared.objects.put(Kind::Certificate, &name, &spec).await?;
        self.track_rollout(object.version).await
    }

    /// Writes a service twice from the same version: at most one write may succeed.
    pub(super) async fn race(&self, rng: &mut StdRng) -> anyhow::Result<()> {
        let Some(service) = self.shared.deployment.services.choose(rng) else { return Ok(()) };
        let name = service.name;
        let Some(_reservation) = self.reservations.reserve(name) else { return Ok(()) };
        let _fault = self.begin(FaultKind::Race, format!("two writes to {name}"));
        let Ok(Some(object)) = self.shared.objects.get(Kind::Service, name).await else {
            return Ok(());
        };
        let (mut first, mut second) = (object.spec.clone(), object.spec);
        first["key_window_s"] = json!(KEY_WINDOW_S + rng.random_range(0..10));
        second["key_window_s"] = json!(KEY_WINDOW_S + rng.random_range(10..20));
        let (first, second) = tokio::join!(
            self.write(name, object.version, &first),
            self.write(name, object.version, &second)
        );
        if matches!((&first, &second), (Ok(StatusCode::OK), Ok(StatusCode::OK))) {
            bail!("both concurrent writes from version {} took effect", object.version);
        }
        Ok(())
    }

    async fn write(&self, name: &str, version: u64, spec: &Value) -> anyhow::Result<StatusCode> {
        let body = json!({ "version": version, "writer": objects::new_writer_id(), "spec": spec });
        let platform = self.shared.launcher.lock().await.platform;
        let path = objects::path(Kind::Service, name);
        let (status, _) = self.shared.http.call(Method::PUT, platform, &path, Some(&body)).await?;
        Ok(status)
    }

    pub(super) async fn put_drain(&self, name: &str, target: &Value) -> anyhow::Result<()> {
        let spec = json!({ "action": "drain", "target": target });
        self.shared.objects.put(Kind::Change, name, &spec).await?;
        Ok(())
    }

    pub(super) async fn delete_change(&self, name: &str) -> anyhow::Result<()> {
        self.shared.objects.delete(Kind::Change, name).await
    }

    async fn spec<T>(&self, kind: Kind, name: &str) -> anyhow::Result<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let object = self.shared.objects.read(kind, name).await?;
        serde_json::from_value(object.spec).with_context(|| format!("read {kind}/{name}"))
    }
}
