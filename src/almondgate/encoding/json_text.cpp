#include "almondgate/encoding/json_text.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace almondgate::encoding {

using nlohmann::json;

namespace {

constexpr size_t MaxDepth = 64;
constexpr size_t MaxErrorBytes = 300;

/// Receives the parser's events and builds the value within the bounds. The
/// library prescribes the names of its functions.
// NOLINTBEGIN(readability-identifier-naming)
class BoundedBuilder {
public:
  BoundedBuilder(json &out, const JsonBounds &bounds)
      : Dom(out, true), Bounds(bounds) {}

  bool null() {
    return add([&] { return Dom.null(); });
  }
  bool boolean(bool value) {
    return add([&] { return Dom.boolean(value); });
  }
  bool number_integer(json::number_integer_t value) {
    return add([&] { return Dom.number_integer(value); });
  }
  bool number_unsigned(json::number_unsigned_t value) {
    return add([&] { return Dom.number_unsigned(value); });
  }
  bool number_float(json::number_float_t value, const json::string_t &text) {
    return add([&] { return Dom.number_float(value, text); });
  }
  bool string(json::string_t &value) {
    return add([&] { return Dom.string(value); });
  }
  bool binary(json::binary_t &value) {
    return add([&] { return Dom.binary(value); });
  }

  bool start_object(size_t n) {
    return start([&] { return Dom.start_object(n); });
  }
  bool start_array(size_t n) {
    return start([&] { return Dom.start_array(n); });
  }
  bool end_object() {
    return end([&] { return Dom.end_object(); });
  }
  bool end_array() {
    return end([&] { return Dom.end_array(); });
  }

  bool key(json::string_t &name) {
    if (SkippedDepth > 0)
      return true;
    const auto &kept = Bounds.Members;
    SkipNext = !kept.empty() &&
               std::find(kept.begin(), kept.end(), name) == kept.end();
    return SkipNext || Dom.key(name);
  }

  template <class Exception>
  bool parse_error(size_t at, const std::string &token,
                   const Exception &error) {
    return Dom.parse_error(at, token, error);
  }

  /// Why the input was refused; empty if it was not.
  const std::string &why() const { return Why; }

private:
  template <class Add> bool add(Add to_dom) {
    if (SkippedDepth > 0 || std::exchange(SkipNext, false))
      return true;
    return count() && to_dom();
  }

  template <class Start> bool start(Start to_dom) {
    if (SkippedDepth > 0 || std::exchange(SkipNext, false)) {
      ++SkippedDepth;
      return true;
    }
    if (!count())
      return false;
    if (Items.size() == MaxDepth) {
      ++SkippedDepth;
      return Dom.null();
    }
    Items.push_back(0);
    return to_dom();
  }

  template <class End> bool end(End to_dom) {
    if (SkippedDepth > 0) {
      --SkippedDepth;
      return true;
    }
    Items.pop_back();
    return to_dom();
  }

  bool count() {
    if (!Items.empty() && ++Items.back() > Bounds.MaxItems)
      Why = "a list or object has more than " +
            std::to_string(Bounds.MaxItems) + " items";
    else if (++Values > Bounds.MaxValues)
      Why =
          "there are more than " + std::to_string(Bounds.MaxValues) + " values";
    return Why.empty();
  }

  nlohmann::detail::json_sax_dom_parser<json> Dom;
  const JsonBounds &Bounds;
  std::string Why;
  /// Numbers of items of the lists and objects that are open.
  std::vector<size_t> Items;
  size_t Values = 0;
  /// Open lists and objects within a value that is skipped.
  size_t SkippedDepth = 0;
  /// The next value belongs to a member that is skipped.
  bool SkipNext = false;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

json parseJson(std::string_view text, const JsonBounds &bounds) {
  json out;
  BoundedBuilder builder(out, bounds);
  if (!json::sax_parse(text, &builder))
    throw json::other_error::create(501, builder.why(), nullptr);
  return out;
}

std::string errorText(const json::exception &error) {
  std::string text = error.what();
  if (text.size() > MaxErrorBytes) {
    text.resize(MaxErrorBytes);
    text += "...";
  }
  return text;
}

} // namespace almondgate::encoding
