#include "runtime/crypto/key_digest.h"

#include <array>

#include <openssl/sha.h>

namespace ebonykeel {

static_assert(kKeyDigestBytes == SHA256_DIGEST_LENGTH);

std::string
DigestKey(std::string_view aKey)
{
  std::array<unsigned char, kKeyDigestBytes> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  return { digest.begin(), digest.end() };
}

} // namespace ebonykeel
