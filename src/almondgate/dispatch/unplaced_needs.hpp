#ifndef ALMONDGATE_SRC_DISPATCH_UNPLACED_NEEDS_HPP
#define ALMONDGATE_SRC_DISPATCH_UNPLACED_NEEDS_HPP

#include "almondgate/core/size.hpp"

#include <algorithm>
#include <vector>

namespace almondgate::dispatch {

/// Sizes of tasks that fit on no endpoint of a pool. A task finds no room
/// either if it needs at least as much of each resource as one of them.
class UnplacedNeeds {
public:
  /// A task of this size can't fit.
  bool covers(const core::Size &need) const {
    return std::any_of(
        Needs.begin(), Needs.end(),
        [&](const core::Size &other) { return core::fits(other, need); });
  }

  /// Records a size that fits nowhere.
  void add(const core::Size &need) {
    if (covers(need))
      return;
    std::erase_if(Needs, [&](const core::Size &other) {
      return core::fits(need, other);
    });
    if (Needs.size() < MaxNeeds)
      Needs.push_back(need);
  }

private:
  // What is not recorded costs a search only.
  static constexpr size_t MaxNeeds = 32;

  /// None of them covers another one.
  std::vector<core::Size> Needs;
};

} // namespace almondgate::dispatch

#endif
