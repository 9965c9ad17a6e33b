//! Fake network link: a TCP relay that can drop, delay, throttle or truncate traffic.

mod relay;

pub use relay::Link;
