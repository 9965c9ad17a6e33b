//! Help texts of the commands.

use crate::args::Command;

const GENERAL: &str = "\
citronctl: the operators' command line of citronproxy

usage: citronctl [OPTIONS] COMMAND ...
  table show|set|import|export|delete   show and edit rows of the table
  drain SERVER          stop sending new requests to a backend server
  cap SERVER RATE       limit a backend server's requests per second; 'none' removes
                        the limit
  retire SERVER         retire a drained backend server; its row is kept
  move SERVICE          move a shard or a key to a backend server
  declare-lost DOMAIN   declare that nothing in a failure domain runs any more
  status                instances, their failure domains and revisions in force
  owner SERVICE KEY     who owns a key, and why
  history               accepted edits
  refused               requests refused because they crash backend servers
  report                SLO burn rates, load imbalance, churn, unavailable time
  explain ID FILE...    what happened to a request, from instances' log files
  explain --all FILE... counts of failed requests by reason and time
See 'citronctl COMMAND --help' for details.

options:
  --at ADDR[,ADDR]   admin addresses of instances (or CITRON_ADMIN); the first
                     reachable one is used
  --by NAME          author of the edit (or USER), recorded in the history
  --token-file FILE  file with the token (or CITRON_TOKEN_FILE; CITRON_TOKEN holds
                     the token itself); the token cannot be an argument
  --wait             wait until the edit is in force on every instance
  --wait-time SECS   timeout of --wait, default 30
  --yes              apply without confirmation

exit codes: 0 success; 1 failed or refused, nothing changed; 2 usage error;
3 version conflict, nothing changed; 4 outcome unknown; 5 accepted, but not in
force on every instance (or not moved) within the wait time
";

const TABLE: &str = "\
citronctl table: show and edit rows of the table

  table show [KIND] [--format table|csv|json]
      shows rows of KIND: service, server, domain, instance, block or override;
      by default services, servers and domains
  table export KIND [--format csv|json]
      prints rows with their versions for a spreadsheet, by default as CSV
  table import FILE [--dry-run]
      applies a CSV or JSON file as one edit, after showing the changes. A row
      with a version must still have that version in the table. A row without
      a version is added or updated. Rows that are not in the file stay.
  table set KIND/NAME FIELD=VALUE... [--version N] [--dry-run]
      changes fields of one row; an empty value removes a cap
  table delete KIND/NAME [--version N] [--dry-run]
";

const DRAIN: &str = "\
citronctl drain SERVER [--undo]
  Sends the server no new requests and moves its shards away. --undo makes it
  active again.
";

const CAP: &str = "\
citronctl cap SERVER RATE|none
  Limits the server to RATE requests per second over all instances; 'none'
  removes the limit.
";

const RETIRE: &str = "\
citronctl retire SERVER
  Sets the server's state to retired. Refused while the server owns shards:
  drain it first.
";

const MOVE: &str = "\
citronctl move SERVICE --shard N|--key KEY --to SERVER
  Starts to move a shard or a key to another server. --wait with --key waits
  until the new server owns the key.
";

const LOST: &str = "\
citronctl declare-lost DOMAIN [--undo]
  Declares that no instance and no backend server of the failure domain runs any
  more. Moves then no longer wait for it. If something there still runs, two
  servers may own one key. Your name is recorded with the declaration.
";

const STATUS: &str = "\
citronctl status [--format table|json]
  Shows the revision in force on every instance that the table lists.
";

const OWNER: &str = "\
citronctl owner SERVICE KEY
  Shows which server owns the key, its epoch, and the row that assigns the key.
";

const HISTORY: &str = "\
citronctl history [--after REVISION] [--limit N] [--format table|json]
  Lists accepted edits, oldest first, with revision, author, time and changes.
";

const REFUSED: &str = "\
citronctl refused [--lift FINGERPRINT]
  Lists requests that crashed backend servers, as known to the instance that
  answers: the number of crashes, and the seconds for which such requests are
  still refused. --lift ends the refusal until they crash servers again.
";

const REPORT: &str = "\
citronctl report [--format text|json|html]
  Shows the burn rates of each service's error budgets over 5 min, 1 h, 30 min
  and 6 h. A rate of 1 spends a budget exactly over its period. 'fast burn' means
  14.4 over 5 min and 1 h, 'slow burn' 6 over 30 min and 6 h. Imbalance is the
  load of the busiest server over the mean load in the last hour, both relative
  to the servers' weights. Churn counts the shards that changed owner in 6 h.
  Unavailable is the mean time in seconds that a key was unavailable in 6 h.
  'html' writes a self-contained page: citronctl report --format html > burn.html
";

const EXPLAIN: &str = "\
citronctl explain ID FILE...
  Shows what happened to a request and why: its lines in the log files of all
  instances in order of time, and the latest earlier events of the servers, the
  service and the instance concerned. Contacts no instance and needs no token.
citronctl explain --all [--every SECS] FILE...
  Counts requests that were refused, lost or retried, by reason (the text after
  the last colon of a log line) and time. Each row covers SECS seconds, default 2.
";

/// Returns the help text of a command.
pub fn text(command: &Command) -> &'static str {
    match command {
        Command::Help => GENERAL,
        Command::Table => TABLE,
        Command::Drain => DRAIN,
        Command::Cap => CAP,
        Command::Retire => RETIRE,
        Command::Move => MOVE,
        Command::DeclareLost => LOST,
        Command::Status => STATUS,
        Command::Owner => OWNER,
        Command::History => HISTORY,
        Command::Refused => REFUSED,
        Command::Report => REPORT,
        Command::Explain => EXPLAIN,
    }
}
