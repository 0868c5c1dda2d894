// What admission has to know of a request before the request starts.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace ebonykeel {

// How much it matters that a request is served; the first matters most.
enum class Priority
{
  // May be sent only once, and a person waits for it.
  kFiling,
  // A person waits for it.
  kInteractive,
  // Nobody waits for it.
  kBatch,
};

inline constexpr size_t kPriorityCount = 3;

// One request that asks to be run.
struct AdmissionTicket
{
  // Unique among the requests that are queued or running here.
  uint64_t m_id = 0;
  CallerName m_caller;
  // The team whose services are asked.
  GroupName m_group;
  Priority m_priority = Priority::kInteractive;
  // The work it stands for: the number of shards it touches, at least 1.
  uint32_t m_cost = 1;
  // When the caller must have the answer.
  TimePoint m_deadline;
};

} // namespace ebonykeel
