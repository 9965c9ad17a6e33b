//! Commands, with one file per group.

mod edits;
pub mod explain;
mod log_lines;
mod moves;
mod queries;
mod summary;
mod table;

use {
    crate::{
        args::{Command, Options},
        client::Client,
        error::CtlError,
    },
    pico_args::Arguments,
};

/// Runs a command with the remaining arguments.
///
/// # Errors
/// [`CtlError`] of the command.
pub async fn run(
    command: Command,
    args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    match command {
        Command::Table => table::run(args, options, client).await,
        Command::Drain => edits::drain(args, options, client).await,
        Command::Cap => edits::cap(args, options, client).await,
        Command::Retire => edits::retire(args, options, client).await,
        Command::DeclareLost => edits::declare_lost(args, options, client).await,
        Command::Move => moves::run(args, options, client).await,
        Command::Status => queries::status(args, client).await,
        Command::Owner => queries::owner(args, client).await,
        Command::History => queries::history(args, client).await,
        Command::Refused => queries::refused(args, client).await,
        Command::Report => queries::report(args, client).await,
        // Both were handled before: they need no client.
        Command::Explain | Command::Help => Ok(()),
    }
}

/// Rejects arguments that the command does not know, so that a mistyped option has no
/// effect.
fn reject_extra_args(args: Arguments) -> Result<(), CtlError> {
    let extra = args.finish();
    match extra.first() {
        None => Ok(()),
        Some(argument) => {
            let message = format!("unexpected argument '{}'", argument.to_string_lossy());
            Err(CtlError::Usage(message))
        }
    }
}
