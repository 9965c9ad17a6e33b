//! First assignment of keys that never had an owner.

use {
    super::Balancer,
    crate::{
        id::ServerName,
        ranges::{KeyRange, RangeKey},
    },
};

/// Number of stripes for the first assignment of a service's keys. Each is renewed
/// separately, which adds up to about 60 orders per second.
const TOTAL_STRIPES: usize = 120;
/// Maximum number of stripes per server.
const MAX_STRIPES_PER_SERVER: usize = 6;
/// Requests, spread evenly over all keys, that are added to the observed ones. A few observed
/// requests would otherwise give most of the keys to the servers of ranges without any. With
/// 60 observed ones and 73 servers, the highest utilization is 1.6 times the mean at even
/// demand, and 3.2 instead of 10.5 where a twentieth of the keys gets half of the requests.
const PRIOR_REQUESTS: f64 = 100.0;
/// Number of keys in the key space.
const KEY_COUNT: f64 = 65_536.0;

impl Balancer<'_> {
    /// Divides keys that never had an owner into stripes over all servers, in proportion to
    /// the servers' rates and, as far as it is known, by demand. Busy keys lie close
    /// together: with one contiguous range per server, a single server would own all of them
    /// until demand is known.
    pub fn assign_stripes(&mut self, range: KeyRange) -> Vec<(KeyRange, ServerName)> {
        let servers: Vec<(ServerName, f64)> = self
            .recipients()
            .map(|(server, entry)| (server.clone(), entry.rate))
            .collect();
        if servers.is_empty() {
            return Vec::new();
        }
        let rounds = (TOTAL_STRIPES / servers.len()).clamp(1, MAX_STRIPES_PER_SERVER);
        let round_rate: f64 = servers.iter().map(|(_, rate)| rate).sum();
        let mut rate_left = round_rate * rounds as f64;
        let mut parts: Vec<(KeyRange, ServerName)> = Vec::new();
        let mut left = Some(range);
        for (server, rate) in servers.iter().cycle().take(servers.len() * rounds) {
            let Some(keys) = left else { break };
            let target = self.stripe_weight(keys) * rate / rate_left;
            let part = self.leading_keys(keys, target);
            rate_left -= rate;
            left = part
                .next_key()
                .filter(|next| *next <= keys.last)
                .map(|first| KeyRange { first, ..keys });
            parts.push((part, server.clone()));
        }
        // Keys left over by rounding go to the last part.
        if let (Some(left), Some((part, _))) = (left, parts.last_mut()) {
            part.last = left.last;
        }
        for (part, server) in &parts {
            self.add_load(server, *part);
        }
        parts
    }

    /// The first keys of `keys` whose weight is at least `target`.
    fn leading_keys(&self, keys: KeyRange, target: f64) -> KeyRange {
        let until = |last| KeyRange {
            first: keys.first,
            last: RangeKey(last),
        };
        let (mut low, mut high) = (keys.first.0, keys.last.0);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.stripe_weight(until(middle)) < target {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        until(low)
    }

    /// Requests per second for `range`, with those of [`PRIOR_REQUESTS`] if the demand was
    /// observed just now.
    fn stripe_weight(&self, range: KeyRange) -> f64 {
        let window_secs = self.demand.window_secs();
        let prior_rate = match window_secs > 0.0 {
            true => PRIOR_REQUESTS / window_secs,
            false => 0.0,
        };
        self.weight(range) + prior_rate * f64::from(range.len()) / KEY_COUNT
    }
}
