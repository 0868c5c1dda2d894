@0xbd1d7a4dc2a8e0f1;
# The protocol between instances of ebonykeel. Times are sent as durations in
# microseconds, since the monotonic clocks of two instances are unrelated.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ebonykeel::wire");

struct InstanceRef {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct InstanceRecord {
  id @0 :Text;
  incarnation @1 :UInt64;
  publicAddress @2 :Text;
  adminAddress @3 :Text;
  peerAddress @4 :Text;
  dataCentre @5 :Text;
  region @6 :Text;
  state @7 :UInt8;
  sequence @8 :UInt64;
  monitorEpoch @9 :UInt32;
  changingMonitors @10 :Bool;
  monitors @11 :List(InstanceRef);
  previousMonitors @12 :List(InstanceRef);
  statusSequence @13 :UInt64;
  generation @14 :UInt64;
  load @15 :Float32;
}

struct Suspicion {
  monitor @0 :InstanceRef;
  target @1 :InstanceRef;
  fromEpoch @2 :UInt32;
  toEpoch @3 :UInt32;
}

struct StatusUpdate {
  instance @0 :InstanceRef;
  statusSequence @1 :UInt64;
  generation @2 :UInt64;
  load @3 :Float32;
}

struct Gossip {
  sender @0 :InstanceRef;
  senderSequence @1 :UInt64;
  senderState @2 :UInt8;
  statusSequence @3 :UInt64;
  generation @4 :UInt64;
  load @5 :Float32;
  digest @6 :UInt64;
  partDigests @7 :List(UInt64);
  records @8 :List(InstanceRecord);
  suspicions @9 :List(Suspicion);
  statuses @10 :List(StatusUpdate);
  ackedIncarnation @11 :UInt64;
  knownSequence @12 :UInt64;
  knownEpoch @13 :UInt32;
  suspectedEpoch @14 :UInt32;
}

struct SubQuery {
  id @0 :Text;
  service @1 :Text;
  shard @2 :Text;
  upstream @3 :Text;
  indexVersion @4 :UInt64;
  hedge @5 :Bool;
  attempt @6 :UInt8;
}

# The sub-queries of one query for upstreams with the same owner.
struct SearchRequest {
  caller @0 :Text;
  text @1 :Text;
  limit @2 :UInt32;
  remaining @3 :UInt64;
  generation @4 :UInt64;
  subQueries @5 :List(SubQuery);
}

struct Hit {
  document @0 :Text;
  score @1 :Float64;
  text @2 :Text;
}

struct SubAnswer {
  id @0 :Text;
  upstream @1 :Text;
  shard @2 :Text;
  indexVersion @3 :UInt64;
  reason @4 :UInt8;
  whole @5 :Bool;
  cold @6 :Bool;
  heldVersions @7 :List(UInt64);
  hits @8 :List(Hit);
}

# Receives the answers to a search as they become available.
interface AnswerSink {
  deliver @0 (answers :List(SubAnswer)) -> ();
}

struct FilingRequest {
  service @0 :Text;
  operation @1 :Text;
  caller @2 :Text;
  requestId @3 :Text;
  payload @4 :Text;
  shard @5 :Text;
  upstream @6 :Text;
  remaining @7 :UInt64;
}

struct FilingReply {
  outcome @0 :UInt8;
  reason @1 :UInt8;
  result @2 :Text;
}

struct AcquireRequest {
  struct Item {
    upstream @0 :Text;
    attempt @1 :UInt64;
    epoch @2 :UInt64;
    heldEpoch @3 :UInt64;
  }
  requester @0 :InstanceRef;
  requesterPeerAddress @1 :Text;
  viewVersion @2 :UInt64;
  generation @3 :UInt64;
  items @4 :List(Item);
}

struct AcquireReply {
  struct OtherAsker {
    instance @0 :InstanceRef;
    peerAddress @1 :Text;
    age @2 :UInt64;
  }
  struct Item {
    upstream @0 :Text;
    attempt @1 :UInt64;
    outcome @2 :UInt8;
    epoch @3 :UInt64;
    inFlight @4 :UInt32;
    remaining @5 :UInt64;
    others @6 :List(OtherAsker);
    bootId @7 :UInt64;
    limit @8 :UInt32;
    expectedLatency @9 :UInt64;
  }
  responder @0 :InstanceRef;
  requesterIncarnation @1 :UInt64;
  viewVersion @2 :UInt64;
  items @3 :List(Item);
}

struct HandOverNotice {
  sender @0 :InstanceRef;
  senderPeerAddress @1 :Text;
  upstreams @2 :List(Text);
}

interface Peer {
  ping @0 (gossip :Gossip) -> (gossip :Gossip);
  search @1 (request :SearchRequest, sink :AnswerSink) -> ();
  cancel @2 (ids :List(Text)) -> ();
  file @3 (request :FilingRequest) -> (reply :FilingReply);
  # Returns the configuration in force at the peer if its generation is above
  # `have`, otherwise an empty body.
  configuration @4 (have :UInt64) -> (generation :UInt64, body :Text);
  # Announces that `generation` is in force at `instance`, from which it can be
  # fetched.
  offer @5 (generation :UInt64, instance :Text) -> ();
  # Requests that upstreams be released to the requester.
  acquire @6 (request :AcquireRequest) -> (reply :AcquireReply);
  # Notifies the next owner that it can request the upstreams now.
  handOver @7 (notice :HandOverNotice) -> ();
  # Returns the service-level burn counted at the peer, as JSON.
  burnReport @8 () -> (report :Text);
  # Does nothing; an answer shows that the connection works.
  probe @9 () -> ();
}
