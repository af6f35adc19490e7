#ifndef ALMONDGATE_MODEL_UPDATE_HPP
#define ALMONDGATE_MODEL_UPDATE_HPP

#include "almondgate/model/record.hpp"

#include <cstdint>

namespace almondgate::model {

/// One record put or removed at a revision.
struct Update {
  uint64_t Revision = 0;
  /// True when the record with this key is removed.
  bool Removed = false;
  Record Content;

  bool operator==(const Update &) const = default;
};

} // namespace almondgate::model

#endif
