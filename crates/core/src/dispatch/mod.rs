//! Selection of a backend server for a request, or rejection with a Retry-After.

mod concurrency;
mod demand_rate;
mod idle_limit;
mod load;
mod load_tracker;
mod permits;
mod reach;
mod reported_load;
mod select;
mod stated_limits;

pub use {
    concurrency::{ConcurrencyLimit, ON_TIME_SHARE, Timeliness},
    demand_rate::DemandRate,
    idle_limit::IdleLimit,
    load::{AttemptOutcome, ServerLoad, run_share},
    load_tracker::{LoadTracker, PeerLoad},
    permits::{Denial, PermitAnswer, PermitIssuer, PermitRequest, used_rate},
    reach::{Failure, Links, Reach, Reachability},
    reported_load::{ReportedLoad, ReportedLoadError},
    select::{
        Candidate, Decision, RejectReason, TimeLimits, retry_after_rest, sample_size, select_server,
    },
    stated_limits::{Admission, EqualShare, LimitReport, LimitStatement, StatedLimits},
};
