#ifndef ALMONDGATE_ENCODING_VALUE_JSON_HPP
#define ALMONDGATE_ENCODING_VALUE_JSON_HPP

#include "almondgate/core/value.hpp"

#include <nlohmann/json.hpp>

namespace nlohmann {

/// Converts a shared value as the value itself.
template <class T> struct adl_serializer<almondgate::core::Value<T>> {
  static void to_json(json &j, const almondgate::core::Value<T> &v) { j = *v; }
  static void from_json(const json &j, almondgate::core::Value<T> &v) {
    v = almondgate::core::Value<T>(j.get<T>());
  }
};

} // namespace nlohmann

#endif
