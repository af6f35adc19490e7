#ifndef ALMONDGATE_STATE_RECORDED_CHANGE_HPP
#define ALMONDGATE_STATE_RECORDED_CHANGE_HPP

#include "almondgate/state/change_result.hpp"

#include <string>

namespace almondgate::state {

/// The first result for an operator's change number, returned again when the
/// change is resent.
struct RecordedChange {
  /// SHA-256 of the change's content.
  std::string Digest;
  ChangeResult Result;

  bool operator==(const RecordedChange &) const = default;
};

} // namespace almondgate::state

#endif
