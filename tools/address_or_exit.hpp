#ifndef ALMONDGATE_TOOLS_ADDRESS_OR_EXIT_HPP
#define ALMONDGATE_TOOLS_ADDRESS_OR_EXIT_HPP

#include "almondgate/core/address.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace almondgate::tools {

/// The address that a stand-in's flag gives; ends the program for a bad one.
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
