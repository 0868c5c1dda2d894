// The messages between an upstream's owner and its gate: work that asks to be
// sent, and what became of work that was sent.
#pragma once

#include <cstdint>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// One piece of work at one gate. The caller of the gate picks it, and never
// uses it twice at one gate.
using WorkId = uint64_t;

// Which work of one caller goes first when deadlines do not decide.
enum class WorkPriority
{
  // A person waits: first attempts and filings.
  kInteractive,
  // Hedges and retries.
  kSecondary,
  // Nobody waits.
  kBackground,
};

// A sub-query or a filing that asks for a slot of one upstream.
struct WorkItem
{
  WorkId m_id = 0;
  // The work is useless afterwards. The upstream is told this deadline.
  TimePoint m_deadline;
  WorkPriority m_priority = WorkPriority::kInteractive;
  CallerName m_caller;
  // Relative to an ordinary sub-query, which costs 1. Above 0.
  double m_cost = 1;
};

// How one dispatched piece of work ended, as the HTTP client saw it.
enum class UpstreamResultKind
{
  // A whole, well-formed answer to this request.
  kOk,
  // The upstream refused the work before running it (HTTP 503).
  kShed,
  // The upstream does not hold the index version that was asked for.
  kVersionNotHeld,
  // The upstream refused the work because it is leaving.
  kDraining,
  // The upstream acknowledged that it has stopped the work.
  kCancelled,
  // The connection broke after bytes may have left. The upstream may still
  // be working.
  kReset,
  // No answer in time. The upstream may still be working.
  kTimeout,
  // Malformed, truncated, oversized or not this request's answer. The
  // upstream may still be working.
  kBadAnswer,
  // No connection came about, so that no byte left.
  kConnectFailed,
};

// What became of the connection that carried the work.
enum class ConnectionDisposition
{
  // Open and idle; it will be used again.
  kKept,
  // Closed at both ends, or never opened.
  kClosed,
  // Abandoned but not known to be closed. It stays counted until
  // `UpstreamDispatcher::OnConnectionsClosed`.
  kLingering,
};

// The end of one dispatched piece of work.
struct UpstreamResult
{
  UpstreamResultKind m_kind = UpstreamResultKind::kTimeout;
  // 0 when the answer named none.
  BootId m_bootId = 0;
  // The answer says that the upstream is leaving.
  bool m_draining = false;
  // How long the upstream asks not to be used; 0 when it asks nothing.
  Duration m_retryAfter{ 0 };
  ConnectionDisposition m_connection = ConnectionDisposition::kKept;
};

} // namespace ebonykeel
