// The platform's object store and instance list, as the system sees them.
//
//   store.Read("config/current").then([](StoreRead read) { ... });
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async.h>

#include "core/base/time.h"
#include "core/membership/records.h"

namespace ebonykeel {

enum class StoreReadOutcome
{
  kFound,
  kNotFound,
  // A watch ended without a change.
  kUnchanged,
  // No answer, or one that cannot be understood.
  kFailed,
};

struct StoreRead
{
  StoreReadOutcome m_outcome = StoreReadOutcome::kFailed;
  uint64_t m_version = 0;
  std::string m_value;
};

enum class StoreWriteOutcome
{
  kWritten,
  // The object has another version; nothing was written.
  kConflict,
  // Certainly not written: the request never left, or the store refused it.
  kRefused,
  // The write may or may not have happened.
  kUnknown,
};

struct StoreWrite
{
  StoreWriteOutcome m_outcome = StoreWriteOutcome::kUnknown;
  // The new version when written.
  uint64_t m_version = 0;
};

struct InstanceList
{
  bool m_known = false;
  std::vector<ListedInstance> m_instances;
};

// Calls to the platform. Every call ends within the bound that the
// implementation was given; the promises do not fail.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;
  virtual kj::Promise<StoreRead> Read(std::string_view aKey) = 0;
  // Resolves when the object's version is no longer `aVersion` (0: absent), or
  // with `kUnchanged` after `aWait`.
  virtual kj::Promise<StoreRead> Watch(std::string_view aKey,
                                       uint64_t aVersion,
                                       Duration aWait) = 0;
  // Writes if the object still has version `aIfVersion`; 0 means that it must
  // not exist.
  virtual kj::Promise<StoreWrite> Write(std::string_view aKey,
                                        uint64_t aIfVersion,
                                        std::string_view aValue) = 0;
  virtual kj::Promise<InstanceList> ListInstances() = 0;
};

// Calls since the start, by kind.
struct StoreCounters
{
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
  uint64_t m_watches = 0;
  uint64_t m_lists = 0;
  uint64_t m_failed = 0;
};

} // namespace ebonykeel
