//! Shared state by which the next step of a request is decided.

use {
    super::{DetourPeer, Shutdown},
    crate::id::{Epoch, InstanceId, ServerName},
    std::time::Duration,
};

/// State that all requests of an instance share, as seen by one of them.
pub trait RequestContext {
    /// Takes a token from the retry budget of the service; `false` if there is none.
    fn take_retry(&self) -> bool;

    /// Whether no server responds to this instance.
    fn is_cut_off(&self) -> bool;

    /// Whether that has lasted so long that there is no point in sending the request.
    fn is_surely_cut_off(&self) -> bool;

    /// Whether a detour to the server was in vain lately.
    fn is_unreached_elsewhere(&self, server: &ServerName) -> bool;

    /// Another instance through which the request may be sent, other than those in `tried`.
    fn choose_peer(&self, tried: &[InstanceId]) -> Option<DetourPeer>;

    /// Owner of the key by the map; `None` if there is none or the request has no key.
    fn owner(&self) -> Option<ServerName>;

    /// Epoch of the key's slice; 0 if it is unknown.
    fn epoch(&self) -> Epoch;

    /// How much longer the server wants no requests from this instance; `None` if it has not
    /// asked for rest.
    fn remaining_rest(&self, server: &ServerName) -> Option<Duration>;

    /// Number of clients that the server rejects or admits for each one it admits.
    fn clients_per_admission(&self, server: &ServerName) -> f64;

    /// Records that a request was rejected for lack of capacity of its owner.
    fn record_rejection(&self, owner: &ServerName);

    /// Remaining quarantine of requests like this one; `None` if there is none.
    fn quarantine_left(&self) -> Option<Duration>;

    /// Whether the body of the request can be sent from its beginning again.
    fn can_resend(&self) -> bool;

    /// Whether the request can be sent while it is being sent elsewhere.
    fn can_send_twice(&self) -> bool;

    /// The shutdown of this instance, if it has begun.
    fn shutdown(&self) -> Option<Shutdown>;

    /// Random number, uniform in 0 to 1.
    fn random(&self) -> f64;
}
