// Digests of callers' keys, which stand for the keys wherever they are
// compared, stored or exchanged.
//
//   std::string digest = DigestKey(key);
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ebonykeel {

inline constexpr size_t kKeyDigestBytes = 32;

// Returns the SHA-256 digest of a key: `kKeyDigestBytes` bytes.
[[nodiscard]] std::string
DigestKey(std::string_view aKey);

} // namespace ebonykeel
