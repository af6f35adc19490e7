#ifndef ALMONDGATE_CONSENSUS_VOTE_HPP
#define ALMONDGATE_CONSENSUS_VOTE_HPP

#include "almondgate/consensus/membership.hpp"

#include <cstdint>

namespace almondgate::consensus {

/// The current term, and the member voted for in it; empty if none.
struct Vote {
  uint64_t Term = 0;
  MemberId For;

  bool operator==(const Vote &) const = default;
};

} // namespace almondgate::consensus

#endif
