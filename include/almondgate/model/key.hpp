#ifndef ALMONDGATE_MODEL_KEY_HPP
#define ALMONDGATE_MODEL_KEY_HPP

#include "almondgate/core/id.hpp"

#include <string>

namespace almondgate::model {

/// A key that a team's callers show; only its hash is known here.
struct Key {
  core::KeyHash Hash;
  core::TeamId Team;
  std::string Note;

  bool operator==(const Key &) const = default;
};

} // namespace almondgate::model

#endif
