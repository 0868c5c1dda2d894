#include "runtime/crypto/key_digest.h"

#include <doctest/doctest.h>

#include "absl/strings/escaping.h"

namespace ebonykeel {
namespace {

std::string
HexDigest(std::string_view aKey)
{
  return absl::BytesToHexString(DigestKey(aKey));
}

// Guards against digests that differ from those of other programs: the test
// vectors of FIPS 180-2.
DOCTEST_TEST_CASE("a digest is the SHA-256 of the key")
{
  DOCTEST_CHECK(
    HexDigest("abc") ==
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  DOCTEST_CHECK(
    HexDigest("") ==
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  DOCTEST_CHECK(
    HexDigest(std::string(1000000, 'a')) ==
    "cdc76e5c9914fb9281a1c7e284d73e67f1809a48a497200e046d39ccc7112cd0");
}

// Guards against keys that are cut off at a zero byte or at a fixed length.
DOCTEST_TEST_CASE("every byte of a key counts")
{
  using std::string_literals::operator""s;
  DOCTEST_CHECK(DigestKey("a\0b"s) != DigestKey("a\0c"s));
  std::string key(4096, 'k');
  std::string other = key;
  other.back() = 'l';
  DOCTEST_CHECK(DigestKey(key) != DigestKey(other));
  DOCTEST_CHECK(DigestKey(key).size() == kKeyDigestBytes);
}

} // namespace
} // namespace ebonykeel
