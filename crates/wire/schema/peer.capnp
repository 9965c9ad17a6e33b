# Calls between instances. docs/DEVELOPING.md describes how to regenerate the Rust code.
@0xb4f1c3d29a6e7081;

# Status of an instance. Durations are in microseconds and relative to the time at which
# the response is written; the caller counts them from the time it sent the request.
struct Status {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  # Revision by which the instance routes requests.
  revision @3 :UInt64;
  # Remaining time for which the instance may route to servers in any failure domain.
  remaining @4 :UInt64;
  # Time since the start of the platform read that `remaining` is based on.
  age @5 :UInt64;
  # Whether there is such a read; otherwise remaining and age are not valid.
  confirmed @6 :Bool;
  leaving @7 :Bool;
}

# One changed row. The value is the row's JSON as the platform stores it, so that rows have
# only one encoding; an empty value means that the row was deleted.
struct Change {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Text;
}

struct Changes {
  since @0 :UInt64;
  revision @1 :UInt64;
  rows @2 :List(Change);
}

# Sender of a call. The receiver records which instances rely on its confirmation.
struct Asker {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

# Request rates of one instance for one backend server, per second.
struct Demand {
  server @0 :Text;
  arrivals @1 :Float64;
  answers @2 :Float64;
}

# Crashes counted by one instance for requests of one fingerprint.
struct CrashCount {
  fingerprint @0 :UInt64;
  # Method and path, for operators.
  label @1 :Text;
  crashes @2 :UInt32;
  # Microseconds since the last crash.
  age @3 :UInt64;
}

# Time up to which crashes of one fingerprint no longer count.
struct Lift {
  fingerprint @0 :UInt64;
  # Microseconds since that time.
  age @1 :UInt64;
}

# Demand and crash counts of one incarnation of an instance. A later report replaces an
# earlier one.
struct Report {
  sender @0 :Asker;
  demands @1 :List(Demand);
  # Sequence number of the report within its incarnation.
  number @2 :UInt64;
  crashes @3 :List(CrashCount);
  lifts @4 :List(Lift);
}

interface Peer {
  status @0 () -> (status :Status);

  # Responds once the revision is in force and no request that was routed under an older
  # one can reach the backend server or run there. `settled` is false if the time-out
  # expired before.
  acknowledge @1 (server :Text, revision :UInt64)
      -> (incarnation :UInt64, settled :Bool);

  # Returns the rows after a revision, and the status whose confirmation covers them.
  changes @2 (asker :Asker, since :UInt64) -> (status :Status, changes :Changes);

  # Announces that the table has reached a revision, so that the receiver reads it at once.
  announce @3 (revision :UInt64) -> ();

  # Sends the demand and crash counts of the sender.
  report @4 (report :Report) -> ();
}
