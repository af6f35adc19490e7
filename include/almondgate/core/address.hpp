#ifndef ALMONDGATE_CORE_ADDRESS_HPP
#define ALMONDGATE_CORE_ADDRESS_HPP

#include "almondgate/core/result.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace almondgate::core {

/// An IPv4 or IPv6 address and a TCP port.
struct Address {
  std::string Ip;
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
};

/// Formats an address as "10.0.0.7:8080" or "[::1]:8080".
std::string toString(const Address &address);

/// Parses the format of toString(). Errors: InvalidArgument.
Result<Address> parseAddress(const std::string &text);

} // namespace almondgate::core

#endif
