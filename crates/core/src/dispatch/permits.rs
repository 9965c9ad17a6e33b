//! Permits for requests to servers that state a rate limit.

use {
    super::DemandRate,
    crate::{admission::Rate, id::ServerName, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Fraction of a stated rate that is used. Two planners may issue permits for a moment
/// after one has been replaced.
const USED_SHARE: f64 = 0.9;
/// Requests per second that are sent over all instances to a server with a lower limit.
/// Only a response tells that the limit has ended.
const TRIAL_RATE: f64 = 0.2;
/// Largest number of permits that are saved up while there is no demand.
const SAVED_MAX: f64 = 2.0;
/// Shortest and longest Retry-After, in seconds.
const RETRY_AFTER_RANGE_S: [f64; 2] = [0.08, 3.0];
/// Shortest and longest time for which an instance that got no permit asks for no other
/// one, in seconds.
const PAUSE_RANGE_S: [f64; 2] = [0.02, 0.4];
/// Time after which the record of a server that nobody asks for is dropped.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Request of an instance to send one request to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitRequest {
    /// Name of the server.
    pub server: ServerName,
    /// Rate limit of the server, as known to the instance.
    pub limit: Rate,
    /// Requests that the instance had for the server since it last asked, this one
    /// included.
    pub arrivals: u32,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    /// One request may be sent.
    Granted,
    /// The limit is used up.
    Denied(Denial),
}

/// Why and for how long a request may not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denial {
    /// Time after which a rejected client should return.
    pub retry_after: Duration,
    /// Time for which the instance asks for no other permit.
    pub pause: Duration,
}

/// Rate that is used of a stated limit.
pub fn used_rate(limit: Rate) -> Rate {
    Rate((limit.0 * USED_SHARE).max(TRIAL_RATE))
}

/// Issues the permits for all instances.
///
/// The limit of a server holds over all instances together, whatever their demand is and
/// however it changes, as all of them ask one issuer for each request. Shares of the limit
/// that follow the demand cannot do that: they follow the demand of before.
///
/// ```
/// use {citron_core::{admission::Rate, dispatch::*, time::Time}, std::time::Duration};
/// let mut issuer = PermitIssuer::default();
/// let request = PermitRequest { server: "s-1".parse().unwrap(), limit: Rate(10.0), arrivals: 1 };
/// let mut granted = 0;
/// for millis in 0..1_000 {
///     let now = Time::ZERO + Duration::from_millis(millis);
///     granted += usize::from(issuer.decide(&request, now) == PermitAnswer::Granted);
/// }
/// assert_eq!(granted, 8);
/// ```
#[derive(Debug, Default)]
pub struct PermitIssuer {
    servers: BTreeMap<ServerName, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    permits: f64,
    refilled: Time,
    demand: DemandRate,
}

impl PermitIssuer {
    /// Decides whether a request may be sent now. A server of which the issuer has not
    /// heard begins with no permits, as another issuer may just have used them up.
    pub fn decide(&mut self, request: &PermitRequest, now: Time) -> PermitAnswer {
        let used = used_rate(request.limit).0;
        let bucket = self
            .servers
            .entry(request.server.clone())
            .or_insert_with(|| Bucket {
                permits: 0.0,
                refilled: now,
                demand: DemandRate::default(),
            });
        bucket.demand.count_many(request.arrivals, now);
        let elapsed = (now - bucket.refilled).as_secs_f64();
        bucket.permits = (bucket.permits + used * elapsed).min(SAVED_MAX);
        bucket.refilled = now;
        if bucket.permits >= 1.0 {
            bucket.permits -= 1.0;
            return PermitAnswer::Granted;
        }
        let next_permit = (1.0 - bucket.permits) / used;
        PermitAnswer::Denied(Denial {
            retry_after: retry_after(bucket.demand.rate(now), used),
            pause: clamp_seconds(next_permit, PAUSE_RANGE_S),
        })
    }

    /// Drops servers that nobody has asked for lately.
    pub fn expire(&mut self, now: Time) {
        self.servers
            .retain(|_, bucket| now - bucket.refilled < IDLE_MAX);
    }

    /// Drops all servers, so that a new term begins without permits.
    pub fn clear(&mut self) {
        self.servers.clear();
    }
}

/// Time after which the requests of all clients that were rejected arrive again at about
/// the rate that the server takes.
fn retry_after(demand: Rate, used: f64) -> Duration {
    clamp_seconds(demand.0 / (used * used), RETRY_AFTER_RANGE_S)
}

fn clamp_seconds(seconds: f64, [min, max]: [f64; 2]) -> Duration {
    Duration::from_secs_f64(seconds.clamp(min, max))
}
