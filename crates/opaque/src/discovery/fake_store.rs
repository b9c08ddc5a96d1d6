//! Stores for tests, which implement only the calls that a test is about.

use std::{future::Future, time::Duration};

use camphorwinch_core::opaque::{revision::Revision, zone::ZonesOut};
use tokio::{sync::watch, time::sleep};

use crate::store::{ConfigRead, Freshness, Member, Members, Removals, Store, StoreError, Watched};

/// A [`Store`] with an empty answer to each call that is not implemented. Watches end after their wait.
pub(super) trait FakeStore: Clone + Send + Sync + 'static {
    fn era(&self) -> watch::Receiver<Option<u64>> {
        watch::channel(Some(0)).1
    }

    fn members(&self) -> impl Future<Output = Result<Members, StoreError>> + Send {
        async { Ok(Members::default()) }
    }

    fn create(&self, _: &Member, _: u32) -> Result<Option<Revision>, StoreError> {
        Ok(None)
    }

    fn replace(&self, _: &Member, _: u32, _: Revision) -> Result<Option<Revision>, StoreError> {
        Ok(None)
    }

    fn withdraw(&self, _: &str, _: Revision) -> Result<(), StoreError> {
        Ok(())
    }

    fn watch_members(
        &self,
        at: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<Removals>, StoreError>> + Send {
        async move {
            sleep(wait).await;
            Ok(Watched::Advanced(Removals { at, members: Vec::new() }))
        }
    }

    fn routes(&self, _: Freshness) -> Result<ConfigRead, StoreError> {
        Ok(ConfigRead { routes: None, at: Revision::default() })
    }

    fn watch(
        &self,
        at: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<ConfigRead>, StoreError>> + Send {
        async move {
            sleep(wait).await;
            Ok(Watched::Advanced(ConfigRead { routes: None, at }))
        }
    }

    fn zones_out(&self, _: Freshness) -> Result<ZonesOut, StoreError> {
        Ok(ZonesOut::default())
    }

    fn watch_zones(
        &self,
        known: &ZonesOut,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched<ZonesOut>, StoreError>> + Send {
        async move {
            sleep(wait).await;
            Ok(Watched::Advanced(known.clone()))
        }
    }
}

impl<S> Store for S
where
    S: FakeStore,
{
    fn era(&self) -> watch::Receiver<Option<u64>> {
        FakeStore::era(self)
    }

    async fn members(&self, _: Duration) -> Result<Members, StoreError> {
        FakeStore::members(self).await
    }

    async fn create(
        &self,
        member: &Member,
        registration: u32,
        _: Duration,
    ) -> Result<Option<Revision>, StoreError> {
        FakeStore::create(self, member, registration)
    }

    async fn replace(
        &self,
        member: &Member,
        registration: u32,
        revision: Revision,
        _: Duration,
    ) -> Result<Option<Revision>, StoreError> {
        FakeStore::replace(self, member, registration, revision)
    }

    async fn withdraw(
        &self,
        name: &str,
        revision: Revision,
        _: Duration,
    ) -> Result<(), StoreError> {
        FakeStore::withdraw(self, name, revision)
    }

    async fn watch_members(
        &self,
        at: Revision,
        wait: Duration,
        _: Duration,
    ) -> Result<Watched<Removals>, StoreError> {
        FakeStore::watch_members(self, at, wait).await
    }

    async fn routes(&self, freshness: Freshness, _: Duration) -> Result<ConfigRead, StoreError> {
        FakeStore::routes(self, freshness)
    }

    async fn watch(
        &self,
        at: Revision,
        wait: Duration,
        _: Duration,
    ) -> Result<Watched<ConfigRead>, StoreError> {
        FakeStore::watch(self, at, wait).await
    }

    async fn zones_out(&self, freshness: Freshness, _: Duration) -> Result<ZonesOut, StoreError> {
        FakeStore::zones_out(self, freshness)
    }

    async fn watch_zones(
        &self,
        known: &ZonesOut,
        wait: Duration,
        _: Duration,
    ) -> Result<Watched<ZonesOut>, StoreError> {
        FakeStore::watch_zones(self, known, wait).await
    }
}
