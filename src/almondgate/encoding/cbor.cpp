#include "almondgate/encoding/cbor.hpp"

#include "counted_cbor.hpp"

namespace almondgate::encoding {

using nlohmann::json;

namespace {

constexpr size_t MaxDepth = 64;

/// Gives the library's CBOR reader the input byte by byte, and the contents of
/// strings as a whole; see BulkReader.
class BulkInput {
public:
  using char_type = char; // NOLINT(readability-identifier-naming)

  BulkInput(std::string_view bytes, size_t &reads)
      : Rest(bytes), Reads(&reads) {}

  // NOLINTNEXTLINE(readability-identifier-naming)
  std::char_traits<char>::int_type get_character() {
    ++*Reads;
    if (Rest.empty())
      return std::char_traits<char>::eof();
    const char next = Rest.front();
    Rest.remove_prefix(1);
    return std::char_traits<char>::to_int_type(next);
  }

  /// Returns up to `n` bytes; fewer only at the end of the input.
  std::string_view take(uint64_t n) {
    ++*Reads;
    const auto out = Rest.substr(0, n);
    Rest.remove_prefix(out.size());
    return out;
  }

private:
  std::string_view Rest;
  size_t *Reads;
};

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

using BulkReader =
    nlohmann::detail::binary_reader<json, BulkInput, BoundedBuilder>;

} // namespace

} // namespace almondgate::encoding

// The library's own version appends a string byte by byte, about 10 ns each,
// which takes milliseconds for a large configuration or snapshot. It offers no
// hook for that, so this specializes the member for our input; a release of
// the library without this member doesn't compile.
template <>
template <class Length>
// NOLINTNEXTLINE(readability-identifier-naming)
bool almondgate::encoding::BulkReader::get_string(
    const nlohmann::detail::input_format_t format, const Length length,
    std::string &result) {
  const std::string_view text = ia.take(length);
  result.append(text);
  chars_read += text.size();
  if (text.size() == length)
    return true;
  get();
  return unexpect_eof(format, "string");
}

namespace almondgate::encoding {

json parseCbor(std::string_view bytes) {
  size_t reads = 0;
  return parseCborCounted(bytes, reads);
}

json parseCborCounted(std::string_view bytes, size_t &reads) {
  json out;
  BoundedBuilder builder(out);
  constexpr auto Format = json::input_format_t::cbor;
  if (!BulkReader(BulkInput(bytes, reads), Format).sax_parse(Format, &builder))
    throw json::other_error::create(
        501, "nested more than " + std::to_string(MaxDepth) + " levels deep",
        nullptr);
  return out;
}

} // namespace almondgate::encoding
