//! One file per group of commands.

pub mod explain;
mod log_lines;
mod look;
mod moves;
mod rows;
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

/// Runs a command with the arguments that are left.
pub async fn run(
    command: Command,
    args: Arguments,
    options: &Options,
    client: &Client,
) -> Result<(), CtlError> {
    match command {
        Command::Table => table::run(args, options, client).await,
        Command::Drain => rows::drain(args, options, client).await,
        Command::Cap => rows::cap(args, options, client).await,
        Command::Retire => rows::retire(args, options, client).await,
        Command::DeclareLost => rows::declare_lost(args, options, client).await,
        Command::Move => moves::run(args, options, client).await,
        Command::Status => look::status(args, client).await,
        Command::Owner => look::owner(args, client).await,
        Command::History => look::history(args, client).await,
        Command::Refused => look::refused(args, client).await,
        Command::Report => look::report(args, client).await,
        // Neither of them asks an instance.
        Command::Explain | Command::Help => Ok(()),
    }
}

/// Refuses arguments that no command took, so that a slip changes nothing.
fn finish(args: Arguments) -> Result<(), CtlError> {
    let left = args.finish();
    match left.first() {
        None => Ok(()),
        Some(word) => {
            let message = format!("unexpected argument '{}'", word.to_string_lossy());
            Err(CtlError::Usage(message))
        }
    }
}
