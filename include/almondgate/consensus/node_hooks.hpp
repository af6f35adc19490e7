#ifndef ALMONDGATE_CONSENSUS_NODE_HOOKS_HPP
#define ALMONDGATE_CONSENSUS_NODE_HOOKS_HPP

#include "almondgate/consensus/membership.hpp"
#include "almondgate/core/time_ms.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace almondgate::consensus {

/// Clock, randomness and codec of a Node.
struct NodeHooks {
  core::Clock Now;
  /// Returns a random number from 0 to `limit` - 1.
  std::function<int64_t(int64_t limit)> Random;
  std::function<std::string(const Membership &)> EncodeMembership;
  std::function<Membership(const std::string &)> DecodeMembership;
};

} // namespace almondgate::consensus

#endif
