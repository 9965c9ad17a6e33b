//! How old what an instance knows of the store's tables is, and who asks anew.
//!
//! A question to the store stays open until there is news. That it is open is no
//! sign that there is none: its answer may have been lost. So each table has an
//! age, which only an answer resets, and which instances tell each other; whoever
//! finds it too high asks a question that is answered at once.

mod beats;
mod behind;
mod book;
mod fetches;
mod health;
mod standing;
mod times;

pub use {
    beats::{Beats, LOST, Sender},
    behind::Behind,
    book::{Age, Freshness, Gap},
    fetches::{Fetch, FetchTimes, Fetches},
    health::StoreHealth,
    standing::{Doubt, Newer, Newest, Standing},
    times::{FreshnessTimes, HearTimes, Role},
};
