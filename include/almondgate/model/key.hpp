#ifndef ALMONDGATE_MODEL_KEY_HPP
#define ALMONDGATE_MODEL_KEY_HPP

#include "almondgate/core/id.hpp"

#include <string>

namespace almondgate::model {

/// A key with which a team's callers authenticate; only its hash is stored.
struct Key {
  core::KeyHash Hash;
  core::TeamId Team;
  std::string Note;

  bool operator==(const Key &) const = default;
};

} // namespace almondgate::model

#endif
