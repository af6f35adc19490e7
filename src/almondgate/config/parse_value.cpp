#include "parse_value.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>

namespace almondgate::config {

namespace {

constexpr const char *WhiteSpace = " \t\r\n";

// The bounds are powers of two, so that they are exact as floating point.
int64_t roundDown(double value) {
  constexpr double Bound = 9223372036854775808.0;
  if (value >= Bound)
    return std::numeric_limits<int64_t>::max();
  if (value < -Bound)
    return std::numeric_limits<int64_t>::min();
  return int64_t(std::floor(value));
}

} // namespace

std::string trim(const std::string &text) {
  const size_t begin = text.find_first_not_of(WhiteSpace);
  if (begin == std::string::npos)
    return "";
  return text.substr(begin, text.find_last_not_of(WhiteSpace) - begin + 1);
}

std::vector<std::string> split(const std::string &text, char separator) {
  std::vector<std::string> out;
  std::istringstream in(text);
  std::string item;
  while (std::getline(in, item, separator))
    if (std::string trimmed = trim(item); !trimmed.empty())
      out.push_back(std::move(trimmed));
  return out;
}

std::optional<double> parseFraction(const std::string &text) {
  const char *end = text.data() + text.size();
  double value = 0;
  const auto done = std::from_chars(text.data(), end, value);
  if (done.ec != std::errc() || done.ptr != end || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::optional<int64_t> parseNumber(const std::string &text) {
  const char *end = text.data() + text.size();
  int64_t whole = 0;
  const auto exact = std::from_chars(text.data(), end, whole);
  if (exact.ec == std::errc() && exact.ptr == end)
    return whole;
  const auto value = parseFraction(text);
  return value ? std::optional<int64_t>(roundDown(*value)) : std::nullopt;
}

std::optional<bool> parseBool(const std::string &text) {
  std::string lower = text;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return char(std::tolower(c)); });
  if (lower == "true" || lower == "1")
    return true;
  if (lower == "false" || lower == "0")
    return false;
  return std::nullopt;
}

} // namespace almondgate::config
