#include "core/config/address.h"

#include <array>

#include <doctest/doctest.h>

namespace ebonykeel {
namespace {

DOCTEST_TEST_CASE("IP addresses with ports are parsed and formatted")
{
  for (std::string_view text : std::array<std::string_view, 3>{
         "127.0.0.1:0", "10.0.0.7:65535", "[::1]:80" }) {
    DOCTEST_CAPTURE(text);
    std::optional<Address> address = ParseAddress(text);
    DOCTEST_REQUIRE(address.has_value());
    DOCTEST_CHECK(FormatAddress(*address) == text);
  }
}

DOCTEST_TEST_CASE("host names and malformed addresses are rejected")
{
  using std::string_view_literals::operator""sv;
  for (std::string_view text : { "localhost:80"sv,
                                 "10.0.0.1"sv,
                                 "10.0.0.1:"sv,
                                 "10.0.0.1:65536"sv,
                                 "10.0.0.1:-1"sv,
                                 "10.0.0.1: 80"sv,
                                 "10.0.0.256:80"sv,
                                 "::1:80"sv,
                                 "[::1]80"sv,
                                 "[]:80"sv,
                                 "10.0.0.1\0x:80"sv,
                                 ""sv }) {
    DOCTEST_CAPTURE(text);
    DOCTEST_CHECK(!ParseAddress(text));
  }
}

} // namespace
} // namespace ebonykeel
