//! The control thread: follows the table and publishes what traffic routes by.

mod follower;

pub use follower::Follower;
