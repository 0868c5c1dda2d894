// The properties of a request that admission decides on, known before the
// request starts.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// The importance of a request, the most important first.
enum class Priority
{
  // A filing: it must run at most once, and a user waits for it.
  kFiling,
  // A user waits for it.
  kInteractive,
  // No user waits for it.
  kBatch,
};

inline constexpr size_t kPriorityCount = 3;

// A request that is offered to admission.
struct AdmissionTicket
{
  // Unique among the requests that are queued or running at this instance.
  uint64_t m_id = 0;
  CallerName m_caller;
  // The group whose services the request uses.
  GroupName m_group;
  Priority m_priority = Priority::kInteractive;
  // The number of shards that the request uses, at least 1.
  uint32_t m_cost = 1;
  // The time by which the caller needs the answer.
  TimePoint m_deadline;
};

} // namespace ebonykeel
