#ifndef ALMONDGATE_CONSENSUS_VOTE_HPP
#define ALMONDGATE_CONSENSUS_VOTE_HPP

#include "almondgate/consensus/membership.hpp"

#include <cstdint>

namespace almondgate::consensus {

/// The current term and whom the member voted for in it.
struct Vote {
  uint64_t Term = 0;
  MemberId For;

  bool operator==(const Vote &) const = default;
};

} // namespace almondgate::consensus

#endif
