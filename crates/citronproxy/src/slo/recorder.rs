//! Recorder of counts for service-level objectives.

use {
    super::{Page, unix_time},
    crate::{clock::Clock, events, traffic::TrafficHandle},
    citron_core::{
        id::{DomainName, InstanceId, ServiceName},
        routing::RouteMap,
        slo::{Minute, Reachability, Tally, moved_shards},
        time::Time,
    },
    citron_ports::{ObjectStore, PlatformError},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two samples of the counts and of reachability.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of samples between two writes. With the duration of the write itself, the
/// interval is well below a minute, which is the most that may be lost when an instance
/// is replaced.
const SAMPLES_PER_FLUSH: u32 = 40;
/// Maximum number of pages kept while the object store is unavailable.
const MAX_PAGES: usize = 8;

/// Recorder of one instance's counts.
#[derive(Debug)]
pub struct Recorder {
    instance: InstanceId,
    domain: DomainName,
    handle: TrafficHandle,
    route_map: Arc<RouteMap>,
    reachability: Reachability,
    sampled_at: Option<Time>,
    /// Whether the last write succeeded.
    is_written: bool,
    pages: Vec<Page>,
}

impl Recorder {
    /// Creates a recorder without counts.
    pub fn new(instance: InstanceId, domain: DomainName, handle: TrafficHandle) -> Self {
        Self {
            instance,
            domain,
            handle,
            route_map: Arc::default(),
            reachability: Reachability::default(),
            sampled_at: None,
            is_written: true,
            pages: Vec::new(),
        }
    }

    /// Samples and writes periodically. Runs until its task is aborted.
    pub async fn run(mut self, store: impl ObjectStore, clock: Clock) {
        let mut samples = 0;
        loop {
            sleep(SAMPLE_INTERVAL).await;
            self.sample(clock.now(), Minute::from_unix_time(unix_time()))
                .await;
            samples += 1;
            if samples < SAMPLES_PER_FLUSH {
                continue;
            }
            // A failed write is retried after the next sample.
            let flushed = self.flush(&store).await;
            if flushed.is_ok() {
                samples = 0;
            }
            self.log_flush(flushed);
        }
    }

    fn log_flush(&mut self, flushed: Result<(), PlatformError>) {
        match (&flushed, self.is_written) {
            (Ok(()), false) => log::info!("{}", events::RECORDS_WRITTEN),
            (Err(error), true) => log::warn!("{} {error}", events::RECORDS_HELD),
            _ => {}
        }
        self.is_written = flushed.is_ok();
    }

    /// Adds the counts since the last sample to a minute.
    pub async fn sample(&mut self, now: Time, minute: Minute) {
        let mut tallies = self.handle.take_tallies().await;
        self.observe(now, &mut tallies);
        let page = self.page_mut(minute.hour());
        for (service, tally) in &tallies {
            page.record.add(minute, service, tally);
            page.is_dirty = true;
        }
    }

    fn observe(&mut self, now: Time, tallies: &mut BTreeMap<ServiceName, Tally>) {
        let span = self.sampled_at.map(|before| now - before);
        self.sampled_at = Some(now);
        let snapshot = self.handle.snapshot();
        let Some(snapshot) = snapshot.as_ref() else {
            return;
        };
        if !Arc::ptr_eq(&snapshot.map, &self.route_map) {
            for (service, moved) in moved_shards(&self.route_map, &snapshot.map) {
                tallies.entry(service).or_default().shards_moved += moved;
            }
            self.reachability = Reachability::new(&snapshot.map, &self.domain);
            self.route_map = Arc::clone(&snapshot.map);
        }
        let span = span.unwrap_or_default();
        for (service, share) in self.reachability.unreachable_shares(snapshot, now) {
            let tally = tallies.entry(service).or_default();
            tally.observed += span;
            tally.unreachable += span.mul_f64(share);
        }
    }

    fn page_mut(&mut self, hour: u64) -> &mut Page {
        let found = self.pages.iter().position(|page| page.hour == hour);
        let index = found.unwrap_or_else(|| {
            let page = match self.pages.is_empty() {
                true => Page::unmerged(hour),
                false => Page::new(hour),
            };
            self.pages.push(page);
            if self.pages.len() > MAX_PAGES {
                self.pages.remove(0);
            }
            self.pages.len() - 1
        });
        &mut self.pages[index]
    }

    /// Writes all pages that have changed.
    ///
    /// # Errors
    /// If the object store cannot be written; no counts are lost.
    pub async fn flush(&mut self, store: &impl ObjectStore) -> Result<(), PlatformError> {
        for page in &mut self.pages {
            page.flush(store, &self.instance).await?;
        }
        let last = self.pages.last().map(|page| page.hour);
        self.pages
            .retain(|page| page.is_dirty || Some(page.hour) == last);
        Ok(())
    }
}
