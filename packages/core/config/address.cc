#include "core/config/address.h"

#include <arpa/inet.h>
#include <array>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace ebonykeel {
namespace {

// Returns the canonical text of the IP address `aText`, or nullopt if it is not
// a valid address of the family `aFamily`.
std::optional<std::string>
CanonicalIp(std::string_view aText, int aFamily)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(aFamily, std::string(aText).c_str(), bytes.data()) != 1) {
    return std::nullopt;
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (!inet_ntop(aFamily, bytes.data(), text.data(), text.size())) {
    return std::nullopt;
  }
  return std::string(text.data());
}

std::optional<uint16_t>
ParsePort(std::string_view aText)
{
  constexpr uint32_t kMaxPort = 65535;
  bool digits = !aText.empty() &&
                aText.find_first_not_of("0123456789") == std::string_view::npos;
  uint32_t port = 0;
  if (!digits ||
      !absl::SimpleAtoi(absl::string_view(aText.data(), aText.size()), &port) ||
      port > kMaxPort) {
    return std::nullopt;
  }
  return static_cast<uint16_t>(port);
}

bool
HasNul(std::string_view aText)
{
  return aText.find('\0') != std::string_view::npos;
}

} // namespace

std::optional<Address>
ParseAddress(std::string_view aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || HasNul(aText)) {
    return std::nullopt;
  }
  std::optional<uint16_t> port = ParsePort(aText.substr(colon + 1));
  std::string_view host = aText.substr(0, colon);
  bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  std::optional<std::string> ip =
    bracketed ? CanonicalIp(host.substr(1, host.size() - 2), AF_INET6)
              : CanonicalIp(host, AF_INET);
  if (!port || !ip) {
    return std::nullopt;
  }
  return Address{ *ip, *port };
}

bool
IsIpAddress(std::string_view aText)
{
  return !HasNul(aText) &&
         (CanonicalIp(aText, AF_INET) || CanonicalIp(aText, AF_INET6));
}

std::string
FormatAddress(const Address& aAddress)
{
  bool v6 = aAddress.m_host.find(':') != std::string::npos;
  return v6 ? absl::StrCat("[", aAddress.m_host, "]:", aAddress.m_port)
            : absl::StrCat(aAddress.m_host, ":", aAddress.m_port);
}

} // namespace ebonykeel
