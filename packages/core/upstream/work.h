// The messages between the owner of an upstream and its `UpstreamDispatcher`:
// work to dispatch, and the results of dispatched work.
#pragma once

#include <cstdint>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// Identifies a piece of work at one dispatcher. Chosen by the user of the
// dispatcher, which must not reuse it there.
using WorkId = uint64_t;

// The higher priority is served first, as far as the equal shares of callers
// allow; deadlines decide within a priority. The first value is the highest.
enum class WorkPriority
{
  // Work that a user waits for: first attempts and filings.
  kInteractive,
  // Hedges and retries.
  kSecondary,
  // Work that no user waits for.
  kBackground,
};

// A sub-query or a filing that needs a slot of one upstream.
struct WorkItem
{
  WorkId m_id = 0;
  // The result is useless after this time. The upstream gets this deadline with
  // the work.
  TimePoint m_deadline;
  WorkPriority m_priority = WorkPriority::kInteractive;
  CallerName m_caller;
  // The cost relative to an ordinary sub-query, which costs 1. Above 0.
  double m_cost = 1;
};

// The outcome of one dispatched piece of work, as the HTTP client saw it.
enum class UpstreamResultKind
{
  // A complete, well-formed answer to this request.
  kOk,
  // The upstream refused the work before running it (HTTP 503).
  kShed,
  // The upstream does not hold the index version that was asked for.
  kVersionNotHeld,
  // The upstream refused the work because it is draining.
  kDraining,
  // The upstream acknowledged that it has stopped the work.
  kCancelled,
  // The connection broke after bytes may have been sent. The upstream may still
  // be working.
  kReset,
  // No answer arrived in time. The upstream may still be working.
  kTimeout,
  // The answer was malformed, truncated, oversized or that of another request.
  // The upstream may still be working.
  kBadAnswer,
  // No connection could be opened, so no byte was sent.
  kConnectFailed,
};

// The state of a connection after the work that it carried.
enum class ConnectionDisposition
{
  // Open and idle; it is reused.
  kKept,
  // Closed at both ends, or never opened.
  kClosed,
  // Abandoned, but not known to be closed. It counts as open until
  // `UpstreamDispatcher::OnConnectionsClosed`.
  kLingering,
};

// The result of one dispatched piece of work.
struct UpstreamResult
{
  UpstreamResultKind m_kind = UpstreamResultKind::kTimeout;
  // 0 if the answer contained none.
  BootId m_bootId = 0;
  // The answer says that the upstream is draining.
  bool m_draining = false;
  // The time for which the upstream asks not to be sent work; 0 if it does not
  // ask.
  Duration m_retryAfter{ 0 };
  ConnectionDisposition m_connection = ConnectionDisposition::kKept;
};

} // namespace ebonykeel
