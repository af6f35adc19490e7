#ifndef ALMONDGATE_CONFIG_PARSE_VALUE_HPP
#define ALMONDGATE_CONFIG_PARSE_VALUE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondgate::config {

/// Removes white space at both ends.
std::string trim(const std::string &text);

/// Returns the trimmed items of a list; empty items are left out.
std::vector<std::string> split(const std::string &text, char separator);

/// Parses a decimal number such as "200", "200.0" or "2e2"; a fraction is
/// rounded down, and what exceeds int64_t becomes its nearest value. Returns
/// std::nullopt for any other text.
std::optional<int64_t> parseNumber(const std::string &text);

/// Parses a decimal number with its fraction, such as "1.5"; std::nullopt for
/// any other text.
std::optional<double> parseFraction(const std::string &text);

/// Parses true, false, 1 or 0, in any case; std::nullopt for any other text.
std::optional<bool> parseBool(const std::string &text);

} // namespace almondgate::config

#endif
