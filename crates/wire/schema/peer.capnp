# Calls between instances. Regenerate the Rust code as docs/DEVELOPING.md says.
@0xb4f1c3d29a6e7081;

# Where an instance stands. Durations are in microseconds and count from when
# the answer is written; an asker anchors them at the time it sent the question.
struct Status {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  # The revision that its traffic is routed by.
  revision @3 :UInt64;
  # How much longer it may route to servers in any failure domain.
  remaining @4 :UInt64;
  # How long ago the platform read that it rests on was begun.
  age @5 :UInt64;
  # Whether it rests on any; remaining and age mean nothing otherwise.
  confirmed @6 :Bool;
  leaving @7 :Bool;
}

# One row. The value is the row's JSON as the platform stores it, so that rows
# have one encoding only; an empty value stands for a deleted row.
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

# Who asks, so that the answerer knows whom it lent its confirmation to.
struct Asker {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

# Requests of one instance for one backend server, a second.
struct Demand {
  server @0 :Text;
  arrivals @1 :Float64;
  answers @2 :Float64;
}

# Crashes that one instance counted for requests of one fingerprint.
struct CrashCount {
  fingerprint @0 :UInt64;
  # Method and path, for operators.
  label @1 :Text;
  crashes @2 :UInt32;
  # Microseconds since the last crash.
  age @3 :UInt64;
}

# Crashes up to some time that do not count any more.
struct Lift {
  fingerprint @0 :UInt64;
  # Microseconds since.
  age @1 :UInt64;
}

# All that one start of an instance knows of its demand and of crashes; a later
# report replaces an earlier one.
struct Report {
  sender @0 :Asker;
  demands @1 :List(Demand);
  # Counts the reports of one start.
  number @2 :UInt64;
  crashes @3 :List(CrashCount);
  lifts @4 :List(Lift);
}

interface Peer {
  status @0 () -> (status :Status);

  # Answers once the revision is in force and no request that was routed under
  # an older one can reach the backend server or run there; `settled` is false
  # if that was not so in time.
  acknowledge @1 (server :Text, revision :UInt64)
      -> (incarnation :UInt64, settled :Bool);

  # Rows after a revision together with the confirmation that covers them.
  changes @2 (asker :Asker, since :UInt64) -> (status :Status, changes :Changes);

  # Says that the table has reached a revision, so that it is read at once.
  announce @3 (revision :UInt64) -> ();

  # Hands over the sender's demand and crash counts.
  report @4 (report :Report) -> ();
}
