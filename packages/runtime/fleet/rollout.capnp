@0xb7d9c3f05a1e8846;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ebonykeel::wire");

# The payloads of the topic "roll-out": reports of instances to the controller
# and its announcements to them. One datagram holds one of them.
# The earlier release sends no eras: they are read as 0.

struct AnswerCounts {
  answers @0 :UInt64;
  failures @1 :UInt64;
  slow @2 :UInt64;
}

struct RouteCounts {
  route @0 :Text;
  current @1 :AnswerCounts;
  target @2 :AnswerCounts;
}

struct RolloutReport {
  service @0 :Text;
  target @1 :Text;
  revision @2 :UInt64;
  processStart @3 :UInt64;
  sequence @4 :UInt64;
  appliedProcess @5 :UInt64;
  appliedSequence @6 :UInt64;
  appliedStage @7 :UInt8;
  ageMs @8 :UInt32;
  stopped @9 :Bool;
  inFlightCurrent @10 :UInt32;
  grant @11 :UInt32;
  requests @12 :UInt64;
  targetRequests @13 :UInt64;
  routes @14 :List(RouteCounts);
  era @15 :UInt64;
}

struct RolloutAnnouncement {
  service @0 :Text;
  target @1 :Text;
  revision @2 :UInt64;
  controllerProcess @3 :UInt64;
  sequence @4 :UInt64;
  stage @5 :UInt8;
  share @6 :Float64;
  ageMs @7 :UInt32;
  grant @8 :UInt32;
  grantProcess @9 :UInt64;
  era @10 :UInt64;
}

struct RolloutMessage {
  union {
    report @0 :RolloutReport;
    announcement @1 :RolloutAnnouncement;
  }
}
