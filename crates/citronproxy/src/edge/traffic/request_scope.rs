//! What a request in progress needs of the state that it shares with others.

use {
    super::{attempt::OutgoingRequest, detour, thread::TrafficState},
    citron_core::{
        crash::Fingerprint,
        id::{Epoch, InstanceId, ServerName, ServiceName},
        ranges::{RangeKey, Slice},
        request::{DetourPeer, RequestContext, Shutdown},
    },
    std::time::Duration,
};

/// A request and the state of its traffic thread.
#[derive(Debug)]
pub struct RequestScope<'a> {
    /// State of the traffic thread.
    pub state: &'a TrafficState,
    /// Service that the traffic split of the route selected.
    pub service: &'a ServiceName,
    /// Key of the request; `None` if the service has no keys.
    pub key: Option<RangeKey>,
    /// The request as it is sent to servers.
    pub request: OutgoingRequest<'a>,
}

impl RequestScope<'_> {
    /// Fingerprint that is equal for the same request sent again.
    pub fn fingerprint(&self) -> Fingerprint {
        let head = self.request.head;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let body = self.request.body.identity();
        Fingerprint::from_parts(&[head.method.as_str().as_bytes(), path.as_bytes(), &body])
    }

    /// Slice of the map that contains the key.
    fn slice(&self) -> Option<Slice> {
        let view = self.state.shared.view()?;
        let map = view.maps.get(self.service)?;
        map.slice(self.key?).cloned()
    }
}

impl RequestContext for RequestScope<'_> {
    fn take_retry(&self) -> bool {
        self.state.take_retry(self.service)
    }

    fn is_cut_off(&self) -> bool {
        self.state.shared.is_cut_off()
    }

    fn is_surely_cut_off(&self) -> bool {
        let now = self.state.clock.now();
        self.state.shared.reach().is_surely_cut_off(now)
    }

    fn is_unreached_elsewhere(&self, server: &ServerName) -> bool {
        let now = self.state.clock.now();
        self.state.unreached.borrow().contains(server, now)
    }

    fn choose_peer(&self, tried: &[InstanceId]) -> Option<DetourPeer> {
        let view = self.state.shared.view()?;
        detour::choose_peer(&view, tried)
    }

    fn owner(&self) -> Option<ServerName> {
        self.slice().and_then(|slice| slice.owner)
    }

    fn epoch(&self) -> Epoch {
        self.slice().map_or(Epoch(0), |slice| slice.epoch)
    }

    fn remaining_rest(&self, server: &ServerName) -> Option<Duration> {
        let loads = self.state.shared.loads();
        loads.get(server).remaining_rest(self.state.clock.now())
    }

    fn clients_per_admission(&self, server: &ServerName) -> f64 {
        self.state
            .shared
            .loads()
            .get(server)
            .clients_per_admission()
    }

    fn record_rejection(&self, owner: &ServerName) {
        self.state.shared.loads().record_rejection(owner);
    }

    fn quarantine_left(&self) -> Option<Duration> {
        let crashes = self.state.shared.crashes();
        if crashes.is_empty() {
            return None;
        }
        crashes.refused_for(self.fingerprint(), self.state.clock.now())
    }

    fn can_resend(&self) -> bool {
        self.request.body.is_replayable()
    }

    fn can_send_twice(&self) -> bool {
        self.request.body.is_buffered()
    }

    fn shutdown(&self) -> Option<Shutdown> {
        *self.state.shutdown.borrow()
    }

    fn random(&self) -> f64 {
        rand::random()
    }
}
