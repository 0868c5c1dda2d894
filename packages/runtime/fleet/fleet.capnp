@0xd1f0c2a94be37a55;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ebonykeel::wire");

# The gossip datagrams and the feeds that instances exchange over HTTP. The
# earlier release sends no eras: they are read as 0.

struct FleetRecord {
  host @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  dataCentre @3 :Text;
  ready @4 :Bool;
  storeReachable @5 :Bool;
  capacity @6 :UInt32;
}

struct FeedMark {
  content @0 :UInt64;
  ageMs @1 :UInt32;
  era @2 :UInt64;
}

struct FleetDatagram {
  kind @0 :UInt8;
  sequence @1 :UInt64;
  subject @2 :Text;
  sender @3 :FleetRecord;
  news @4 :List(FleetRecord);
  marks @5 :List(FeedMark);
  known @6 :UInt32;
  topic @7 :UInt8;
  payload @8 :Data;
}

struct FeedObject {
  name @0 :Text;
  revision @1 :UInt64;
  deleted @2 :Bool;
  payload @3 :Data;
  era @4 :UInt64;
  orderStart @5 :UInt64;
  orderSequence @6 :UInt64;
}

struct RetainedObject {
  object @0 :FeedObject;
  againstEra @1 :UInt64;
  againstRevision @2 :UInt64;
  # Without a limit, the remaining time is not used.
  hasLimit @3 :Bool;
  remainingMs @4 :UInt32;
}

struct FeedDelta {
  whole @0 :Bool;
  completeTo @1 :UInt64;
  ageMs @2 :UInt32;
  objects @3 :List(FeedObject);
  completeToEra @4 :UInt64;
  retained @5 :List(RetainedObject);
  eraAgeMs @6 :UInt32;
}

struct FeedAnswer {
  deltas @0 :List(FeedDelta);
}
