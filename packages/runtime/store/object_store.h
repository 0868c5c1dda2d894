// The interface to the platform's object store and instance list.
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
  // There was no valid answer.
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
  // Not written: the request was not sent, or the store refused it.
  kRefused,
  // The write may or may not have happened.
  kUnknown,
};

struct StoreWrite
{
  StoreWriteOutcome m_outcome = StoreWriteOutcome::kUnknown;
  // The new version; valid only for `kWritten`.
  uint64_t m_version = 0;
};

struct InstanceList
{
  // Whether the list was read.
  bool m_known = false;
  std::vector<ListedInstance> m_instances;
};

// Calls the platform. Each call ends within the timeout of the implementation;
// the promises do not fail.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;
  virtual kj::Promise<StoreRead> Read(std::string_view aKey) = 0;
  // Resolves when the object's version is no longer `aVersion` (0 means that
  // the object does not exist), or with `kUnchanged` after `aWait`.
  virtual kj::Promise<StoreRead> Watch(std::string_view aKey,
                                       uint64_t aVersion,
                                       Duration aWait) = 0;
  // Writes only if the object still has version `aIfVersion`; 0 means that it
  // must not exist.
  virtual kj::Promise<StoreWrite> Write(std::string_view aKey,
                                        uint64_t aIfVersion,
                                        std::string_view aValue) = 0;
  virtual kj::Promise<InstanceList> ListInstances() = 0;
};

// Numbers of calls since the start, by kind.
struct StoreCounters
{
  uint64_t m_reads = 0;
  uint64_t m_writes = 0;
  uint64_t m_watches = 0;
  uint64_t m_lists = 0;
  uint64_t m_failed = 0;
};

} // namespace ebonykeel
