// The calls of the platform's store that the configuration needs, as typed
// actions and events.
#pragma once

#include <cstdint>
#include <string>

namespace ebonykeel {

// Tells a reply which call it answers. Never used twice by one instance.
using StoreToken = uint64_t;

// The version of an object in the store; 0 stands for "absent".
using StoreVersion = uint64_t;

enum class StoreStatus
{
  // The object was read or written.
  kOk,
  // There is no such object.
  kNotFound,
  // A watch ended without a change.
  kUnchanged,
  // The condition of a write did not hold; nothing was written.
  kConflict,
  // The call certainly had no effect.
  kRefused,
  // No reply, or none that can be understood. A write may have taken effect
  // or may yet do so.
  kFailed,
};

// The reply to the call `m_token`. A read carries version and body, a write
// the new version.
struct StoreCallReply
{
  StoreToken m_token = 0;
  StoreStatus m_status = StoreStatus::kFailed;
  StoreVersion m_version = 0;
  std::string m_body;
};

// Reads the object `m_key`.
struct ReadStore
{
  StoreToken m_token = 0;
  std::string m_key;
};

// Waits until the object's version is no longer `m_version`, and reads it.
struct WatchStore
{
  StoreToken m_token = 0;
  std::string m_key;
  StoreVersion m_version = 0;
};

// Writes the object if it still has `m_ifVersion`.
struct WriteStore
{
  StoreToken m_token = 0;
  std::string m_key;
  std::string m_body;
  StoreVersion m_ifVersion = 0;
};

} // namespace ebonykeel
