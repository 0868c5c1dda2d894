// A TCP endpoint written as an IP number and a port, such as "127.0.0.1:9001"
// or "[::1]:9001".
//
//   std::optional<Address> address = ParseAddress("10.0.0.7:9001");
//   std::string text = FormatAddress(*address);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonykeel {

// An IP number in its usual text form, without brackets, and a port. Port 0
// stands for "any free port" where a server listens.
struct Address
{
  std::string m_host;
  uint16_t m_port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

// Parses `aText`, an IPv4 number or a bracketed IPv6 number, a colon and a
// port. Returns nothing for host names and malformed text.
[[nodiscard]] std::optional<Address>
ParseAddress(std::string_view aText);

// Returns whether `aText` is an IPv4 number or an IPv6 number without brackets.
[[nodiscard]] bool
IsIpNumber(std::string_view aText);

// Returns the text that `ParseAddress` reads back.
[[nodiscard]] std::string
FormatAddress(const Address& aAddress);

} // namespace ebonykeel
