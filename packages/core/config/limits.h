// Limits on the values in a service file and in the stored configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ebonykeel {

// Maximum size of an encoded configuration: the size limit of one object in the
// platform's store.
inline constexpr size_t kMaxConfigurationBytes = 1'000'000;

// Maximum length of the names of services, groups, shards, upstreams, data
// centres and operations.
inline constexpr size_t kMaxNameBytes = 128;
inline constexpr std::string_view kNameRule =
  "1 to 128 letters, digits, '.', '_' or '-', not starting with '.'";

inline constexpr int64_t kMaxSlots = 1024;
inline constexpr int64_t kMaxConnections = 65535;
inline constexpr int64_t kMaxConnectTimeMs = 10'000;
inline constexpr int64_t kMaxDeadlineMs = 60'000;
inline constexpr int64_t kMaxWindowHours = int64_t{ 24 } * 90;
inline constexpr size_t kMaxShards = 4096;
inline constexpr size_t kMaxReplicas = 64;
inline constexpr size_t kMaxOperations = 64;

// Maximum number of changes that a configuration lists; the oldest are dropped.
inline constexpr size_t kMaxHistory = 64;
// Maximum length of an author, a change id or a summary.
inline constexpr size_t kMaxMetadataBytes = 256;

// Returns whether `aText` is a valid name according to `kNameRule`.
[[nodiscard]] constexpr bool
IsName(std::string_view aText)
{
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789._-";
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         aText.front() != '.' &&
         aText.find_first_not_of(kAllowed) == std::string_view::npos;
}

} // namespace ebonykeel
