//! Which backend server a request goes to now, and when it is better told to
//! come back.

mod book;
mod choice;
mod load;

pub use {
    book::{LoadBook, PeerLoad},
    choice::{Ask, Candidate, Choice, choose},
    load::{Finish, ServerLoad},
};
