//! One file per group of commands.

mod look;
mod moves;
mod refused;
mod rows;
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
        Command::Refused => refused::run(args, client).await,
        Command::Report => look::report(args, client).await,
        Command::Help => Ok(()),
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

fn is_json(args: &mut Arguments) -> Result<bool, CtlError> {
    let format: Option<String> = args.opt_value_from_str("--format")?;
    match format.as_deref() {
        None | Some("table") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => {
            let message = format!("--format is '{other}'; allowed: table, json");
            Err(CtlError::Usage(message))
        }
    }
}

fn print_json(value: &impl serde::Serialize) -> Result<(), CtlError> {
    let failed = |error: serde_json::Error| CtlError::Failed(error.to_string());
    println!("{}", serde_json::to_string_pretty(value).map_err(failed)?);
    Ok(())
}
