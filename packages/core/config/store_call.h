// The calls to the platform's store that the configuration tracker makes, as
// actions, and their replies, as events.
#pragma once

#include <cstdint>
#include <string>

namespace ebonykeel {

// Identifies a call, so that its reply can be matched to it. An instance never
// reuses a token.
using StoreToken = uint64_t;

// The version of an object in the store; 0 means that the object does not
// exist.
using StoreVersion = uint64_t;

enum class StoreStatus
{
  // The object was read or written.
  kOk,
  // The object does not exist.
  kNotFound,
  // The watch ended without a change to the object.
  kUnchanged,
  // The object did not have the expected version; nothing was written.
  kConflict,
  // The store refused the call; it has had no effect and will have none.
  kRefused,
  // There was no reply or an unreadable one. A write may have taken effect or
  // may still do so.
  kFailed,
};

// The reply to the call `m_token`. The reply to a read or a watch carries the
// object's version and body, the reply to a write the new version.
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

// Waits until the object's version differs from `m_version`, then reads the
// object.
struct WatchStore
{
  StoreToken m_token = 0;
  std::string m_key;
  StoreVersion m_version = 0;
};

// Writes the object `m_key` if its version is `m_ifVersion`.
struct WriteStore
{
  StoreToken m_token = 0;
  std::string m_key;
  std::string m_body;
  StoreVersion m_ifVersion = 0;
};

} // namespace ebonykeel
