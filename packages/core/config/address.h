// Parses and formats TCP endpoints given as an IP address and a port, such as
// "127.0.0.1:9001" or "[::1]:9001".
//
//   std::optional<Address> address = ParseAddress("10.0.0.7:9001");
//   std::string text = FormatAddress(*address);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ebonykeel {

// An IP address in canonical text form, without brackets, and a port. A server
// that listens on port 0 uses any free port.
struct Address
{
  std::string m_host;
  uint16_t m_port = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
};

// Parses `aText`, which is an IPv4 address or a bracketed IPv6 address,
// followed by a colon and a port. Returns nullopt for host names and malformed
// text.
[[nodiscard]] std::optional<Address>
ParseAddress(std::string_view aText);

// Returns whether `aText` is an IPv4 address, or an IPv6 address without
// brackets.
[[nodiscard]] bool
IsIpAddress(std::string_view aText);

// Formats `aAddress` so that `ParseAddress` can parse it.
[[nodiscard]] std::string
FormatAddress(const Address& aAddress);

} // namespace ebonykeel
