//! Command-line options common to all commands.

use {
    crate::error::CtlError,
    pico_args::Arguments,
    std::{env, fs, net::SocketAddr, time::Duration},
};

/// Default timeout of `--wait` in seconds.
const DEFAULT_WAIT_SECS: u64 = 30;

/// Options common to all commands.
#[derive(Debug)]
pub struct Options {
    /// Admin addresses of instances. The first one that accepts a connection is used.
    pub admins: Vec<SocketAddr>,
    /// Author of the edits, recorded in the history.
    pub author: String,
    /// File with the token, if `--token-file` was given.
    pub token_file: Option<String>,
    /// Whether to wait until an edit is in force on all instances.
    pub wait: bool,
    /// Timeout of [`Self::wait`].
    pub wait_timeout: Duration,
    /// Whether to apply edits without confirmation.
    pub skip_confirm: bool,
}

/// Author of edits if neither `--by` nor `USER` is set, as in a minimal container.
const DEFAULT_AUTHOR: &str = "unnamed";

impl Options {
    /// Parses the common options and removes them from the arguments.
    ///
    /// # Errors
    /// If a value is missing or not valid.
    pub fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let at: Option<String> = args.opt_value_from_str("--at")?;
        let admins = at.or_else(|| env::var("CITRON_ADMIN").ok());
        let author: Option<String> = args.opt_value_from_str("--by")?;
        let seconds: Option<u64> = args.opt_value_from_str("--wait-time")?;
        Ok(Self {
            admins: parse_addresses(&admins.unwrap_or_default())?,
            author: author
                .or_else(|| env::var("USER").ok())
                .unwrap_or_else(|| DEFAULT_AUTHOR.to_string()),
            token_file: args.opt_value_from_str("--token-file")?,
            wait: args.contains("--wait"),
            wait_timeout: Duration::from_secs(seconds.unwrap_or(DEFAULT_WAIT_SECS)),
            skip_confirm: args.contains("--yes"),
        })
    }

    /// Returns the bearer token from a file or the environment. It cannot be an argument:
    /// arguments are visible to all users of the machine and kept in the shell's history.
    ///
    /// # Errors
    /// If no token is set or its file cannot be read.
    pub fn token(&self) -> Result<String, CtlError> {
        let file = self.token_file.clone();
        if let Some(file) = file.or_else(|| env::var("CITRON_TOKEN_FILE").ok()) {
            let text = fs::read_to_string(&file);
            let text = text.map_err(|error| CtlError::Usage(format!("{file}: {error}")))?;
            return Ok(text.trim().to_string());
        }
        let missing = |_| CtlError::Usage("set CITRON_TOKEN or CITRON_TOKEN_FILE".to_string());
        env::var("CITRON_TOKEN").map_err(missing)
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, CtlError> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    let parsed = parts.map(|part| {
        let invalid = |_| CtlError::Usage(format!("'{part}' is not an address and port"));
        part.parse().map_err(invalid)
    });
    parsed.collect()
}

macro_rules! commands {
    ($($variant:ident = $name:literal),* $(,)?) => {
        /// The command to run.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Command {
            /// `help`, or no command: prints the list of commands.
            Help,
            $(#[doc = concat!("`", $name, "`")] $variant),*
        }

        impl Command {
            /// Returns the command with this name on the command line.
            fn from_name(name: &str) -> Option<Self> {
                match name {
                    $($name => Some(Self::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

commands! {
    Table = "table",
    Drain = "drain",
    Cap = "cap",
    Retire = "retire",
    Move = "move",
    DeclareLost = "declare-lost",
    Status = "status",
    Owner = "owner",
    History = "history",
    Refused = "refused",
    Report = "report",
    Explain = "explain",
}

impl Command {
    /// Parses the command and removes it from the arguments.
    ///
    /// # Errors
    /// If there is no such command.
    pub fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        match args.subcommand()?.as_deref() {
            None | Some("help") => Ok(Self::Help),
            Some(name) => {
                let unknown = || CtlError::Usage(format!("unknown command '{name}'; see --help"));
                Self::from_name(name).ok_or_else(unknown)
            }
        }
    }
}
