//! Services whose servers refuse requests without naming them.

use {
    super::{NamedRequest, ResponseOrigin},
    crate::{id::ServiceName, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Time after a refusal that named no request during which others of its kind are expected.
const EXPECTED_TIME: Duration = Duration::from_secs(60);

/// Services whose servers have lately refused requests without naming them.
///
/// On a connection that has carried other requests, such a refusal proves nothing, and a request
/// that may run once would end with an unknown outcome. It needs a new connection.
///
/// ```
/// use citron_core::{
///     request::{NamedRequest, ResponseOrigin, UnnamedRefusals},
///     time::Time,
/// };
/// let service = "balances".parse().unwrap();
/// let unnamed = ResponseOrigin {
///     request: NamedRequest::Missing,
///     is_first: false,
///     is_other_process: false,
/// };
/// let mut refusals = UnnamedRefusals::default();
/// assert!(!refusals.are_expected(&service, Time::from_micros(1)));
/// refusals.record(&service, unnamed, Time::from_micros(0));
/// assert!(refusals.are_expected(&service, Time::from_micros(1)));
/// ```
#[derive(Debug, Default)]
pub struct UnnamedRefusals {
    expected_until: BTreeMap<ServiceName, Time>,
}

impl UnnamedRefusals {
    /// Records the origin of a refusal by a server of the service. One of another process says
    /// nothing about the service.
    pub fn record(&mut self, service: &ServiceName, origin: ResponseOrigin, now: Time) {
        if origin.request == NamedRequest::Missing && !origin.is_other_process {
            self.expected_until
                .insert(service.clone(), now + EXPECTED_TIME);
        }
    }

    /// Whether servers of the service may refuse requests without naming them.
    pub fn are_expected(&self, service: &ServiceName, now: Time) -> bool {
        let until = self.expected_until.get(service);
        until.is_some_and(|until| *until > now)
    }
}
