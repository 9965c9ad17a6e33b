//! Command line of the binary.

use {
    pico_args::Arguments,
    std::{convert::Infallible, ffi::OsStr, path::PathBuf},
    thiserror::Error,
};

/// Text printed by `--help`.
pub const HELP: &str = "\
citronproxy: routes requests to backend servers that own keys exclusively

usage:
  citronproxy run FILE     run an instance with the settings in FILE
  citronproxy edge FILE    run an instance on an outside platform
  citronproxy check [--edge] FILE
                           check settings and do nothing else
  citronproxy dev          one process with a sample service, to try it out
  citronproxy --help       this text

exit codes: 0 done, 1 failed while running, 2 wrong usage or settings
";

/// A parsed command.
#[derive(Debug)]
pub enum Command {
    /// Run an instance.
    Run(PathBuf),
    /// Run an instance on an outside platform.
    Edge(PathBuf),
    /// Check a settings file.
    Check(PathBuf),
    /// Check a settings file for an outside platform.
    CheckEdge(PathBuf),
    /// Run the sample deployment.
    Dev,
    /// Print the help.
    Help,
}

/// An error in the arguments.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An argument is missing or cannot be parsed.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// No such command.
    #[error("no command '{found}'; see citronproxy --help")]
    UnknownCommand {
        /// The word given as the command.
        found: String,
    },
    /// More arguments than the command takes.
    #[error("'{found}' is one argument too many; see citronproxy --help")]
    ExtraArgument {
        /// The first extra argument.
        found: String,
    },
}

impl Command {
    /// Parses the arguments of the process.
    pub fn parse(mut args: Arguments) -> Result<Self, UsageError> {
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let is_edge = args.contains("--edge");
        let command = match args.subcommand()?.as_deref() {
            Some("run") => Self::Run(path(&mut args)?),
            Some("edge") => Self::Edge(path(&mut args)?),
            Some("check") if is_edge => Self::CheckEdge(path(&mut args)?),
            Some("check") => Self::Check(path(&mut args)?),
            Some("dev") => Self::Dev,
            None => Self::Help,
            Some(other) => {
                let found = other.to_string();
                return Err(UsageError::UnknownCommand { found });
            }
        };
        match args.finish().first() {
            None => Ok(command),
            Some(more) => Err(UsageError::ExtraArgument {
                found: more.to_string_lossy().into_owned(),
            }),
        }
    }
}

fn path(args: &mut Arguments) -> Result<PathBuf, pico_args::Error> {
    args.free_from_os_str(|text: &OsStr| Ok::<_, Infallible>(PathBuf::from(text)))
}
