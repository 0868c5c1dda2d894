// Tracks which upstreams rejected a request and asked this instance for no more
// requests for a while, as HTTP servers do with `Retry-After`.
//
// The load that it answers: an upstream is full, and each request that it has
// to reject costs it more. Until the delay is over it gets nothing. All
// instances that it rejected would then come back at the same instant, so each
// adds a part of the delay that differs between instances; and each sends one
// request at a time until the first one is answered.
//
//   ReplicaPushback pushback({ .m_seed = StableHash(host) });
//   pushback.OnRejected(replica, Seconds(2), now);
//   pushback.Until(replica, now);  // between 2 and 2.5 s from now
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/replica/replica.h"

namespace ebonykeel {

struct ReplicaPushbackOptions
{
  // Differs between instances.
  uint64_t m_seed = 0;
  // Longer delays are cut to this one: a faulty upstream must not set itself
  // aside for good.
  Duration m_maxDelay = Seconds(60);
  // An instance adds up to this share of the delay, and at most
  // `m_maxSpread`.
  double m_spreadShare = 0.25;
  Duration m_maxSpread = Seconds(1);
};

// The states belong to one start of an upstream: a new start with the same ID
// has none.
class ReplicaPushback
{
public:
  explicit ReplicaPushback(ReplicaPushbackOptions aOptions);

  // Called when the upstream rejected a request and asked for no more requests
  // for `aDelay`; a delay of zero or less changes nothing. A shorter delay does
  // not end an earlier one. Returns true if the upstream was not pushing back
  // before.
  bool OnRejected(const Replica& aReplica, Duration aDelay, TimePoint aNow);
  // Called when the upstream answered a request with success.
  void OnAnswered(const Replica& aReplica, TimePoint aNow);
  // Called when a registration is known; ends the pushback of an earlier start
  // with the same ID. Returns whether there was one.
  bool OnRegistered(const Replica& aReplica);

  // Returns until when the upstream gets no requests; nothing if it may get
  // some.
  [[nodiscard]] std::optional<TimePoint> Until(const Replica& aReplica,
                                               TimePoint aNow) const;
  // Returns whether the delay is over, but no request was answered since. Such
  // an upstream gets one request at a time.
  [[nodiscard]] bool IsResuming(const Replica& aReplica, TimePoint aNow) const;
  // Returns the IDs of the upstreams whose delay ended since the last call.
  [[nodiscard]] std::vector<std::string> TakeEnded(TimePoint aNow);
  // Returns the number of upstreams that push back.
  [[nodiscard]] size_t Count(TimePoint aNow) const;

private:
  struct State
  {
    uint64_t m_startUnixMs = 0;
    TimePoint m_until;
    // Whether `TakeEnded` has returned it.
    bool m_endTaken = false;
  };

  [[nodiscard]] const State* Find(const Replica& aReplica) const;
  // Returns what this instance adds to a delay.
  [[nodiscard]] Duration Spread(const Replica& aReplica, Duration aDelay) const;

  ReplicaPushbackOptions m_options;
  std::unordered_map<std::string, State> m_states;
};

} // namespace ebonykeel
