@0xb8c41de07a5f9263;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ebonykeel::wire");

# The messages by which instances divide the quotas of workspaces.

struct QuotaRequestEntry {
  workspace @0 :UInt64;
  wanted @1 :UInt32;
  returned @2 :UInt32;
}

struct QuotaRequest {
  group @0 :UInt8;
  processStart @1 :UInt64;
  sequence @2 :UInt64;
  entries @3 :List(QuotaRequestEntry);
}

struct QuotaGrantEntry {
  workspace @0 :UInt64;
  granted @1 :UInt32;
  availableInUs @2 :UInt32;
}

struct QuotaGrant {
  processStart @0 :UInt64;
  sequence @1 :UInt64;
  isGranter @2 :Bool;
  entries @3 :List(QuotaGrantEntry);
}

struct QuotaVoteRequest {
  processStart @0 :UInt64;
  sequence @1 :UInt64;
  groups @2 :UInt8;
}

struct QuotaVote {
  processStart @0 :UInt64;
  sequence @1 :UInt64;
  groups @2 :UInt8;
  knownInstances @3 :UInt32;
}

struct QuotaMessage {
  union {
    request @0 :QuotaRequest;
    grant @1 :QuotaGrant;
    voteRequest @2 :QuotaVoteRequest;
    vote @3 :QuotaVote;
  }
}
