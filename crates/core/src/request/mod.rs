//! What an instance does next with a client's request, from its receipt to its response.

mod context;
mod event;
mod origin;
mod progress;
mod shutdown;
mod step;
mod target;
mod unnamed_refusals;

pub use {
    context::RequestContext,
    event::{AttemptEnd, DetourEnd, Event, means_not_run},
    origin::{NamedRequest, RefusalProof, ResponseOrigin},
    progress::{Origin, RequestProgress, RequestTraits},
    shutdown::Shutdown,
    step::{FinalResponse, Reason, Step, Wake},
    target::{DetourPeer, Overload, RETRY_JITTER, StaleOwner, Target},
    unnamed_refusals::UnnamedRefusals,
};
