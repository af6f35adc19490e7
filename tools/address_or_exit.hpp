#ifndef ALMONDGATE_TOOLS_ADDRESS_OR_EXIT_HPP
#define ALMONDGATE_TOOLS_ADDRESS_OR_EXIT_HPP

#include "almondgate/core/address.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace almondgate::tools {

/// Parses the address given by a flag of a fake program. For an invalid address
/// prints the error and exits with status 2.
inline core::Address addressOrExit(const std::string &text) {
  const auto address = core::parseAddress(text);
  if (!address) {
    std::fprintf(stderr, "%s\n", address.error().Text.c_str());
    std::exit(2);
  }
  return address.value();
}

} // namespace almondgate::tools

#endif
