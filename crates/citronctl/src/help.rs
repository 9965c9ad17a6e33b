//! Help texts.

use crate::args::Command;

const GENERAL: &str = "\
citronctl: the operators' command line of citronproxy

usage: citronctl [OPTIONS] COMMAND ...
  table show|set|import|export|delete   look at rows and edit them
  drain SERVER          give a backend server no new work
  cap SERVER RATE       cap a backend server's requests a second; 'none' ends it
  retire SERVER         keep a drained backend server's row for the record only
  move SERVICE          move a shard or a key to a backend server
  declare-lost DOMAIN   state that nothing in a failure domain runs any more
  status                instances, failure domains and revisions in force
  owner SERVICE KEY     who owns a key, and why
  history               accepted edits
  refused               requests refused because they crash backend servers
  report                service-level burn, imbalance, churn, unavailable time
  explain ID FILE...    one request's story, from instances' log files
  explain --all FILE... what all requests were refused or lost for, and when
'citronctl COMMAND --help' tells more.

options:
  --at ADDR[,ADDR]   admin addresses of instances (or CITRON_ADMIN); the first
                     that can be reached is asked
  --by NAME          who makes the edit (or USER); kept in the history
  --token-file FILE  file with the token (or CITRON_TOKEN_FILE, or the token
                     itself in CITRON_TOKEN); never an argument
  --wait             wait until the edit is in force on every instance
  --wait-time SECS   how long at most, 30 unless given
  --yes              apply without asking

exit codes: 0 done; 1 failed or refused, nothing took effect; 2 wrong usage;
3 lost a race, nothing took effect; 4 outcome unknown; 5 accepted, but not seen
in force everywhere (or moved) within the wait
";

const TABLE: &str = "\
citronctl table: look at rows and edit them

  table show [KIND] [--format table|csv|json]
      rows of KIND: service, server, domain, instance, block or override;
      services, servers and domains unless given
  table export KIND [--format csv|json]
      rows for a spreadsheet, with their versions; CSV unless given
  table import FILE [--dry-run]
      applies a CSV or JSON file as one edit, after showing what changes. Rows
      with a version change only if they still have it; rows without one are
      added, or brought in line with the file. Rows that are not in the file stay.
  table set KIND/NAME FIELD=VALUE... [--version N] [--dry-run]
      changes fields of one row; an empty value ends a cap
  table delete KIND/NAME [--version N] [--dry-run]
";

const DRAIN: &str = "\
citronctl drain SERVER [--undo]
  The server gets no new work and its shards move away. --undo makes it active.
";

const CAP: &str = "\
citronctl cap SERVER RATE|none
  At most RATE requests a second, all instances together; 'none' ends the cap.
";

const RETIRE: &str = "\
citronctl retire SERVER
  Refused while the server owns shards: drain it first.
";

const MOVE: &str = "\
citronctl move SERVICE --shard N|--key KEY --to SERVER
  Begins a move; with --wait (for a key) until the new owner has it.
";

const LOST: &str = "\
citronctl declare-lost DOMAIN [--undo]
  States that no instance and no backend server of the failure domain runs any
  more. Moves then no longer wait for it. If something there still runs, two
  servers may own one key. The statement is kept with your name.
";

const STATUS: &str = "\
citronctl status [--format table|json]
  Asks every instance that the table lists for its revision in force.
";

const OWNER: &str = "\
citronctl owner SERVICE KEY
  Who owns the key, under which epoch, and which row says so.
";

const HISTORY: &str = "\
citronctl history [--after REVISION] [--limit N] [--format table|json]
  Accepted edits, oldest first: revision, time, who, and what changed.
";

const REFUSED: &str = "\
citronctl refused [--lift FINGERPRINT]
  Requests that crashed backend servers, as the instance that is asked knows of
  them: crashes, and for how many seconds more such requests are refused. --lift
  lets them through until they crash servers again.
";

const REPORT: &str = "\
citronctl report [--format text|json|html]
  Burn of each service's objectives over 5 min, 1 h, 30 min and 6 h: 1 spends a
  budget exactly over its period. 'fast burn' is 14.4 over 5 min and 1 h, 'slow
  burn' 6 over 30 min and 6 h. Imbalance is the fullest server's load over the
  mean of the last hour, each by its weight, churn the shards that changed owner in 6 h, and
  unavailable the seconds in 6 h that a key could not be reached on the mean.
  'html' is one page that needs nothing else: citronctl report --format html > burn.html
";

const EXPLAIN: &str = "\
citronctl explain ID FILE...
  What became of a request and why: its lines in the log files of all instances,
  in order of time, and the last that was known before of the servers and the
  service that they name. Asks no instance and needs no token.
citronctl explain --all [--every SECS] FILE...
  How many requests were refused, lost or tried again, by reason (the words after
  the last colon of a line) and time, a row for every 2 s unless given.
";

/// The help of a command.
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
