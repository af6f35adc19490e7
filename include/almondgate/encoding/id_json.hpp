#ifndef ALMONDGATE_ENCODING_ID_JSON_HPP
#define ALMONDGATE_ENCODING_ID_JSON_HPP

#include "almondgate/core/id.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace almondgate::core {

/// Converts an id to a JSON string.
template <class Tag> void to_json(nlohmann::json &j, const Id<Tag> &id) {
  j = id.str();
}

template <class Tag> void from_json(const nlohmann::json &j, Id<Tag> &id) {
  id = Id<Tag>(j.get<std::string>());
}

} // namespace almondgate::core

#endif
