//! Follows the platform's table.

use {
    crate::{clock::Clock, events, traffic::TrafficHandle},
    citron_core::{
        id::DomainName,
        membership::Confirmation,
        routing::{RouteMap, Snapshot},
        table::Table,
        time::Time,
    },
    citron_platform::{PlatformError, TableStore},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How long a read of the platform confirms a revision, from its begin.
pub const CONFIRM_TIME: Duration = Duration::from_millis(1_500);
/// The pause between two reads.
const READ_PAUSE: Duration = Duration::from_millis(400);

/// Keeps traffic's snapshot up to date with the table.
#[derive(Debug)]
pub struct Follower<S> {
    store: S,
    handle: TrafficHandle,
    clock: Clock,
    domain: DomainName,
    table: Table,
    map: Arc<RouteMap>,
    reachable: bool,
}

impl<S: TableStore> Follower<S> {
    /// A follower that knows nothing yet.
    pub fn new(store: S, handle: TrafficHandle, clock: Clock, domain: DomainName) -> Self {
        Self {
            store,
            handle,
            clock,
            domain,
            table: Table::default(),
            map: Arc::default(),
            reachable: true,
        }
    }

    /// Reads the table again and again; ends only with its task.
    pub async fn run(mut self) {
        loop {
            let begun = self.clock.now();
            let read = self.refresh(begun).await;
            self.note(read);
            sleep(READ_PAUSE).await;
        }
    }

    async fn refresh(&mut self, begun: Time) -> Result<(), PlatformError> {
        let changes = self.store.changes(self.table.revision()).await?;
        let newer = changes.revision > self.table.revision();
        let applied = self.table.apply(changes);
        applied.map_err(|error| PlatformError::Answer(error.to_string()))?;
        if newer {
            self.map = Arc::new(RouteMap::build(&self.table));
            log::info!("{} {}", events::REVISION, self.table.revision());
        }
        self.publish(begun);
        Ok(())
    }

    fn publish(&self, begun: Time) {
        let anywhere = begun + CONFIRM_TIME;
        let confirmation = Confirmation {
            anywhere,
            platform: begun,
            domain: anywhere,
        };
        self.handle.publish(Snapshot {
            map: Arc::clone(&self.map),
            confirmation,
            domain: self.domain.clone(),
        });
    }

    fn note(&mut self, read: Result<(), PlatformError>) {
        match (read, self.reachable) {
            (Ok(()), false) => log::info!("{}", events::PLATFORM_BACK),
            (Err(error), true) => log::warn!("{} {error}", events::PLATFORM_LOST),
            _ => return,
        }
        self.reachable = !self.reachable;
    }
}
