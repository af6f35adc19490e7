#include "almondgate/encoding/cbor.hpp"

namespace almondgate::encoding {

using nlohmann::json;

namespace {

constexpr size_t MaxDepth = 64;

/// Builds a JSON value and stops when it is nested more than MaxDepth levels
/// deep, because the library parses CBOR recursively.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
  explicit BoundedBuilder(json &out) : json_sax_dom_parser(out, true) {}

  bool start_object(size_t n) { // NOLINT(readability-identifier-naming)
    return ++Depth <= MaxDepth && json_sax_dom_parser::start_object(n);
  }
  bool end_object() { // NOLINT(readability-identifier-naming)
    --Depth;
    return json_sax_dom_parser::end_object();
  }
  bool start_array(size_t n) { // NOLINT(readability-identifier-naming)
    return ++Depth <= MaxDepth && json_sax_dom_parser::start_array(n);
  }
  bool end_array() { // NOLINT(readability-identifier-naming)
    --Depth;
    return json_sax_dom_parser::end_array();
  }

private:
  size_t Depth = 0;
};

} // namespace

json parseCbor(std::string_view bytes) {
  json out;
  BoundedBuilder builder(out);
  if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor))
    throw json::other_error::create(
        501, "nested more than " + std::to_string(MaxDepth) + " levels deep",
        nullptr);
  return out;
}

} // namespace almondgate::encoding
