//! An instance within the test process, whose state the test can read.

use {
    super::any_address,
    citron_core::{id::Incarnation, membership::Member},
    citron_ports::{IdempotentStore, MemoryPlatform, ServerClient},
    citronproxy::{
        clock::Clock,
        control::{Control, ControlConfig, ControlMetrics},
        traffic::{self, TrafficHandle, Workers},
    },
    prometheus::Registry,
};

/// An instance of one traffic thread, and control in the test's `LocalSet`.
pub struct EmbeddedInstance {
    /// Control tasks.
    pub control: Control<IdempotentStore<MemoryPlatform>>,
    /// Traffic thread.
    pub workers: Workers,
}

impl EmbeddedInstance {
    /// Starts an instance that accesses the platform's memory directly.
    pub async fn start(name: &str, domain: &str, memory: &MemoryPlatform) -> Self {
        let (handle, clock) = (TrafficHandle::default(), Clock::start());
        let workers = traffic::start(any_address(), 1, &handle, clock).expect("threads start");
        let instance = name.parse().expect("a name");
        let member = Member {
            instance,
            incarnation: Incarnation(1),
        };
        let config = ControlConfig {
            member,
            domain: domain.parse().expect("a name"),
            traffic: workers.address,
            peer: any_address(),
            advertise: None,
            admin: any_address(),
            seeds: Vec::new(),
        };
        let metrics = ControlMetrics::new(&Registry::new()).expect("valid names");
        let store = IdempotentStore::new(memory.clone(), name.to_string());
        let outside = (store, ServerClient::default());
        let control = Control::start(config, outside, handle, clock, metrics).await;
        Self {
            control: control.expect("a port"),
            workers,
        }
    }

    /// This instance's share of a server's slots, once it has been computed.
    pub fn slots_of(&self, server: &str) -> Option<f64> {
        let server = server.parse().expect("a name");
        let parts = self.control.node().quotas();
        parts.get(&server).map(|part| part.share.slots())
    }
}
